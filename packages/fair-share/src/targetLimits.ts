/** Limits of targets: what applies at present, and how much of it may be granted. */
import type { CoordinatedTarget, CoordinatorContext, CoordinatorPool } from "./coordinatorPool.js";

export function isTargetOpen(context: CoordinatorContext, pool: CoordinatorPool, target: CoordinatedTarget): boolean {
    return context.configuration.isTargetOpen(pool.name, target.spec.name);
}

/** Limit that applies to the target at present. */
export function computeLimit(pool: CoordinatorPool, target: CoordinatedTarget): number {
    if (target.condition === "closed" || !target.confirmed || target.suspect !== undefined) return 0;
    const { targetLimit } = pool.service.spec;
    return target.condition === "cold" ? Math.min(target.coldLimit, targetLimit) : targetLimit;
}

/** Part of a limit for this side of a partition: the parts of a majority and its minority add up to the limit. */
export function computePart(pool: CoordinatorPool, limit: number): number {
    if (pool.aliveRatio >= 1) return limit;
    const part = limit * pool.aliveRatio;
    return pool.aliveRatio > 0.5 ? Math.ceil(part) : Math.floor(part);
}

/** Greatest number of slots that may be in circulation before those of the target are withdrawn and granted anew. */
export function computeReusableLimit(pool: CoordinatorPool, target: CoordinatedTarget): number {
    const limit = computeLimit(pool, target);
    if (pool.aliveRatio >= 1) return limit;
    return Math.max(computePart(pool, limit), Math.min(limit - target.foreign, target.partitionCap));
}

/** Requests that may run at the target although no report accounts for them. */
export function countOutside(target: CoordinatedTarget): number {
    return Math.max(target.foreign, target.unaccounted.count);
}

/** Number of slots of the target that may be granted now. */
export function computeAvailable(pool: CoordinatorPool, target: CoordinatedTarget): number {
    if (target.condition === "cold" && !target.mayGrantCold) return 0;
    // A restart of an idle target breaks no connection: until one of its requests is reported, it may be cold again.
    const isIdle = target.inUse === 0 && countOutside(target) === 0;
    const limit = isIdle
        ? Math.min(computeLimit(pool, target), pool.service.spec.coldLimit)
        : computeLimit(pool, target);
    const free = Math.min(limit - countOutside(target), target.partitionCap) - target.taken;
    return Math.max(0, pool.takeoverUntil === undefined ? free : Math.min(free, target.returned));
}
