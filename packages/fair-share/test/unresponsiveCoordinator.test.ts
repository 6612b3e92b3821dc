/** Guards against slots that stay idle or are returned to a failed coordinator until the next one takes over. */
import type { Effect } from "@rhubarbwheel/types/effects";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createFixture } from "./entryFixture.js";

type Fixture = ReturnType<typeof createFixture>;

/** Creates a contended pool with one slot in use and another request waiting above the ceiling. */
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

const endFirstRequest = (fixture: Fixture): readonly Effect[] => {
    const end = { result: "complete", sent: true, responseStarted: true, cost: 50 };
    return fixture.reduce({ type: "targetEnded", requestId: "q1", attempt: 1, target: "t1", ...end });
};

const isDispatched = (effects: readonly Effect[]) => effects.some(effect => effect.type === "sendToTarget");
const countUnreachable = (effects: readonly Effect[]) =>
    effects.filter(effect => effect.type === "raise" && effect.event.type === "peerUnreachable").length;

test("a slot above the ceiling is returned while the ceiling is valid", () => {
    const fixture = createContendedFixture();
    assert.not(isDispatched(endFirstRequest(fixture)));
    assert.equal(fixture.queue.listSlots().map(slot => slot.free), [0]);
});

test("a slot is reused above the ceiling once the ceiling has expired", () => {
    const fixture = createContendedFixture();
    fixture.state.now += 300;
    assert.ok(isDispatched(endFirstRequest(fixture)));
});

test("no slot is reused after the last announcement has expired", () => {
    const fixture = createContendedFixture();
    fixture.state.now += 2_100;
    assert.not(isDispatched(endFirstRequest(fixture)));
});

test("an unresponsive coordinator is reported to membership only once", () => {
    const fixture = createContendedFixture();
    fixture.reduce({ type: "tick" });
    fixture.state.now += 500;
    assert.is(countUnreachable(fixture.reduce({ type: "tick" })), 1);
    assert.is(countUnreachable(fixture.reduce({ type: "tick" })), 0);
});

test.run();
