/** Root reducer of a router: dispatches each event to all slices and collects their effects. */
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
import { reduceOverSlices } from "./reduceOverSlices.js";

export interface ReducerOptions {
    readonly identity: RouterIdentity;
    readonly seeds: readonly { readonly router: string; readonly address: string; readonly failureDomain: string; }[];
    /** Seed of the random number generator. */
    readonly randomSeed: number;
    /**
     * Returns a random secret of at least 128 bits; called once, to authenticate the idempotency keys of this
     * incarnation. It is injected because the secret must not be predictable, unlike the seeded random numbers.
     */
    readonly generateKeySecret: () => string;
    readonly idempotencyLimits: { readonly maxRecords: number; readonly maxBytes: number; };
}

/** Converts raised events, and messages of this router to itself, to events of the same step. */
function convertToEvent(self: string, effect: Effect, now: number): RouterEvent | undefined {
    if (effect.type === "raise") return effect.event;
    if (effect.type !== "sendToPeer" || effect.router !== self) return undefined;
    return { type: "peerMessage", now, from: self, message: effect.message };
}

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
        generateKeySecret: opts.generateKeySecret,
        limits: opts.idempotencyLimits,
    });
    const entryQueue = createEntryQueue({ identity, membership, configuration });
    const poolCoordinator = createPoolCoordinator({ identity, membership, configuration });
    const usage = createUsageCounters();
    const slices: readonly Slice[] = [membership, configuration, idempotency, entryQueue, poolCoordinator, usage];

    return {
        reduce: (event: RouterEvent) =>
            reduceOverSlices<RouterEvent, Effect>(
                slices,
                event,
                (effect, now) => convertToEvent(identity.router, effect, now),
            ),
        membership,
        configuration,
        idempotency,
        entryQueue,
        poolCoordinator,
        usage,
    };
}

export type Reducer = ReturnType<typeof createReducer>;
