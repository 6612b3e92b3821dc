/** Coordinators of rollouts with a fake store and fake deciders, on a fake clock. */
import { createFleetView } from "@rhubarbwheel/fleet-view/createFleetView";
import type {
    RolloutDecider,
    RolloutDeciderOptions,
    RolloutDecision,
    RolloutReason,
} from "@rhubarbwheel/rollout/createRolloutDecider";
import type { ViewKind } from "@rhubarbwheel/types/fleet";
import type { PlacementEvent } from "@rhubarbwheel/types/placement-events";
import type { RolloutEntry, RolloutStatusWrittenEvent } from "@rhubarbwheel/types/rollout";
import { createRolloutCoordinator } from "../src/createRolloutCoordinator.js";
import { createRequest, createRouterEntries, createTargets } from "./placementFixtures.js";

const routers = createRouterEntries(2);

export const rolloutTargets = [
    ...createTargets(4, { service: "orders", version: "v1", startedAtUnixMs: 1 }),
    ...createTargets(4, { service: "orders", version: "v2", startedAtUnixMs: 2 }).map(entry => ({
        ...entry,
        target: `new-${entry.target}`,
    })),
];

/** The store: one order with conditional writes. */
export function createFakeStore() {
    let era = 1;
    let revision = 10;
    let order: RolloutEntry | undefined;
    let isDown = false;
    const writes: string[] = [];
    const put = (next: Omit<RolloutEntry, "era" | "revision">): void => {
        revision += 1;
        order = { ...next, era, revision };
    };
    return {
        writes,
        order: (targetVersion: string) =>
            put({ service: "orders", targetVersion, durationMs: 12_000, createdRevision: revision + 1 }),
        remove: () => (order = undefined),
        get: () => order,
        getEra: () => era,
        /** Comes back with an earlier state of the order, whose revision is lower. */
        restoreCopy: (copy: RolloutEntry) => {
            era += 1;
            revision = copy.revision;
            order = { ...copy, era };
        },
        setDown: (down: boolean) => (isDown = down),
        write: (
            { revision: expected, status, ...rest }: Omit<RolloutStatusWrittenEvent, "result" | "type" | "now">,
        ): Omit<RolloutStatusWrittenEvent, "now"> => {
            const isConflict = expected !== order?.revision;
            if (!isDown && order !== undefined && !isConflict) put({ ...order, status });
            const result = isDown ? "unavailable" : isConflict ? "conflict" : "ok";
            writes.push(`${status.state} ${status.phase ?? ""} ${result}`.replace(/ +/g, " "));
            const entry = isDown || order === undefined ? {} : { entry: order };
            return { type: "rolloutStatusWritten", result, revision: expected, status, ...rest, ...entry };
        },
    };
}

type FakeStore = ReturnType<typeof createFakeStore>;

/** A coordinator with its own view of the store; `r1` coordinates until told otherwise. */
export function createRouter(router: string, store: FakeStore, opts: { readonly wallClockMs?: number; } = {}) {
    const view = createFleetView({
        getMaxCredentialAgeMs: () => 4_500,
        entryRestoreMs: 1_900,
        maxLapseMs: 2_900,
        getRegion: () => undefined,
        rollouts: { getHoldMs: () => 2_000 },
    });
    let decision: RolloutDecision = "wait";
    let reason: RolloutReason | undefined;
    let inFlight = 0;
    let coordinatorName = router;
    const deciders: RolloutDeciderOptions[] = [];
    const outcomes: string[] = [];
    const phases: string[] = [];
    let returned = 0;
    const createDecider = (deciderOpts: RolloutDeciderOptions): RolloutDecider => {
        deciders.push(deciderOpts);
        return {
            tryTakeCanary: () => true,
            returnCanary: () => (returned += 1),
            recordOutcome: ({ route, isNewVersion, result }) =>
                outcomes.push(`${route} ${isNewVersion ? "new" : "old"} ${result}`),
            decide: (_now, inFlightAtOld) => decision === "complete" && inFlightAtOld > 0 ? "wait" : decision,
            setPhase: phase => phases.push(phase),
            getEvidence: () => ({
                decision,
                reason,
                requests: 0,
                canaries: 0,
                failureSum: 0,
                slownessSum: 0,
                routes: new Map(),
            }),
        };
    };
    const coordinator = createRolloutCoordinator({
        router,
        view,
        findCoordinator: () => routers.find(entry => entry.router === coordinatorName),
        isFirstByRank: () => router === "r1",
        countAssigned: (_service, target) => target === "target-1" ? inFlight : 0,
        getBounds: () => ({ exposeShare: 0.1, exposeSlack: 50, applyMs: 2_000 }),
        getWallClockTime: () => opts.wallClockMs ?? 1_000_000,
        random: () => 0,
        createDecider,
    });
    /** Reduces an event; writes are answered at once unless `isKilled`. */
    const reduce = (event: PlacementEvent, isKilled = false): void => {
        view.reduce(event);
        for (const effect of coordinator.reduce(event)) {
            if (effect.type !== "writeRolloutStatus") continue;
            if (isKilled) return;
            const { service, era, revision, status } = effect;
            reduce({ ...store.write({ service, era, revision, status }), now: event.now });
        }
    };
    let listRevision = 0;
    const list = (kind: ViewKind, entries: readonly unknown[], now: number): void =>
        reduce({
            type: "viewListed",
            kind,
            entries: entries as never,
            era: store.getEra(),
            revision: ++listRevision,
            confirmedAt: now,
            now,
        });
    list("configuration", [{ version: 1, routes: [], pools: [{ service: "orders" }] }], 0);
    list("targets", rolloutTargets, 0);
    list("closedDomains", [], 0);
    list("routers", routers, 0);
    return {
        view,
        coordinator,
        deciders,
        outcomes,
        phases,
        reduce,
        countReturned: () => returned,
        setDecision: (next: RolloutDecision, why?: RolloutReason): void => {
            decision = next;
            reason = why;
        },
        setInFlight: (count: number) => (inFlight = count),
        setCoordinator: (name: string) => (coordinatorName = name),
        readStore: (now: number) => list("rollouts", store.get() === undefined ? [] : [store.get()], now),
        wake: (now: number, isKilled = false) => reduce({ type: "wake", now }, isKilled),
        countCanaryTargets: (now: number) =>
            coordinator.takeCanaryTargets(createRequest("x", { service: "orders" }), now).length,
    };
}

export function startRollout() {
    const store = createFakeStore();
    const router = createRouter("r1", store);
    store.order("v2");
    router.readStore(1_000);
    return { store, router };
}
