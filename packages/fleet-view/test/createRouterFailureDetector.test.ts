/** Tests which router entries are removed from the store and registered again. All times are on a fake clock. */
import type { RouterEntry } from "@rhubarbwheel/types/fleet";
import type { PlacementEffect, PlacementEvent } from "@rhubarbwheel/types/placement-events";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createFleetView } from "../src/createFleetView.js";
import { createRouterFailureDetector } from "../src/createRouterFailureDetector.js";

function createRouterEntry(router: string, incarnation = 1): RouterEntry {
    return { router, incarnation, address: router, failureDomain: "a" };
}

const names = ["r1", "r2", "r3"];

/** Router r1 of three; r2 is its successor, and r3 sends heartbeats to r1. */
function createHarness(initialNames = names) {
    const view = createFleetView({
        getMaxCredentialAgeMs: () => 4_500,
        entryRestoreMs: 1_900,
        maxLapseMs: 2_900,
        getRegion: () => undefined,
    });
    const detector = createRouterFailureDetector({ router: "r1", incarnation: 1, view });
    const recorded: { readonly at: number; readonly effect: PlacementEffect; }[] = [];
    const reduce = (event: PlacementEvent): void => {
        view.reduce(event);
        for (const effect of detector.reduce(event)) recorded.push({ at: event.now, effect });
    };
    const list = (entries: readonly RouterEntry[], now: number, era = 1): void =>
        reduce({ type: "viewListed", kind: "routers", entries, era, revision: 1, confirmedAt: now, now });
    list(initialNames.map(name => createRouterEntry(name)), 0);
    return {
        reduce,
        list,
        /** Advances the clock in steps of one second; the `alive` routers send a message in each step. */
        run: (from: number, until: number, alive: readonly string[]): void => {
            for (let now = from; now <= until; now += 1_000) {
                const message = { type: "confirmationAsk", sequence: 0 } as const;
                for (const router of alive)
                    reduce({ type: "routerMessage", from: router, address: router, message, now });
                reduce({ type: "wake", now });
            }
        },
        listRemovals: () =>
            recorded.flatMap(({ at, effect }) =>
                effect.type === "removeRouter" ? [`${effect.router}.${effect.incarnation} at ${at}`] : []
            ),
        countRegistrations: () => recorded.filter(({ effect }) => effect.type === "announceRouter").length,
        listHeartbeatTargets: () =>
            new Set(recorded.flatMap(({ effect }) => effect.type === "sendToRouter" ? [effect.router] : [])),
    };
}

// Guards against entries that remain after hosts were replaced; at the size planned for two years ahead, 800 hosts a
// day are restarted or replaced.
test("the successor is removed after 30 s of silence, and again while its entry remains", () => {
    const harness = createHarness();
    harness.run(0, 65_000, ["r3"]);
    assert.equal(harness.listRemovals(), ["r2.1 at 30000", "r2.1 at 60000"]);
    assert.equal([...harness.listHeartbeatTargets()], ["r2"]);
});

test("a router that replies to heartbeats is not removed", () => {
    const harness = createHarness();
    harness.run(0, 120_000, ["r2", "r3"]);
    assert.equal(harness.listRemovals(), []);
});

// Guards against a partitioned router that deregisters live ones.
test("a router that hears from no other removes none", () => {
    const harness = createHarness();
    harness.run(0, 120_000, []);
    assert.equal(harness.listRemovals(), []);
});

// Guards against a resumed router that takes its own suspension for the silence of others.
test("silence before a suspension of this router does not count", () => {
    const harness = createHarness();
    harness.run(0, 25_000, ["r3"]);
    harness.reduce({ type: "clockJumped", byMs: 40_000, now: 26_000 });
    harness.run(27_000, 55_000, ["r3"]);
    assert.equal(harness.listRemovals(), []);
});

test("the silence of a restarted router is measured from its restart", () => {
    const harness = createHarness();
    harness.run(0, 25_000, ["r3"]);
    harness.list([createRouterEntry("r1"), createRouterEntry("r2", 2), createRouterEntry("r3")], 25_500);
    harness.run(26_000, 54_000, ["r3"]);
    assert.equal(harness.listRemovals(), []);
    harness.run(55_000, 61_000, ["r3"]);
    assert.equal(harness.listRemovals(), ["r2.2 at 60000"]);
});

// Guards against a live router that stays unlisted, because a delayed removal of its previous process took effect after
// it had registered.
test("a router whose entry has vanished registers again", () => {
    const harness = createHarness();
    harness.list([createRouterEntry("r2"), createRouterEntry("r3")], 1_000);
    harness.list([createRouterEntry("r2"), createRouterEntry("r3")], 2_000);
    assert.is(harness.countRegistrations(), 1);
});

// Guards against a router that no other one finds: its registration was lost before it had seen it.
test("a router that is not listed after the store has come back from an older copy registers again", () => {
    const harness = createHarness(["r2", "r3"]);
    harness.list([createRouterEntry("r2")], 1_000);
    assert.is(harness.countRegistrations(), 0, "its registration may be under way");
    harness.list([createRouterEntry("r2")], 2_000, 2);
    harness.list([createRouterEntry("r2"), createRouterEntry("r3")], 2_500, 2);
    assert.is(harness.countRegistrations(), 1);
    harness.list(names.map(name => createRouterEntry(name)), 3_000, 2);
    harness.list(names.map(name => createRouterEntry(name)), 4_000, 3);
    assert.is(harness.countRegistrations(), 1);
});

// Guards against a router that others take for its earlier process, with another key and incarnation.
test("a router registers again if the copy has the entry of its earlier process", () => {
    const harness = createHarness();
    harness.list([createRouterEntry("r1", 0), createRouterEntry("r2")], 1_000, 2);
    assert.is(harness.countRegistrations(), 1);
});

test("a router that drains does not register again", () => {
    const harness = createHarness();
    harness.reduce({ type: "drainRequested", now: 500 });
    harness.list([createRouterEntry("r2"), createRouterEntry("r3")], 1_000);
    harness.list([createRouterEntry("r2"), createRouterEntry("r3")], 2_000, 2);
    assert.is(harness.countRegistrations(), 0);
});

test.run();
