/** Guards against broken streams that lose or repeat output, and unbounded buffering for slow callers. */
import { createModelStandIn } from "@rhubarbwheel/stand-ins/createModelStandIn";
import type { AttemptEnd } from "@rhubarbwheel/types/ports";
import { setTimeout as sleep } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createCall, runCall, withClient } from "./callFixtures.js";
import { startRawTarget } from "./rawTarget.js";

const user = "ada/1";
const stream = { streaming: true, body: { user, max_tokens: 12, stream: true } };
const tokens = Array.from({ length: 12 }, (_, index) => `${user}#${index} `).join("");

/** Concatenates the tokens of a stream, which shows gaps, repetitions and tokens of other responses. */
function readTokens(text: string): string {
    const events = text.split("\n\n").filter(event => event.startsWith("data: {"));
    return events.map(event => JSON.parse(event.slice("data: ".length)).choices[0].delta.content).join("");
}

test("a stream that breaks twice is resumed without gaps or repetitions", async () => {
    const model = createModelStandIn({ tokenBaseMs: 1, tokenSlopeMs: 0, startsCold: false });
    const { port } = await model.listen(0);
    model.setFaults({ closeEarly: 2, closeAfterChunks: 4 });
    const call = createCall(stream);
    const ends: AttemptEnd[] = [];
    await withClient(async client => {
        for (const attempt of [1, 2, 3]) {
            const opts = { attempt, resume: attempt > 1 };
            ends.push((await runCall(client, call, `http://127.0.0.1:${port}`, opts)).end);
        }
    });
    await model.close();
    assert.equal(ends.map(end => end.result), ["broken", "broken", "complete"]);
    assert.equal(ends.map(end => end.cost), [10 + 8, 8, 8]);
    assert.is(call.recorded.startCount, 1);
    assert.is(readTokens(call.recorded.writes.join("")), tokens);
    assert.ok(call.recorded.writes.join("").endsWith("data: [DONE]\n\n"));
});

test("a resume at a restarted target is broken and adds nothing to the response", async () => {
    const model = createModelStandIn({ tokenBaseMs: 1, tokenSlopeMs: 0 });
    const { port } = await model.listen(0);
    model.setFaults({ closeEarly: 1, closeAfterChunks: 4 });
    const call = createCall(stream);
    const address = `http://127.0.0.1:${port}`;
    const end = await withClient(async client => {
        await runCall(client, call, address);
        model.restart();
        return (await runCall(client, call, address, { attempt: 2, resume: true })).end;
    });
    await model.close();
    assert.equal([end.result, end.reason, end.responseStarted], ["broken", "resume refused with status 409", true]);
    assert.is(readTokens(call.recorded.writes.join("")), tokens.slice(0, 4 * `${user}#0 `.length));
});

test("a response that has started is not started again by an attempt that does not resume", async () => {
    const model = createModelStandIn({ tokenBaseMs: 1 });
    const { port } = await model.listen(0);
    model.setFaults({ closeEarly: 1, closeAfterChunks: 2 });
    const call = createCall(stream);
    const end = await withClient(async client => {
        await runCall(client, call, `http://127.0.0.1:${port}`);
        return (await runCall(client, call, `http://127.0.0.1:${port}`, { attempt: 2 })).end;
    });
    await model.close();
    assert.equal([end.result, end.sent, end.responseStarted], ["refused", false, true]);
    assert.is(call.recorded.startCount, 1);
});

/** Waits until the number of unsent bytes stays constant, and returns it. */
async function waitForStall(read: () => number): Promise<number> {
    for (let lastBytes = -1, stableCount = 0; stableCount < 5;) {
        await sleep(20);
        stableCount = read() === lastBytes && lastBytes > 0 ? stableCount + 1 : 0;
        lastBytes = read();
    }
    return read();
}

test("a slow caller causes backpressure at the target, and queued chunks are written together", async () => {
    const event = `data: {"a":"${"x".repeat(1_000)}"}\n\n`;
    const count = 40_000;
    let getUnsentBytes = (): number => 0;
    const target = await startRawTarget(socket => {
        getUnsentBytes = () => socket.writableLength;
        socket.write("HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n");
        for (let index = 0; index < count; index += 1) socket.write(event);
        socket.end("data: [DONE]\n\n");
    });
    let receivedBytes = 0;
    let writes = 0;
    let stalledBytes = 0;
    const call = createCall(stream, {
        write: chunk => {
            receivedBytes += chunk.length;
            return (writes += 1) !== 1;
        },
        waitForDrain: async () => {
            stalledBytes = await waitForStall(getUnsentBytes);
        },
    });
    const { end } = await withClient(client => runCall(client, call, target.address));
    await target.close();
    assert.is(end.result, "complete");
    assert.is(receivedBytes, event.length * count + "data: [DONE]\n\n".length);
    assert.ok(stalledBytes > event.length * count / 2, `the target had ${stalledBytes} unsent bytes`);
    assert.ok(writes < count / 4, `${writes} writes`);
});

for (const idempotent of [true, false]) {
    test(`caller disconnects while the response is relayed, idempotent ${idempotent}`, async () => {
        const head = "HTTP/1.1 200 OK\r\ncontent-length: 400000\r\n\r\n";
        const target = await startRawTarget(socket => socket.end(head + "x".repeat(400_000)));
        const responder = { write: () => false, waitForDrain: () => Promise.reject(new Error("caller disconnected")) };
        const call = createCall({ kind: "plain", idempotent, body: {} }, responder);
        const { end } = await withClient(client => runCall(client, call, target.address));
        await target.close();
        const expected = idempotent ? ["broken", "caller disconnected"] : ["complete", undefined];
        assert.equal([end.result, end.reason], expected);
    });
}

test.run();
