/** Guards against resumed streams that overload a restarted target, and against broken streams that never end. */
import type { Effect } from "@rhubarbwheel/types/effects";
import type { TargetState } from "@rhubarbwheel/types/peer-messages";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createFixture } from "./entryFixture.js";

/** Starts a request and breaks its stream after the first output. */
function interruptStream(fixture: ReturnType<typeof createFixture>): readonly Effect[] {
    const { reduce, announce } = fixture;
    reduce({ type: "tick" });
    announce({}, 1);
    const request = { id: "q1", workspace: "w", service: "proofs", idempotent: true, inputCost: 10 };
    reduce({ type: "requestArrived", request });
    const attempt = { requestId: "q1", attempt: 1, target: "t1" };
    reduce({ type: "targetAccepted", ...attempt, startId: "a" });
    const broken = { result: "broken", sent: true, responseStarted: true, cost: 20, startId: "a" };
    return reduce({ type: "targetEnded", ...attempt, ...broken });
}

const listTypes = (effects: readonly Effect[]) => effects.map(effect => effect.type);
const isResumed = (effects: readonly Effect[]) =>
    effects.some(effect => effect.type === "sendToTarget" && effect.resume === true);
const isEnded = (effects: readonly Effect[]) =>
    effects.some(effect => effect.type === "endRequest" && effect.outcome === "unknown");

test("a broken stream is not resumed before an announcement of its target", () => {
    const effects = interruptStream(createFixture());
    assert.not(listTypes(effects).includes("sendToTarget"));
    assert.not(isEnded(effects));
});

const rows: readonly {
    readonly name: string;
    readonly target: Partial<TargetState>;
    readonly resumed: boolean;
    readonly ended: boolean;
}[] = [
    { name: "the target is still running", target: { generation: 2 }, resumed: true, ended: false },
    { name: "the target is still suspect", target: { generation: 2, suspect: true }, resumed: false, ended: false },
    { name: "the announced state is older than the failure", target: {}, resumed: false, ended: false },
    { name: "the target restarted", target: { generation: 2, startId: "b" }, resumed: false, ended: true },
];

for (const row of rows) {
    test(`a broken stream when ${row.name}: resumed ${row.resumed}, ended ${row.ended}`, () => {
        const fixture = createFixture();
        interruptStream(fixture);
        const effects = fixture.announce(row.target, 0);
        assert.is(isResumed(effects), row.resumed);
        assert.is(isEnded(effects), row.ended);
    });
}

// Guards against a stream with events of two processes, which may be of two versions.
test("a broken stream is resumed at its own target only", () => {
    const fixture = createFixture();
    interruptStream(fixture);
    const effects = fixture.announce({ generation: 2, startId: "a" }, 0);
    const targets = effects.flatMap(effect => effect.type === "sendToTarget" ? [effect.target] : []);
    assert.equal(targets, ["t1"]);
});

test("a broken stream without an announcement of its target ends after the timeout", () => {
    const fixture = createFixture();
    interruptStream(fixture);
    fixture.state.now += 3_000;
    assert.ok(isEnded(fixture.reduce({ type: "tick" })));
    assert.is(fixture.queue.countInProgress(), 0);
});

test("a broken stream ends when its failure domain is taken out", () => {
    const fixture = createFixture();
    interruptStream(fixture);
    fixture.state.isOpen = false;
    assert.ok(isEnded(fixture.reduce({ type: "tick" })));
});

test("a broken stream ends when its service is deleted", () => {
    const fixture = createFixture();
    interruptStream(fixture);
    fixture.state.isListed = false;
    assert.ok(isEnded(fixture.reduce({ type: "configurationApplied", changed: [], revision: 2 })));
    assert.is(fixture.queue.countInProgress(), 0);
});

test("a broken stream ends when its caller hangs up", () => {
    const fixture = createFixture();
    interruptStream(fixture);
    fixture.reduce({ type: "requestCancelled", requestId: "q1" });
    assert.is(fixture.queue.countInProgress(), 0);
});

test("a stream that breaks a second time ends", () => {
    const fixture = createFixture();
    interruptStream(fixture);
    fixture.announce({ generation: 2 }, 0);
    const broken = { result: "broken", sent: true, responseStarted: true, cost: 20, startId: "a" };
    const effects = fixture.reduce({ type: "targetEnded", requestId: "q1", attempt: 2, target: "t1", ...broken });
    assert.ok(isEnded(effects));
});

test.run();
