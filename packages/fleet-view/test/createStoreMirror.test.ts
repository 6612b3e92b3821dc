/** Guards against a router that goes back to earlier entries, or misses a change, when relays and the store overlap. */
import { isLaterPosition } from "@rhubarbwheel/types/storePosition";
import type { StorePosition } from "@rhubarbwheel/types/storePosition";
import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createEntries, createHarness, kind, listNames, type MirrorHarness } from "./mirrorHarness.js";
import { createModelFleet } from "./modelFleet.js";

const era = 1;

function handleList(harness: MirrorHarness, names: readonly string[], revision: number, confirmedAt: number): void {
    const entries = createEntries(names);
    harness.mirror.handleStoreEvent({ type: "viewListed", kind, entries, era, revision, confirmedAt });
}

test("relayed changes continue a list of the store and are emitted once", () => {
    const harness = createHarness();
    handleList(harness, ["a"], 10, 0);
    const update = { changes: [{ name: "b", entry: { failureDomain: "b" } }], era, fromRevision: 10, revision: 12 };
    assert.is(harness.mirror.applyRelayedChanges(kind, update, "relay"), "applied");
    assert.is(harness.mirror.applyRelayedChanges(kind, update, "relay"), "applied");
    assert.equal(listNames(harness.mirror), ["a", "b"]);
    assert.equal(harness.events.map(event => event.type), ["viewListed", "viewChanged"]);
    assert.equal(harness.updates, [undefined, update.changes]);
});

test("changes and confirmations after a gap are not applied", () => {
    const harness = createHarness();
    handleList(harness, ["a"], 10, 0);
    const update = { changes: [{ name: "b", entry: { failureDomain: "b" } }], era, fromRevision: 11, revision: 12 };
    assert.is(harness.mirror.applyRelayedChanges(kind, update, "relay"), "gap");
    assert.is(harness.mirror.confirm(kind, { era, fromRevision: 12, revision: 13, confirmedAt: 500 }), "gap");
    assert.equal(harness.mirror.getConfirmation(kind), { era, revision: 10, confirmedAt: 0 });
});

// Guards against a list that was requested before a relayed change and arrives after it.
test("a list that relayed changes have overtaken is ignored", () => {
    const harness = createHarness();
    handleList(harness, ["a"], 10, 0);
    harness.now = 50;
    harness.mirror.applyRelayedChanges(
        kind,
        { changes: [{ name: "a" }], era, fromRevision: 10, revision: 15 },
        "relay",
    );
    handleList(harness, ["a"], 12, 40);
    assert.equal(listNames(harness.mirror), []);
    assert.is(harness.mirror.getPosition(kind)?.revision, 15);
});

test("a later list of a store that has lost objects replaces everything", () => {
    const harness = createHarness();
    handleList(harness, ["a", "b"], 10, 0);
    harness.now = 100;
    handleList(harness, ["b"], 3, 90);
    assert.equal(listNames(harness.mirror), ["b"]);
    assert.is(harness.mirror.getPosition(kind)?.revision, 3);
});

test("a relay without the last change does not confirm", () => {
    const harness = createHarness();
    handleList(harness, ["a"], 10, 0);
    harness.mirror.applyRelayedChanges(
        kind,
        { changes: [{ name: "a" }], era, fromRevision: 10, revision: 15 },
        "relay",
    );
    harness.mirror.confirm(kind, { era, fromRevision: 10, revision: 14, confirmedAt: 800 });
    assert.equal(harness.mirror.getConfirmation(kind), { era, revision: 15, confirmedAt: 0 });
    harness.mirror.confirm(kind, { era, fromRevision: 15, revision: 15, confirmedAt: 900 });
    assert.equal(harness.mirror.getConfirmation(kind), { era, revision: 15, confirmedAt: 900 });
});

test("a router whose requests to the store fail for over 500 ms confirms nothing to others", () => {
    const harness = createHarness();
    handleList(harness, ["a"], 10, 0);
    harness.now = 1_000;
    harness.mirror.handleStoreEvent({
        type: "viewInterrupted",
        kind,
        cause: "store",
        requestSentAt: 0,
        reason: "status 503",
    });
    assert.equal(harness.mirror.getConfirmation(kind), { era, revision: 10, confirmedAt: 0 });
    harness.now = 1_501;
    assert.is(harness.mirror.getConfirmation(kind), undefined);
    handleList(harness, ["a"], 11, 1_502);
    assert.equal(harness.mirror.getConfirmation(kind), { era, revision: 11, confirmedAt: 1_502 });
});

// Guards against a router that refuses credentials after a suspension although its relays confirm the configuration.
test("after a suspension, the first confirmation is emitted although it is little newer than the last one", () => {
    const harness = createHarness();
    handleList(harness, ["a"], 10, 1_000);
    harness.mirror.expireConfirmations();
    harness.mirror.confirm(kind, { era, fromRevision: 10, revision: 10, confirmedAt: 1_100 });
    assert.equal(harness.events.at(-1), {
        type: "viewChanged",
        kind,
        changes: [],
        era,
        revision: 10,
        confirmedAt: 1_100,
    });
});

const storeSteps = ["change a", "change b", "change c", "change other"];

const stepArbitrary = fc.oneof(
    fc.constantFrom("request 0", "request 1", "request 2", "list 0", "list 1", "list 2"),
    fc.constantFrom("arrive 0", "arrive 1", "arrive 2", "confirm 0", "confirm 1", "relay 0", "relay 1", "relay 0"),
    fc.constantFrom("restart 0", "restart 1", "restart 2"),
);

/** Checks after each step that no router has entries of its own, and that the third never goes back. */
function checkSteps(steps: readonly string[]): void {
    const fleet = createModelFleet();
    let last: StorePosition | undefined;
    for (const step of steps) {
        fleet.runStep(step);
        for (const { names, namesInStore } of fleet.listStates()) assert.equal(names, namesInStore);
        const position = fleet.getPosition(2);
        if (step === "restart 2") last = undefined;
        assert.ok(last === undefined || (position !== undefined && !isLaterPosition(last, position)));
        last = position;
    }
    fleet.runUntilSettled();
    assert.equal(fleet.listStates().map(({ names }) => names), [0, 1, 2].map(() => fleet.getNewestNames()));
}

// Guards against entries that are not those of the store at any one revision, after any order of events.
test("the entries are always those of the store at the revision of the mirror, which never falls", () => {
    const steps = fc.array(fc.oneof(fc.constantFrom(...storeSteps), stepArbitrary), { maxLength: 120, size: "max" });
    fc.assert(fc.property(steps, checkSteps), { seed: 20_261_204, numRuns: 3_000 });
});

// Guards against CONFIG: routers that take one era's entries for those of another, or nothing of a later one.
test("the same with a store that comes back from older copies", () => {
    const drills = ["drill 0", "drill 1", "drill 2", "drill 5"];
    const steps = fc.array(fc.oneof(fc.constantFrom(...storeSteps, ...drills), stepArbitrary), {
        maxLength: 120,
        size: "max",
    });
    fc.assert(fc.property(steps, checkSteps), { seed: 20_261_207, numRuns: 3_000 });
});

test.run();
