/** Guards against a replay that differs from the answer, and against a call that stops because its caller left. */
import type { CallResponder } from "@rhubarbwheel/types/ports";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createForwardResponder, sendForwardedResponse } from "../src/createForwardResponder.js";
import type { RecordedResponse } from "../src/createResponseStore.js";
import { createResponseStore } from "../src/createResponseStore.js";

function createFakeResponder(
    opts: { readonly isGone?: boolean; } = {},
): { lines: string[]; responder: CallResponder; } {
    const lines: string[] = [];
    const responder: CallResponder = {
        begin: (status, headers) => lines.push(`begin ${status} ${JSON.stringify(headers)}`),
        write: chunk => lines.push(`write ${Buffer.from(chunk).toString()}`) > 0 && !opts.isGone,
        waitForDrain: () => opts.isGone ? Promise.reject(new Error("gone")) : Promise.resolve(),
        finish: () => lines.push("finish"),
        fail: failure => lines.push(`fail ${failure.outcome} ${failure.code}`),
    };
    return { lines, responder };
}

const answerCall = async (responder: CallResponder, parts: readonly string[]): Promise<void> => {
    responder.begin(201, { etag: "1" });
    for (const part of parts) if (!responder.write(Buffer.from(part))) await responder.waitForDrain();
    responder.finish();
};
const broken = { code: "TARGET_BROKEN", outcome: "unknown" } as const;
const evicted = ["fail unknown KEY_RECORD_EVICTED"];

const whole = ["begin 201 {\"etag\":\"1\"}", "write abcd", "finish"];

// Each row: what happens to the recorded call, the size that is reported, and what a replay sends.
const cases: readonly [string, boolean, (responder: CallResponder) => unknown, string, number, string[]][] = [
    ["a complete answer", false, responder => answerCall(responder, ["ab", "cd"]), "complete", 521, whole],
    ["an answer whose caller left", true, responder => answerCall(responder, ["ab", "cd"]), "complete", 521, whole],
    ["an answer over the limit", false, responder => answerCall(responder, ["abc", "def"]), "complete", 512, evicted],
    ["a failure", false, responder => responder.fail(broken), "unknown", 512, ["fail unknown TARGET_BROKEN"]],
];

for (const [name, isGone, run, outcome, sizeBytes, replayed] of cases) {
    test(`${name} is recorded once, replayed and dropped`, async () => {
        const reports: RecordedResponse[] = [];
        const store = createResponseStore({ maxResponseBytes: 5, onRecorded: report => reports.push(report) });
        const wrapped = store.wrapResponder("a", createFakeResponder({ isGone }).responder);
        await run(wrapped);
        wrapped.fail(broken);
        const replay = createFakeResponder();
        await store.replayResponse("a", replay.responder);
        assert.equal([reports, replay.lines], [[{ requestId: "a", outcome, sizeBytes }], replayed]);
        store.dropResponse("a");
        const late = createFakeResponder();
        await store.replayResponse("a", late.responder);
        assert.equal([late.lines, store.countResponses()], [evicted, 0]);
    });
}

test("a forwarded answer arrives as the owner gave it; over the limit it is unknown", async () => {
    const shown: string[][] = [];
    for (const run of [["ab"], ["abc", "def"], undefined]) {
        const { responder, answer } = createForwardResponder({ maxResponseBytes: 5 });
        if (run === undefined) responder.fail({ code: "DRAINING", outcome: "notRun", retryAfterMs: 5 });
        else await answerCall(responder, run);
        const caller = createFakeResponder();
        await sendForwardedResponse(await answer, caller.responder);
        shown.push(caller.lines);
    }
    assert.equal(shown, [["begin 201 {\"etag\":\"1\"}", "write ab", "finish"], evicted, ["fail notRun DRAINING"]]);
});

test.run();
