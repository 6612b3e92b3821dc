/** Reducer of a router for tests on simulated time, with bounds that never expire. */
import type { RouterEntry } from "@rhubarbwheel/types/fleet";
import { createPlacementReducer } from "../src/createPlacementReducer.js";

export function createTestReducer(
    { router, incarnation, failureDomain }: Pick<RouterEntry, "router" | "incarnation" | "failureDomain">,
    opts: { readonly retryReserve?: number; } = {},
) {
    return createPlacementReducer({
        incarnation,
        view: {
            getMaxCredentialAgeMs: () => 60_000,
            entryRestoreMs: 1_900,
            maxLapseMs: 60_000,
            getRegion: () => undefined,
        },
        entry: {
            router,
            failureDomain,
            getRetryPolicy: () => ({ ratio: 0.2, reserve: opts.retryReserve ?? 100, windowMs: 10_000 }),
            computeColdLimit: perSecond => perSecond,
            getShutdownGraceMs: () => 8_000,
        },
        relay: { getMaxAgeMs: () => 60_000 },
        random: () => 0.5,
    });
}
