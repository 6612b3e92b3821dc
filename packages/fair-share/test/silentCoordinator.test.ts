/** Guards against slots that stay idle, or go to a coordinator that is gone, between its loss and the next one. */
import type { Effect } from "@rhubarbwheel/types/effects";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createFixture } from "./entryFixture.js";

type Fixture = ReturnType<typeof createFixture>;

/** One slot is in use, another request waits above the ceiling, and the pool is contended. */
function createContendedFixture(): Fixture {
    const fixture = createFixture();
    fixture.reduce({ type: "tick" });
    fixture.announce({}, 1);
    for (const id of ["q1", "q2"]) {
        const request = { id, workspace: "w", service: "proofs", idempotent: true, inputCost: 10 };
        fixture.reduce({ type: "requestArrived", request });
    }
    fixture.announce({}, 1, { contended: true, ceiling: -1 });
    return fixture;
}

const endFirst = (fixture: Fixture): readonly Effect[] => {
    const end = { result: "complete", sent: true, responseStarted: true, cost: 50 };
    return fixture.reduce({ type: "targetEnded", requestId: "q1", attempt: 1, target: "t1", ...end });
};

const isDispatched = (effects: readonly Effect[]) => effects.some(effect => effect.type === "sendToTarget");
const countSilences = (effects: readonly Effect[]) =>
    effects.filter(effect => effect.type === "raise" && effect.event.type === "peerUnreachable").length;

test("a slot above the ceiling goes back while the coordinator is heard", () => {
    const fixture = createContendedFixture();
    assert.not(isDispatched(endFirst(fixture)));
    assert.equal(fixture.queue.listSlots().map(slot => slot.free), [0]);
});

test("a slot is reused above the ceiling once the coordinator is silent", () => {
    const fixture = createContendedFixture();
    fixture.state.now += 300;
    assert.ok(isDispatched(endFirst(fixture)));
});

test("no slot is reused after the last announcement has expired", () => {
    const fixture = createContendedFixture();
    fixture.state.now += 2_100;
    assert.not(isDispatched(endFirst(fixture)));
});

test("membership is told of a silent coordinator once per silence", () => {
    const fixture = createContendedFixture();
    fixture.reduce({ type: "tick" });
    fixture.state.now += 500;
    assert.is(countSilences(fixture.reduce({ type: "tick" })), 1);
    assert.is(countSilences(fixture.reduce({ type: "tick" })), 0);
});

test.run();
