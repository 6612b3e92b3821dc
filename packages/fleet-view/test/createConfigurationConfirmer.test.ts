/** When another router's word keeps credentials in force, and when it must not. All times are on a fake clock. */
import type { FleetConfiguration, RouterEntry } from "@rhubarbwheel/types/fleet";
import type { PlacementMessage } from "@rhubarbwheel/types/placement";
import type { PlacementEvent } from "@rhubarbwheel/types/placement-events";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createConfigurationConfirmer } from "../src/createConfigurationConfirmer.js";
import { createFleetView } from "../src/createFleetView.js";

const configuration: FleetConfiguration = {
    version: 7,
    routes: [],
    pools: [],
    limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
    workspaces: [{ workspace: "ada", credentials: ["key"] }],
};

const maxCredentialAgeMs = 4_500;
const stepMs = 100;

function describeRouter(router: string): RouterEntry {
    return { router, incarnation: 1, address: router, failureDomain: "a" };
}

/** Routers that reach each other, each with a view of its own; the test says which of them the store answers. */
function createFleet(names: readonly string[]) {
    let now = 0;
    const isCut = new Set<string>();
    const asks: string[] = [];
    const inTransit: { readonly to: string; readonly from: string; readonly message: PlacementMessage; }[] = [];
    const routers = new Map(names.map(router => {
        const view = createFleetView({
            getMaxCredentialAgeMs: () => maxCredentialAgeMs,
            removalGraceMs: 1_900,
            outageWindowMs: 2_500,
            getRegion: () => undefined,
        });
        return [router, { view, confirmer: createConfigurationConfirmer({ router, view, random: () => 0.4 }) }];
    }));

    const reduce = (router: string, event: PlacementEvent): void => {
        const { view, confirmer } = routers.get(router)!;
        view.reduce(event);
        for (const effect of confirmer.reduce(event)) {
            if (effect.type === "raise") reduce(router, effect.event);
            if (effect.type !== "sendToRouter") continue;
            if (effect.message.type === "confirmationAsk") asks.push(`${router} asks ${effect.router}`);
            if (!isCut.has(`${router}-${effect.router}`))
                inTransit.push({ to: effect.router, from: router, message: effect.message });
        }
    };
    const deliver = (): void => {
        for (const { to, from, message } of inTransit.splice(0))
            reduce(to, { type: "routerMessage", from, address: from, message, now });
    };
    const list = (router: string): void => {
        const common = { type: "viewListed", revision: 1, confirmedAt: now, now } as const;
        reduce(router, { ...common, kind: "configuration", entries: [configuration] });
        reduce(router, { ...common, kind: "routers", entries: names.map(describeRouter) });
    };

    names.forEach(list);
    return {
        asks,
        cutPeers: (from: string, to: string) => isCut.add(`${from}-${to}`).add(`${to}-${from}`),
        reduce,
        /** The store confirms the configuration of these routers every step until `until`. */
        run: (until: number, inTouch: readonly string[], version = 7): void => {
            while (now < until) {
                now += stepMs;
                for (const router of inTouch) {
                    const changes = [{ name: "main", entry: { ...configuration, version } }];
                    const common = { revision: version, confirmedAt: now, now };
                    reduce(router, { type: "viewChanged", kind: "configuration", changes, ...common });
                }
                for (const router of names) reduce(router, { type: "wake", now });
                // A message and its answer take two steps.
                deliver();
            }
        },
        judge: (router: string) => routers.get(router)!.view.getCredentialFreshness(now),
        getNow: () => now,
    };
}

// Pattern: `platform_down` with `nodes`: the store turns some routers away and serves the others.
test("a router that the store turns away keeps its credentials while another one can confirm them", () => {
    const fleet = createFleet(["r1", "r2", "r3"]);
    fleet.run(20_000, ["r2", "r3"]);
    assert.is(fleet.judge("r1"), "current");
});

// Pattern: `platform_down` with `revoke`: the router that is turned away must not serve with the old version.
test("a newer version at another router confirms nothing", () => {
    const fleet = createFleet(["r1", "r2"]);
    fleet.run(10_000, ["r2"]);
    assert.is(fleet.judge("r1"), "current");
    // The revocation is acknowledged right after the last confirmation.
    fleet.run(10_000 + maxCredentialAgeMs + stepMs, ["r2"], 8);
    assert.is(fleet.judge("r1"), "unconfirmed");
});

// Pattern: `platform_down`: the store is away for all.
test("routers cannot keep each other's credentials alive without the store", () => {
    const fleet = createFleet(["r1", "r2", "r3"]);
    fleet.run(maxCredentialAgeMs, []);
    assert.is(fleet.judge("r1"), "current");
    fleet.run(maxCredentialAgeMs + stepMs, []);
    for (const router of ["r1", "r2", "r3"]) assert.is(fleet.judge(router), "unconfirmed");
});

test("a router that is cut off from the store and from the others accepts no credentials", () => {
    const fleet = createFleet(["r1", "r2"]);
    fleet.cutPeers("r1", "r2");
    fleet.run(maxCredentialAgeMs + stepMs, ["r2"]);
    assert.is(fleet.judge("r1"), "unconfirmed");
});

test("while the store answers, nobody is asked", () => {
    const fleet = createFleet(["r1", "r2"]);
    fleet.run(10_000, ["r1", "r2"]);
    assert.equal(fleet.asks, []);
});

test("two others are asked at a time, at a bounded rate", () => {
    const fleet = createFleet(["r1", "r2", "r3", "r4"]);
    fleet.run(5_000, ["r2", "r3", "r4"]);
    // From 3.0 s to 5.0 s every 0.4 s.
    assert.is(fleet.asks.length, 12);
});

// Pattern: `node_freeze`: the reply was on its way when the process was suspended.
test("a reply to a question from before a suspension confirms nothing", () => {
    const fleet = createFleet(["r1", "r2"]);
    fleet.run(2_900, ["r2"]);
    const now = fleet.getNow();
    fleet.reduce("r1", { type: "wake", now: now + 200 });
    assert.is(fleet.asks.length, 1);
    fleet.reduce("r1", { type: "clockJumped", byMs: 9_000, now: now + 201 });
    const message = { type: "confirmationReply", sequence: 1, configurationVersion: 7, ageMs: 0 } as const;
    fleet.reduce("r1", { type: "routerMessage", from: "r2", address: "r2", message, now: now + 201 });
    assert.is(fleet.judge("r1"), "unconfirmed");
});

test.run();
