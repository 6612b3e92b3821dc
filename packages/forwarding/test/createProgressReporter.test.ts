/** Guards against an event of the reducer for each event of a stream, and against progress of attempts that have ended. */
import type { AttemptProgress } from "@rhubarbwheel/types/placement-events";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createProgressReporter } from "../src/createProgressReporter.js";

function createHarness() {
    const clock = { now: 0 };
    const reports: string[] = [];
    const formatProgress = ({ requestId, eventCount }: AttemptProgress) => `${requestId}:${eventCount}`;
    const reporter = createProgressReporter({
        getNow: () => clock.now,
        onProgress: attempts => reports.push(`${clock.now}: ${attempts.map(formatProgress).join(" ")}`),
    });
    return { clock, reports, reporter };
}

test("the events of all streams are reported together, at most once per interval", () => {
    const { clock, reports, reporter } = createHarness();
    for (let eventCount = 1; eventCount <= 6; eventCount++) {
        clock.now = eventCount * 150;
        reporter.record({ requestId: "a", attempt: 1, eventCount });
        reporter.record({ requestId: "b", attempt: 1, eventCount: 2 * eventCount });
    }
    assert.equal(reports, ["150: a:1", "600: b:6 a:4"]);
});

test("an attempt that has ended is not reported", () => {
    const { clock, reports, reporter } = createHarness();
    reporter.record({ requestId: "a", attempt: 1, eventCount: 1 });
    reporter.record({ requestId: "b", attempt: 1, eventCount: 1 });
    reporter.remove("b");
    clock.now = 500;
    reporter.record({ requestId: "a", attempt: 1, eventCount: 2 });
    assert.equal(reports, ["0: a:1", "500: a:2"]);
});

test.run();
