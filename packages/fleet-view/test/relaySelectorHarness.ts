/** A relay selector on a fake clock, with the relays and the watching that result from its effects. */
import type { RouterEntry, ViewKind } from "@rhubarbwheel/types/fleet";
import { viewKinds } from "@rhubarbwheel/types/fleet";
import type { PlacementEffect, PlacementEvent } from "@rhubarbwheel/types/placement-events";
import { createRelaySelector, initialWatchedKinds } from "../src/createRelaySelector.js";

type EventWithoutNow = PlacementEvent extends infer E ? E extends PlacementEvent ? Omit<E, "now"> : never : never;

export const maxAgeMs = {
    configuration: 2_000,
    targets: 2_000,
    closedDomains: 3_000,
    routers: 10_000,
    rollouts: 2_000,
};

function createRouterEntry(name: string, overrides: Partial<RouterEntry> = {}): RouterEntry {
    return {
        router: name,
        incarnation: 1,
        address: `${name}:7400`,
        failureDomain: "zone-a",
        relayKey: `key-of-${name}`,
        ...overrides,
    };
}

export function createNames(count: number): string[] {
    return Array.from({ length: count }, (_, index) => `router-${index}`);
}

/** A selector with its time, and the relays and the watching that result from its effects. */
export function startHarness(router: string, names: readonly string[], overrides: Partial<RouterEntry> = {}) {
    let routers = names.map(name => createRouterEntry(name, overrides));
    let watchedKinds: readonly ViewKind[] = initialWatchedKinds;
    let relays: readonly RouterEntry[] = [];
    let now = 0;
    const selector = createRelaySelector({
        router,
        failureDomain: "zone-a",
        view: { listRouters: () => routers },
        getMaxAgeMs: kind => maxAgeMs[kind],
    });
    const applyEffect = (effect: PlacementEffect): void => {
        if (effect.type === "connectRelays") relays = effect.relays;
        if (effect.type === "watchStore") watchedKinds = effect.kinds;
    };
    const reduce = (event: EventWithoutNow): void =>
        selector.reduce({ ...event, now } as PlacementEvent).forEach(applyEffect);
    const harness = {
        list: (nextNames = names) => {
            routers = nextNames.map(name => createRouterEntry(name, overrides));
            reduce({ type: "viewChanged", kind: "routers", changes: [], era: 1, revision: 1, confirmedAt: now });
        },
        listKind: (kind: ViewKind) =>
            reduce({ type: "viewListed", kind, entries: [], era: 1, revision: 1, confirmedAt: now }),
        report: (relay: string, ageMs = 0, kinds: readonly ViewKind[] = viewKinds) => {
            const confirmedAt = Object.fromEntries(kinds.map(kind => [kind, now - ageMs]));
            reduce({ type: "relayReported", router: relay, incarnation: 1, confirmedAt });
        },
        lose: (relay: string) => reduce({ type: "relayLost", router: relay, incarnation: 1, reason: "ECONNREFUSED" }),
        jump: () => reduce({ type: "clockJumped", byMs: 3_000 }),
        /** Advances the time with the wake-ups that the selector asks for, at most one in 10 ms. */
        advance: (ms: number, onStep: () => void = () => undefined) => {
            const until = now + ms;
            while (now < until) {
                now += 10;
                if (selector.getWakeAt() <= now) reduce({ type: "wake" });
                onStep();
            }
        },
        /** Advances with wake-ups that are late by `lateMs`, as on an event loop without processor time. */
        advanceLate: (ms: number, lateMs: number) => {
            const until = now + ms;
            for (let wakeAt = selector.getWakeAt() + lateMs; wakeAt <= until; wakeAt = selector.getWakeAt() + lateMs) {
                now = Math.max(now, wakeAt);
                reduce({ type: "wake" });
            }
            now = until;
        },
        /** Advances without any wake-up, as on a busy event loop. */
        block: (ms: number) => {
            now += ms;
        },
        listRelays: () => relays.map(relay => relay.router),
        isWatching: () => watchedKinds.length > 0,
        listWatchedKinds: () => watchedKinds,
        getNow: () => now,
    };
    return harness;
}

export function createHarness(router: string, names: readonly string[], overrides: Partial<RouterEntry> = {}) {
    const harness = startHarness(router, names, overrides);
    harness.list();
    harness.advance(500);
    return harness;
}

export function findFollower(names: readonly string[]) {
    for (const name of names) {
        const harness = createHarness(name, names);
        if (harness.listRelays().length === 2) return harness;
    }
    throw new Error("no follower");
}
