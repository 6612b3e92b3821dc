/** Fleet view on a fake clock, and the store entries to load into it. */
import { createFleetView } from "@rhubarbwheel/fleet-view/createFleetView";
import type { FleetConfiguration, PoolSpec, RouterEntry, TargetEntry, ViewKind } from "@rhubarbwheel/types/fleet";
import type { PlacementEvent } from "@rhubarbwheel/types/placement-events";
import type { RolloutEntry } from "@rhubarbwheel/types/rollout";

export interface ViewFixtureOptions {
    readonly pool: PoolSpec;
    readonly targets: readonly TargetEntry[];
    readonly latencyTargetMs?: number;
    readonly tokensPerSecond?: number;
    /** Routers in the store; none if omitted. */
    readonly routers?: readonly RouterEntry[];
    /** Orders to roll out versions; not followed if omitted. */
    readonly orders?: readonly RolloutEntry[];
}

function createConfiguration(opts: ViewFixtureOptions): FleetConfiguration {
    return {
        version: 1,
        routes: [{
            name: "route",
            host: "h",
            pathPrefix: "/",
            kind: "stream",
            resumable: false,
            isPublic: false,
            timeoutMs: 15_000,
            latencyTargetMs: opts.latencyTargetMs ?? 300,
            maxAttempts: 1,
            destinations: [{ service: opts.pool.service, weight: 1 }],
        }],
        pools: [opts.pool],
        limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
        tokensPerSecond: opts.tokensPerSecond ?? 660_000,
    };
}

export function createViewFixture(opts: ViewFixtureOptions) {
    const view = createFleetView({
        getMaxCredentialAgeMs: () => 4_500,
        entryRestoreMs: 1_900,
        maxLapseMs: 2_900,
        getRegion: () => undefined,
        ...(opts.orders === undefined ? {} : { rollouts: { getHoldMs: () => 2_000 } }),
    });

    /** Loads all entries of the store at time 0. */
    const loadAll = (reduce: (event: PlacementEvent) => unknown): void => {
        const list = (kind: ViewKind, entries: readonly unknown[]): void =>
            void reduce({
                type: "viewListed",
                kind,
                entries: entries as never,
                era: 1,
                revision: 1,
                confirmedAt: 0,
                now: 0,
            });
        list("configuration", [createConfiguration(opts)]);
        list("targets", opts.targets);
        list("closedDomains", []);
        list("routers", opts.routers ?? []);
        if (opts.orders !== undefined) list("rollouts", opts.orders);
    };

    return { view, loadAll };
}
