/** Guards against attempts that never finish, whose calls wait until their deadline. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createConnectionPool } from "../src/createConnectionPool.js";
import type { OpenCall } from "../src/openCall.js";
import { type AttemptContext, type AttemptOutcome, runAttempt } from "../src/runAttempt.js";

const call = {
    incoming: { url: "/x", method: "GET", rawHeaders: [] },
    response: { headersSent: false },
    body: Buffer.alloc(0),
} as unknown as OpenCall;

function startAttempt(address: string, onFinished: (outcome: AttemptOutcome) => void): () => void {
    const context = {
        headerCodec: { createTargetHeaders: () => [] },
        connectionPool: createConnectionPool({ getNow: () => 0, connectTimeoutMs: 100, maxIdlePerTarget: 1 }),
        onFinished,
    } as unknown as AttemptContext;
    const effect = { type: "startAttempt", requestId: "r", attempt: 1, target: "t", timeLimitMs: 1_000 } as const;
    return runAttempt(call, { ...effect, address, mayReuseConnection: false }, context);
}

for (const address of ["127.0.0.1:99999", "127.0.0.1:x", "a b:80", ""]) {
    test(`an attempt at ${JSON.stringify(address)} finishes as unsent`, async () => {
        const outcome = await new Promise<AttemptOutcome>(resolve => startAttempt(address, resolve));
        assert.is(outcome.result, "unsent");
        assert.is(outcome.responseStarted, false);
    });
}

test("an attempt that is cancelled before it finishes as unsent does not finish", async () => {
    let finishedCount = 0;
    startAttempt("127.0.0.1:99999", () => (finishedCount += 1))();
    await new Promise(resolve => setImmediate(resolve));
    assert.is(finishedCount, 0);
});

test.run();
