/** The root reducer: hands each event to all slices and collects their effects. */
import { createIdempotency } from "@rhubarbwheel/at-most-once/createIdempotency";
import { createConfiguration } from "@rhubarbwheel/configuration/createConfiguration";
import { createEntryQueue } from "@rhubarbwheel/fair-share/createEntryQueue";
import { createPoolCoordinator } from "@rhubarbwheel/fair-share/createPoolCoordinator";
import { createMembership } from "@rhubarbwheel/membership/createMembership";
import type { Effect } from "@rhubarbwheel/types/effects";
import type { RouterEvent } from "@rhubarbwheel/types/events";
import type { RouterIdentity, Slice } from "@rhubarbwheel/types/slices";
import { createRandom } from "./createRandom.js";
import { createUsageCounters } from "./createUsageCounters.js";

export interface ReducerOptions {
    readonly identity: RouterIdentity;
    readonly seeds: readonly { readonly router: string; readonly address: string; readonly failureDomain: string; }[];
    /** Seed of the random numbers that the reducer draws. */
    readonly randomSeed: number;
    /** Random part of minted idempotency keys, at least 96 bits; from the effect side because it must not be predictable. */
    readonly mintRandom: () => string;
    readonly idempotencyLimits: { readonly maxRecords: number; readonly maxBytes: number; };
}

// A correct step raises a few events; more means that two slices answer each other without end.
const maxRaisedEventsPerStep = 10_000;

/** Creates the slices of a router and the function that reduces an event over all of them. */
export function createReducer(opts: ReducerOptions) {
    const { identity } = opts;
    const random = createRandom(opts.randomSeed);
    const membership = createMembership({
        identity,
        seeds: opts.seeds,
        random,
        getDigest: now => configuration.getDigest(now),
    });
    const configuration = createConfiguration({ identity, membership, random });
    const idempotency = createIdempotency({
        identity,
        membership,
        mintRandom: opts.mintRandom,
        limits: opts.idempotencyLimits,
    });
    const entryQueue = createEntryQueue({ identity, membership, configuration });
    const poolCoordinator = createPoolCoordinator({ identity, membership, configuration });
    const usage = createUsageCounters();
    const slices: readonly Slice[] = [membership, configuration, idempotency, entryQueue, poolCoordinator, usage];

    return {
        reduce: (event: RouterEvent) => reduceOverSlices(slices, identity.router, event),
        membership,
        configuration,
        idempotency,
        entryQueue,
        poolCoordinator,
        usage,
    };
}

export type Reducer = ReturnType<typeof createReducer>;

/** Reduces `event`, then the events it raises, in order. Messages to this router itself become events of the same step. */
export function reduceOverSlices(slices: readonly Slice[], self: string, event: RouterEvent): readonly Effect[] {
    const effects: Effect[] = [];
    const pending: RouterEvent[] = [event];
    for (let index = 0; index < pending.length; index++) {
        if (index > maxRaisedEventsPerStep) throw new Error(`Event ${event.type} raises events without end.`);
        const current = pending[index]!;
        for (const slice of slices) {
            for (const effect of slice.reduce(current)) {
                if (effect.type === "raise") pending.push(effect.event);
                else if (effect.type === "sendToPeer" && effect.router === self)
                    pending.push({ type: "peerMessage", now: event.now, from: self, message: effect.message });
                else effects.push(effect);
            }
        }
    }
    return effects;
}
