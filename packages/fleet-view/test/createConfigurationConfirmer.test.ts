/** Tests when a confirmation by another router keeps credentials current. All times are on a fake clock. */
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

function createRouterEntry(router: string): RouterEntry {
    return { router, incarnation: 1, address: router, failureDomain: "a" };
}

/** Routers that reach each other, each with its own view; the test decides which of them reach the store. */
function createFleet(names: readonly string[]) {
    let now = 0;
    const downLinks = new Set<string>();
    const requests: string[] = [];
    const inTransit: { readonly to: string; readonly from: string; readonly message: PlacementMessage; }[] = [];
    const routers = new Map(names.map(router => {
        const view = createFleetView({
            getMaxCredentialAgeMs: () => maxCredentialAgeMs,
            entryRestoreMs: 1_900,
            maxLapseMs: 2_900,
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
            if (effect.message.type === "confirmationAsk") requests.push(`${router} asks ${effect.router}`);
            if (!downLinks.has(`${router}-${effect.router}`))
                inTransit.push({ to: effect.router, from: router, message: effect.message });
        }
    };
    const deliver = (): void => {
        for (const { to, from, message } of inTransit.splice(0))
            reduce(to, { type: "routerMessage", from, address: from, message, now });
    };
    const list = (router: string): void => {
        const common = { type: "viewListed", era: 1, revision: 1, confirmedAt: now, now } as const;
        reduce(router, { ...common, kind: "configuration", entries: [configuration] });
        reduce(router, { ...common, kind: "routers", entries: names.map(createRouterEntry) });
    };

    names.forEach(list);
    return {
        requests,
        partition: (from: string, to: string) => downLinks.add(`${from}-${to}`).add(`${to}-${from}`),
        reduce,
        /** Advances to `until`; the store confirms the configuration of the `connected` routers in every step. */
        run: (until: number, connected: readonly string[], version = 7): void => {
            while (now < until) {
                now += stepMs;
                for (const router of connected) {
                    const changes = [{ name: "main", entry: { ...configuration, version } }];
                    const common = { era: 1, revision: version, confirmedAt: now, now };
                    reduce(router, { type: "viewChanged", kind: "configuration", changes, ...common });
                }
                for (const router of names) reduce(router, { type: "wake", now });
                // A request and its reply take two steps.
                deliver();
            }
        },
        getFreshness: (router: string) => routers.get(router)!.view.getCredentialFreshness(now),
        getNow: () => now,
    };
}

// Guards against refused calls at a router that the store rejects while it serves others.
test("a router that the store rejects keeps its credentials current while another router can confirm them", () => {
    const fleet = createFleet(["r1", "r2", "r3"]);
    fleet.run(20_000, ["r2", "r3"]);
    assert.is(fleet.getFreshness("r1"), "current");
});

// Guards against a rejected router that accepts a revoked credential.
test("a reply with a newer version confirms nothing", () => {
    const fleet = createFleet(["r1", "r2"]);
    fleet.run(10_000, ["r2"]);
    assert.is(fleet.getFreshness("r1"), "current");
    // The store accepts the revocation right after the last confirmation.
    fleet.run(10_000 + maxCredentialAgeMs + stepMs, ["r2"], 8);
    assert.is(fleet.getFreshness("r1"), "unconfirmed");
});

// Guards against routers that confirm each other forever while the store is down for all.
test("routers cannot keep each other's credentials current without the store", () => {
    const fleet = createFleet(["r1", "r2", "r3"]);
    fleet.run(maxCredentialAgeMs, []);
    assert.is(fleet.getFreshness("r1"), "current");
    fleet.run(maxCredentialAgeMs + stepMs, []);
    for (const router of ["r1", "r2", "r3"]) assert.is(fleet.getFreshness(router), "unconfirmed");
});

test("a router that is partitioned from the store and from other routers accepts no credentials", () => {
    const fleet = createFleet(["r1", "r2"]);
    fleet.partition("r1", "r2");
    fleet.run(maxCredentialAgeMs + stepMs, ["r2"]);
    assert.is(fleet.getFreshness("r1"), "unconfirmed");
});

test("no confirmation is requested while the store responds", () => {
    const fleet = createFleet(["r1", "r2"]);
    fleet.run(10_000, ["r1", "r2"]);
    assert.equal(fleet.requests, []);
});

test("two routers are asked per round, at a bounded rate", () => {
    const fleet = createFleet(["r1", "r2", "r3", "r4"]);
    fleet.run(5_000, ["r2", "r3", "r4"]);
    // From 3.0 s to 5.0 s every 0.4 s.
    assert.is(fleet.requests.length, 12);
});

// Guards against a reply that was in transit during a suspension and confirms a revoked credential.
test("a reply to a request from before a suspension confirms nothing", () => {
    const fleet = createFleet(["r1", "r2"]);
    fleet.run(2_900, ["r2"]);
    const now = fleet.getNow();
    fleet.reduce("r1", { type: "wake", now: now + 200 });
    assert.is(fleet.requests.length, 1);
    fleet.reduce("r1", { type: "clockJumped", byMs: 9_000, now: now + 201 });
    const message = { type: "confirmationReply", sequence: 1, configurationVersion: 7, ageMs: 0 } as const;
    fleet.reduce("r1", { type: "routerMessage", from: "r2", address: "r2", message, now: now + 201 });
    assert.is(fleet.getFreshness("r1"), "unconfirmed");
});

test.run();
