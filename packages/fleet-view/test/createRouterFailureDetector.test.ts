/** Which entries of routers are removed from the store and which come back. All times are on a fake clock. */
import type { RouterEntry } from "@rhubarbwheel/types/fleet";
import type { PlacementEffect, PlacementEvent } from "@rhubarbwheel/types/placement-events";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createFleetView } from "../src/createFleetView.js";
import { createRouterFailureDetector } from "../src/createRouterFailureDetector.js";

function describeRouter(router: string, incarnation = 1): RouterEntry {
    return { router, incarnation, address: router, failureDomain: "a" };
}

const names = ["r1", "r2", "r3"];

/** Router r1 of three; r2 is the next one by name, and r3 watches r1. */
function createHarness() {
    const view = createFleetView({
        getMaxCredentialAgeMs: () => 4_500,
        removalGraceMs: 1_900,
        outageWindowMs: 2_500,
        getRegion: () => undefined,
    });
    const watch = createRouterFailureDetector({ router: "r1", view });
    const seen: { readonly at: number; readonly effect: PlacementEffect; }[] = [];
    const reduce = (event: PlacementEvent): void => {
        view.reduce(event);
        for (const effect of watch.reduce(event)) seen.push({ at: event.now, effect });
    };
    const list = (entries: readonly RouterEntry[], now: number): void =>
        reduce({ type: "viewListed", kind: "routers", entries, revision: 1, confirmedAt: now, now });
    list(names.map(name => describeRouter(name)), 0);
    return {
        reduce,
        list,
        /** Lets time pass in seconds, with messages of these routers every second. */
        run: (from: number, until: number, alive: readonly string[]): void => {
            for (let now = from; now <= until; now += 1_000) {
                const message = { type: "confirmationAsk", sequence: 0 } as const;
                for (const router of alive)
                    reduce({ type: "routerMessage", from: router, address: router, message, now });
                reduce({ type: "wake", now });
            }
        },
        findRemoved: () =>
            seen.flatMap(({ at, effect }) =>
                effect.type === "removeRouter" ? [`${effect.router}.${effect.incarnation} at ${at}`] : []
            ),
        countAnnounced: () => seen.filter(({ effect }) => effect.type === "announceRouter").length,
        listAsked: () => new Set(seen.flatMap(({ effect }) => effect.type === "sendToRouter" ? [effect.router] : [])),
    };
}

// Pattern: `node_kill` with hosts that are gone for good; 800 hosts a day are restarted or replaced at the size of two years.
test("the next router is removed after 30 s of silence, and again while its entry stays", () => {
    const harness = createHarness();
    harness.run(0, 65_000, ["r3"]);
    assert.equal(harness.findRemoved(), ["r2.1 at 30000", "r2.1 at 60000"]);
    assert.equal([...harness.listAsked()], ["r2"]);
});

test("a router that answers is not removed", () => {
    const harness = createHarness();
    harness.run(0, 120_000, ["r2", "r3"]);
    assert.equal(harness.findRemoved(), []);
});

// Pattern: `node_cut`: the router that hears nobody is the one that is cut off.
test("a router that hears nobody removes nobody", () => {
    const harness = createHarness();
    harness.run(0, 120_000, []);
    assert.equal(harness.findRemoved(), []);
});

// Pattern: `node_freeze`.
test("silence before a suspension of this router does not count", () => {
    const harness = createHarness();
    harness.run(0, 25_000, ["r3"]);
    harness.reduce({ type: "clockJumped", byMs: 40_000, now: 26_000 });
    harness.run(27_000, 55_000, ["r3"]);
    assert.equal(harness.findRemoved(), []);
});

test("a router that has started again is watched anew", () => {
    const harness = createHarness();
    harness.run(0, 25_000, ["r3"]);
    harness.list([describeRouter("r1"), describeRouter("r2", 2), describeRouter("r3")], 25_500);
    harness.run(26_000, 54_000, ["r3"]);
    assert.equal(harness.findRemoved(), []);
    harness.run(55_000, 61_000, ["r3"]);
    assert.equal(harness.findRemoved(), ["r2.2 at 60000"]);
});

// Pattern: `platform_lost` (late): the removal by the process before is done after this one has announced itself.
test("a router whose entry has vanished announces itself again", () => {
    const harness = createHarness();
    harness.list([describeRouter("r2"), describeRouter("r3")], 1_000);
    harness.list([describeRouter("r2"), describeRouter("r3")], 2_000);
    assert.is(harness.countAnnounced(), 1);
});

test("a router that drains, or has not been listed yet, does not", () => {
    const harness = createHarness();
    harness.reduce({ type: "drainRequested", now: 500 });
    harness.list([describeRouter("r2"), describeRouter("r3")], 1_000);
    assert.is(harness.countAnnounced(), 0);
});

test.run();
