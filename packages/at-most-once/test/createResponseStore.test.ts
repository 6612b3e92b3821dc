/** Guards against a replay that differs from the response, and a keyed call that stops when its caller disconnects. */
import type { CallResponder } from "@rhubarbwheel/types/ports";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createForwardResponder, sendForwardedResponse } from "../src/createForwardResponder.js";
import type { RecordedResponse } from "../src/createResponseStore.js";
import { createResponseStore } from "../src/createResponseStore.js";

function createFakeResponder(
    opts: { readonly callerDisconnected?: boolean; } = {},
): { lines: string[]; responder: CallResponder; } {
    const lines: string[] = [];
    const responder: CallResponder = {
        start: (status, headers) => lines.push(`start ${status} ${JSON.stringify(headers)}`),
        write: chunk => lines.push(`write ${Buffer.from(chunk).toString()}`) > 0 && !opts.callerDisconnected,
        waitForDrain: () =>
            opts.callerDisconnected ? Promise.reject(new Error("caller disconnected")) : Promise.resolve(),
        finish: () => lines.push("finish"),
        fail: failure => lines.push(`fail ${failure.outcome} ${failure.code}`),
    };
    return { lines, responder };
}

const writeResponse = async (responder: CallResponder, parts: readonly string[]): Promise<void> => {
    responder.start(201, { etag: "1" });
    for (const part of parts) if (!responder.write(Buffer.from(part))) await responder.waitForDrain();
    responder.finish();
};
const brokenFailure = { code: "TARGET_BROKEN", outcome: "unknown" } as const;
const evictedReplay = ["fail unknown KEY_RECORD_EVICTED"];

const completeReplay = ["start 201 {\"etag\":\"1\"}", "write abcd", "finish"];

// Each row: name, whether the caller has disconnected, events of the call, reported outcome and size, replayed lines.
const cases: readonly [string, boolean, (responder: CallResponder) => unknown, string, number, string[]][] = [
    [
        "a complete response",
        false,
        responder => writeResponse(responder, ["ab", "cd"]),
        "complete",
        521,
        completeReplay,
    ],
    [
        "a response whose caller disconnected",
        true,
        responder => writeResponse(responder, ["ab", "cd"]),
        "complete",
        521,
        completeReplay,
    ],
    [
        "a response over the limit",
        false,
        responder => writeResponse(responder, ["abc", "def"]),
        "complete",
        512,
        evictedReplay,
    ],
    ["a failure", false, responder => responder.fail(brokenFailure), "unknown", 512, ["fail unknown TARGET_BROKEN"]],
];

for (const [name, callerDisconnected, run, outcome, sizeBytes, replayed] of cases) {
    test(`${name} is recorded once, replayed and dropped`, async () => {
        const reports: RecordedResponse[] = [];
        const store = createResponseStore({ maxResponseBytes: 5, onRecorded: report => reports.push(report) });
        const wrapped = store.wrapResponder("a", createFakeResponder({ callerDisconnected }).responder);
        await run(wrapped);
        wrapped.fail(brokenFailure);
        const replay = createFakeResponder();
        await store.replayResponse("a", replay.responder);
        assert.equal([reports, replay.lines], [[{ requestId: "a", outcome, sizeBytes }], replayed]);
        store.removeResponse("a");
        const late = createFakeResponder();
        await store.replayResponse("a", late.responder);
        assert.equal([late.lines, store.countResponses()], [evictedReplay, 0]);
    });
}

test("a forwarded response is relayed unchanged; over the limit its outcome is unknown", async () => {
    const sentLines: string[][] = [];
    for (const run of [["ab"], ["abc", "def"], undefined]) {
        const { responder, response } = createForwardResponder({ maxResponseBytes: 5 });
        if (run === undefined) responder.fail({ code: "DRAINING", outcome: "notRun", retryAfterMs: 5 });
        else await writeResponse(responder, run);
        const caller = createFakeResponder();
        await sendForwardedResponse(await response, caller.responder);
        sentLines.push(caller.lines);
    }
    assert.equal(sentLines, [["start 201 {\"etag\":\"1\"}", "write ab", "finish"], evictedReplay, [
        "fail notRun DRAINING",
    ]]);
});

test.run();
