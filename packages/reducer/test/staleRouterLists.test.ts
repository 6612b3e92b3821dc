/** Coordinators while the store turns some routers away: several routers on simulated time, with one limited target. */
import type { RouterEntry, ViewKind } from "@rhubarbwheel/types/fleet";
import type { PlacementEffect, PlacementEvent } from "@rhubarbwheel/types/placement-events";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createTestReducer } from "./createTestReducer.js";

const service = "orders";
const target = "target-1";

/** Requests a second that the target accepts. */
const limitPerSecond = 10;

/** Bounds of the users' rule. */
const windowMs = 4_000;
const maxInWindow = 1.5 * limitPerSecond * windowMs / 1_000 + 5;

const workMs = 10;
const linkMs = 1;
const tickMs = 1;

/** Later routers are on larger hosts, so each one coordinates once it is listed. */
const routerEntries: readonly RouterEntry[] = Array.from({ length: 4 }, (_, index) => ({
    router: `r${index + 1}`,
    incarnation: 1,
    address: `10.0.0.${index + 1}:7400`,
    failureDomain: "a",
    cores: 3 ** index,
}));

function createFleet() {
    const reducers = new Map<string, ReturnType<typeof createTestReducer>>();
    const arrivals: number[] = [];
    let scheduled: { readonly at: number; readonly run: () => void; }[] = [];
    let now = 0;
    let requestCount = 0;

    const schedule = (delayMs: number, run: () => void): void => void scheduled.push({ at: now + delayMs, run });

    const runEffect = (router: string, effect: PlacementEffect): void => {
        if (effect.type === "sendToRouter") {
            const { address } = routerEntries.find(entry => entry.router === router)!;
            const { message } = effect;
            schedule(
                linkMs,
                () => reduce(effect.router, { type: "routerMessage", from: router, address, message, now }),
            );
        }
        else if (effect.type === "startAttempt") {
            arrivals.push(now);
            const { requestId, attempt } = effect;
            const sentAt = now;
            schedule(workMs, () => {
                const notice = { isLeaving: false, rateLimit: limitPerSecond };
                reduce(router, { type: "targetNoticed", requestId, target, notice, sentAt, now });
                reduce(router, {
                    type: "attemptFinished",
                    requestId,
                    attempt,
                    result: "complete",
                    responseStarted: true,
                    now,
                });
            });
        }
    };

    const reduce = (router: string, event: PlacementEvent): void => {
        for (const effect of reducers.get(router)?.reduce(event) ?? []) runEffect(router, effect);
    };

    const list = (router: string, kind: ViewKind, entries: readonly unknown[], revision: number): void =>
        reduce(router, {
            type: "viewListed",
            kind,
            entries: entries as never,
            era: 1,
            revision,
            confirmedAt: now,
            now,
        });

    return {
        arrivals,
        /** Starts a router that knows all entries of the store but those of routers. */
        start: (router: string): void => {
            reducers.set(router, createTestReducer({ router, incarnation: 1, failureDomain: "a" }));
            list(router, "configuration", [{
                version: 1,
                routes: [],
                pools: [{ service, maxConnections: 200, coldRequestsPerSecond: 0 }],
                limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
                tokensPerSecond: 660_000,
            }], 1);
            list(router, "targets", [{
                target,
                service,
                address: "10.0.9.1:8080",
                failureDomain: "a",
                slots: 100,
                state: "ready",
                coldForMs: 0,
            }], 1);
            list(router, "closedDomains", [], 1);
        },
        /** The routers of `names` read the list of the first `count` routers from the store. */
        listRouters: (names: readonly string[], count: number, revision: number): void => {
            for (const name of names) list(name, "routers", routerEntries.slice(0, count), revision);
        },
        /** Lets time pass until `until`, while each router of `names` gets 30 requests a second. */
        advanceTo: (until: number, names: readonly string[]): void => {
            for (; now < until; now += tickMs) {
                const due = scheduled.filter(({ at }) => at <= now);
                scheduled = scheduled.filter(({ at }) => at > now);
                for (const { run } of due) run();
                for (const [router, reducer] of reducers)
                    if (now >= reducer.getWakeAt()) reduce(router, { type: "wake", now });
                if (now % 33 !== 0) continue;
                for (const router of names) {
                    const requestId = `${router}.${++requestCount}`;
                    const request = {
                        requestId,
                        callerId: requestId,
                        route: "route",
                        service,
                        kind: "idempotent",
                        resumable: false,
                        maxAttempts: 2,
                        latencyTargetMs: 200,
                        timeLimitMs: 2_500,
                    } as const;
                    reduce(router, { type: "requestRouted", request, now });
                }
            }
        },
    };
}

function assertLimit(arrivals: readonly number[], fromMs: number, description: string): void {
    const counted = arrivals.filter(at => at >= fromMs);
    const counts = counted.map(from => counted.filter(at => at >= from && at < from + windowMs).length);
    assert.ok(counts.length > 20, `${description}: the target gets requests`);
    assert.ok(Math.max(...counts) <= maxInWindow, `${description}: ${Math.max(...counts)} requests in 4 s`);
}

const first = ["r1", "r2", "r3"];

/** Plays a router that is added while the store turns the routers of `stale` away. */
function playAddedRouter(stale: readonly string[]): readonly number[] {
    const fleet = createFleet();
    for (const router of first) fleet.start(router);
    fleet.listRouters(first, 3, 10);
    fleet.advanceTo(6_000, first);
    fleet.start("r4");
    fleet.listRouters([...first.filter(router => !stale.includes(router)), "r4"], 4, 20);
    fleet.advanceTo(16_000, [...first, "r4"]);
    fleet.listRouters([...first, "r4"], 4, 30);
    fleet.advanceTo(20_000, [...first, "r4"]);
    return fleet.arrivals;
}

// Guards against two coordinators that each grant the whole rate of a target.
test("a target gets its rate while the store turns routers away and a new router coordinates", () => {
    for (const stale of [[], ["r1"], ["r3"], ["r1", "r2"], ["r1", "r2", "r3"]])
        assertLimit(playAddedRouter(stale), 4_000, `turned away: ${stale.join()}`);
});

test("a target gets its rate while the coordinator leaves and the store turns routers away", () => {
    for (const stale of [["r1"], ["r1", "r2"]]) {
        const fleet = createFleet();
        for (const router of [...first, "r4"]) fleet.start(router);
        fleet.listRouters([...first, "r4"], 4, 10);
        fleet.advanceTo(6_000, first);
        // The last router stays reachable for those that still ask it.
        fleet.listRouters(first.filter(router => !stale.includes(router)), 3, 20);
        fleet.advanceTo(16_000, first);
        assertLimit(fleet.arrivals, 4_000, `turned away: ${stale.join()}`);
    }
});

test.run();
