/** Writes the status of one order: one write at a time, conditional on the order's position, with retries. */
import type { RolloutDecision } from "@rhubarbwheel/rollout/createRolloutDecider";
import type { PlacementEffect } from "@rhubarbwheel/types/placement-events";
import type { RolloutEntry, RolloutStatus, RolloutStatusWrittenEvent } from "@rhubarbwheel/types/rollout";
import { isLaterPosition } from "@rhubarbwheel/types/storePosition";
import type { StorePosition } from "@rhubarbwheel/types/storePosition";

/** Backoff after the first failed write, which doubles with each further failure, and time between two writes. */
const minBackoffMs = 100;

/** Maximum backoff: a verdict must reach a store that has recovered within a fraction of the bound for a rollback. */
const maxBackoffMs = 1_000;

export function createRolloutStatusWriter() {
    let decision: RolloutDecision = "wait";
    let wanted: RolloutStatus | undefined;
    let isWriting = false;
    let failures = 0;
    let retryAt = -Infinity;
    /** Position of the last conflict, which a write on a later one need not wait for; undefined after another result. */
    let refused: StorePosition | undefined;

    return {
        /** Returns whether the decision is new. */
        setDecision: (next: RolloutDecision): boolean => {
            const isNew = next !== decision && next !== "wait";
            decision = next;
            return isNew;
        },
        /** Sets the status to be written; `undefined` if the present one is right. */
        setWanted: (status: RolloutStatus | undefined): void => {
            wanted = status;
        },
        /** Returns the effect of a write that is due. */
        write: (order: RolloutEntry, now: number): readonly PlacementEffect[] => {
            if (wanted === undefined || isWriting) return [];
            const hasChanged = refused !== undefined && isLaterPosition(order, refused);
            if (now < retryAt && !hasChanged) return [];
            isWriting = true;
            const { service, era, revision } = order;
            return [{ type: "writeRolloutStatus", service, era, revision, status: wanted }];
        },
        /** Returns the time until the write is tried again; `undefined` if it succeeded. */
        handleResult: ({ result, era, revision, now }: RolloutStatusWrittenEvent): number | undefined => {
            isWriting = false;
            refused = result === "conflict" ? { era, revision } : undefined;
            if (result === "ok") {
                failures = 0;
                retryAt = now + minBackoffMs;
                return undefined;
            }
            const backoffMs = Math.min(maxBackoffMs, minBackoffMs * 2 ** failures);
            failures += 1;
            retryAt = now + backoffMs;
            return backoffMs;
        },
    };
}

export type RolloutStatusWriter = ReturnType<typeof createRolloutStatusWriter>;
