/** Which questions a coordinator answers when it gets more than it can. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createPlacementRequestQueue } from "../src/createPlacementRequestQueue.js";
import type { DroppedPlacementRequests } from "../src/createPlacementRequestQueue.js";
import { createRequest } from "./placementFixtures.js";

/** A queue on a fake clock, whose answers take `answerMs` each; `readAll` ends a turn of the loop. */
function createHarness(answerMs: number) {
    let now = 0;
    const deferred: (() => void)[] = [];
    const answered: { readonly askedAt: number; readonly at: number; }[] = [];
    const dropped: DroppedPlacementRequests[] = [];
    const askedAt = new Map<string, number>();
    const queue = createPlacementRequestQueue({
        getNow: () => now,
        answer: ({ message }) => {
            now += answerMs;
            answered.push({ askedAt: askedAt.get(message.request.requestId) ?? NaN, at: now });
        },
        defer: action => deferred.push(action),
        onDropped: one => dropped.push(one),
    });
    return {
        queue,
        answered,
        dropped,
        getNow: () => now,
        ask: (at: number): void => {
            const request = createRequest("s", { latencyTargetMs: 300 });
            askedAt.set(request.requestId, at);
            queue.receive({ from: "r2", address: "10.0.0.2:7400", message: { type: "placementAsk", request } });
        },
        advance: (to: number): void => {
            now = Math.max(now, to);
        },
        runTurn: (): void => deferred.splice(0).forEach(action => action()),
    };
}

// Pattern: `kill_all` at the end of trouble-3 of kaurimbi-press, and `power_off_all` of the incident e47c: coordinators that
// had just started answered nothing in time for 1.5 to 2.3 s.
test("a coordinator that gets twice what it can answer answers half of it in time", () => {
    const { queue, answered, ask, advance, runTurn, getNow } = createHarness(5);
    let asked = 0;
    while (getNow() < 2_000) {
        // 400 questions a second.
        for (; asked * 2.5 <= getNow(); asked++) ask(asked * 2.5);
        if (queue.countWaiting() === 0) advance(getNow() + 1);
        runTurn();
    }
    const inTime = answered.filter(({ askedAt, at }) => at - askedAt <= 75);
    assert.ok(inTime.length >= 0.45 * asked, `${inTime.length} of ${asked}`);
    assert.ok(queue.countWaiting() <= 80, `${queue.countWaiting()} wait`);
});

test("questions that nobody waits for any more are dropped and counted", () => {
    const { queue, answered, dropped, ask, advance, runTurn } = createHarness(5);
    ask(0);
    ask(0);
    advance(150);
    ask(150);
    runTurn();
    assert.equal(answered.map(({ askedAt }) => askedAt), [150]);
    // Half of the latency target of 300 ms, less the millisecond before the question.
    assert.equal(dropped, [{ count: 2, oldestMs: 150 }]);
    assert.is(queue.countDropped(), 2);
});

test("a question is answered late while its router waits on", () => {
    const { answered, ask, advance, runTurn } = createHarness(1);
    ask(0);
    advance(140);
    runTurn();
    assert.is(answered.length, 1);
});

test("after some milliseconds the loop reads what has arrived before more is answered", () => {
    const { queue, answered, ask, runTurn } = createHarness(1);
    for (let index = 0; index < 10; index++) ask(0);
    runTurn();
    assert.is(answered.length, 4);
    ask(4);
    runTurn();
    assert.is(answered[4]?.askedAt, 4);
    while (queue.countWaiting() > 0) runTurn();
    assert.is(answered.length, 11);
});

test.run();
