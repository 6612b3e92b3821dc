/** Leases in the platform's store, which ensure that only one coordinator grants the slots of a cold target. */
import { leaseDurationMs, leaseMarginMs, leaseRenewIntervalMs, leaseRetryIntervalMs } from "./constants.js";
import {
    type CoordinatedTarget,
    type CoordinatorContext,
    type CoordinatorPool,
    logCoordinatorEvent,
} from "./coordinatorPool.js";
import { advanceGeneration } from "./countSlots.js";
import { logTarget } from "./logTarget.js";

export function getLeaseName(pool: CoordinatorPool, target: CoordinatedTarget): string {
    return `cold/${pool.name}/${target.spec.name}`;
}

function computeMayGrantCold(context: CoordinatorContext, pool: CoordinatorPool, target: CoordinatedTarget): boolean {
    const { lease } = target;
    const { now } = context;
    if (lease.validUntil - leaseMarginMs > now) return true;
    if (lease.result !== "unavailable" || pool.majoritySince === undefined || pool.coordinatorSince === undefined)
        return false;
    // Another router's lease may still be valid: without the store, the majority waits for the duration of a lease.
    return now - Math.max(pool.coordinatorSince, pool.majoritySince, lease.takenAt) >= leaseDurationMs;
}

/** Acquires or renews the lease of a cold target, and withdraws its slots when they may no longer be granted. */
export function updateLease(context: CoordinatorContext, pool: CoordinatorPool, target: CoordinatedTarget): void {
    if (target.condition !== "cold" || !target.known || pool.takeoverDeadlineAt !== undefined) return;
    const { lease } = target;
    const mayGrantCold = computeMayGrantCold(context, pool, target);
    if (target.mayGrantCold && !mayGrantCold) {
        advanceGeneration(pool, target, target.generation + 1, context.now);
        logTarget(context, pool, target, "leaseEnded");
    }
    target.mayGrantCold = mayGrantCold;
    const interval = lease.result === "held" ? leaseRenewIntervalMs : leaseRetryIntervalMs;
    if (!target.confirmed || context.now - lease.requestSentAt < interval) return;
    lease.requestSentAt = context.now;
    context.effects.push({ type: "acquireLease", lease: getLeaseName(pool, target), durationMs: leaseDurationMs });
}

export function handleLeaseResult(
    context: CoordinatorContext,
    pool: CoordinatorPool,
    target: CoordinatedTarget,
    event: { readonly result: "held" | "taken" | "unavailable"; readonly validUntil: number; },
): void {
    const { lease } = target;
    lease.result = event.result;
    if (event.result === "held") lease.validUntil = event.validUntil;
    if (event.result === "taken") {
        lease.validUntil = -Infinity;
        lease.takenAt = context.now;
    }
    logCoordinatorEvent(context, "leaseAnswered", {
        service: pool.name,
        target: target.spec.name,
        result: event.result,
    });
}
