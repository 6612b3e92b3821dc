/** Leases in the platform's store, with which only one coordinator grants the slots of a cold target. */
import { leaseDurationMs, leaseMarginMs, leaseRenewMs, leaseRetryMs } from "./constants.js";
import {
    type CoordinatedTarget,
    type CoordinatorContext,
    type CoordinatorPool,
    logCoordinatorEvent,
} from "./coordinatorPool.js";
import { raiseGeneration } from "./countSlots.js";
import { logTarget } from "./logTarget.js";

export function getLeaseName(pool: CoordinatorPool, target: CoordinatedTarget): string {
    return `cold/${pool.name}/${target.spec.name}`;
}

function computeMayGrantCold(context: CoordinatorContext, pool: CoordinatorPool, target: CoordinatedTarget): boolean {
    const { lease } = target;
    const { now } = context;
    if (lease.validUntil - leaseMarginMs > now) return true;
    if (lease.result !== "unavailable" || pool.majoritySince === undefined || pool.since === undefined) return false;
    // Another router's lease may still be valid, so that without the store the majority waits for its duration.
    return now - Math.max(pool.since, pool.majoritySince, lease.takenAt) >= leaseDurationMs;
}

/** Acquires or renews the lease of a cold target, and withdraws its slots when the right to grant them has ended. */
export function updateLease(context: CoordinatorContext, pool: CoordinatorPool, target: CoordinatedTarget): void {
    if (target.condition !== "cold" || !target.known || pool.takeoverUntil !== undefined) return;
    const { lease } = target;
    const may = computeMayGrantCold(context, pool, target);
    if (target.mayGrantCold && !may) {
        raiseGeneration(pool, target, target.generation + 1, context.now);
        logTarget(context, pool, target, "leaseEnded");
    }
    target.mayGrantCold = may;
    const interval = lease.result === "held" ? leaseRenewMs : leaseRetryMs;
    if (!target.confirmed || context.now - lease.askedAt < interval) return;
    lease.askedAt = context.now;
    context.effects.push({ type: "acquireLease", lease: getLeaseName(pool, target), durationMs: leaseDurationMs });
}

export function handleLeaseAnswer(
    context: CoordinatorContext,
    pool: CoordinatorPool,
    target: CoordinatedTarget,
    answer: { readonly result: "held" | "taken" | "unavailable"; readonly validUntil: number; },
): void {
    const { lease } = target;
    lease.result = answer.result;
    if (answer.result === "held") lease.validUntil = answer.validUntil;
    if (answer.result === "taken") {
        lease.validUntil = -Infinity;
        lease.takenAt = context.now;
    }
    logCoordinatorEvent(context, "leaseAnswered", {
        service: pool.name,
        target: target.spec.name,
        result: answer.result,
    });
}
