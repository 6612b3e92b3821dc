/** Tests which placement requests an overloaded coordinator handles. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createPlacementRequestQueue } from "../src/createPlacementRequestQueue.js";
import type { DroppedPlacementRequests } from "../src/createPlacementRequestQueue.js";
import { createRequest } from "./placementFixtures.js";

/** A queue on a fake clock; each request takes `handlingMs`, and `runDeferred` starts a turn of the event loop. */
function createHarness(handlingMs: number) {
    let now = 0;
    const deferred: (() => void)[] = [];
    const handled: { readonly sentAt: number; readonly at: number; }[] = [];
    const dropped: DroppedPlacementRequests[] = [];
    const sentAt = new Map<string, number>();
    const queue = createPlacementRequestQueue({
        getNow: () => now,
        handle: ({ message }) => {
            now += handlingMs;
            handled.push({ sentAt: sentAt.get(message.request.requestId) ?? NaN, at: now });
        },
        defer: action => deferred.push(action),
        onDrop: batch => dropped.push(batch),
    });
    return {
        queue,
        handled,
        dropped,
        getNow: () => now,
        receive: (at: number): void => {
            const request = createRequest("s", { latencyTargetMs: 300 });
            sentAt.set(request.requestId, at);
            queue.enqueue({ from: "r2", address: "10.0.0.2:7400", message: { type: "placementAsk", request } });
        },
        advance: (to: number): void => {
            now = Math.max(now, to);
        },
        runDeferred: (): void => deferred.splice(0).forEach(action => action()),
    };
}

// Guards against a coordinator that replies to no placement request in time. In order of arrival, coordinators that had
// just started replied too late to all requests for 1.5 to 2.3 s.
test("an overloaded coordinator at twice its capacity handles half of the requests in time", () => {
    const { queue, handled, receive, advance, runDeferred, getNow } = createHarness(5);
    let receivedCount = 0;
    while (getNow() < 2_000) {
        // 400 placement requests per second.
        for (; receivedCount * 2.5 <= getNow(); receivedCount++) receive(receivedCount * 2.5);
        if (queue.countQueued() === 0) advance(getNow() + 1);
        runDeferred();
    }
    const inTime = handled.filter(({ sentAt, at }) => at - sentAt <= 75);
    assert.ok(inTime.length >= 0.45 * receivedCount, `${inTime.length} of ${receivedCount}`);
    assert.ok(queue.countQueued() <= 80, `${queue.countQueued()} queued`);
});

test("expired placement requests are dropped and counted", () => {
    const { queue, handled, dropped, receive, advance, runDeferred } = createHarness(5);
    receive(0);
    receive(0);
    advance(150);
    receive(150);
    runDeferred();
    assert.equal(handled.map(({ sentAt }) => sentAt), [150]);
    // The wait is half of the latency target of 300 ms, less 1 ms before the placement request was sent.
    assert.equal(dropped, [{ count: 2, oldestMs: 150 }]);
    assert.is(queue.countDropped(), 2);
});

test("a placement request is handled late while its entry router waits for a late reply", () => {
    const { handled, receive, advance, runDeferred } = createHarness(1);
    receive(0);
    advance(140);
    runDeferred();
    assert.is(handled.length, 1);
});

test("the event loop receives pending messages after a few milliseconds of handling", () => {
    const { queue, handled, receive, runDeferred } = createHarness(1);
    for (let index = 0; index < 10; index++) receive(0);
    runDeferred();
    assert.is(handled.length, 4);
    receive(4);
    runDeferred();
    assert.is(handled[4]?.sentAt, 4);
    while (queue.countQueued() > 0) runDeferred();
    assert.is(handled.length, 11);
});

test.run();
