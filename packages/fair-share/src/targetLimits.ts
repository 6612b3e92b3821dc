/** Limits of targets, and the number of slots that are available for grants. */
import type { CoordinatedTarget, CoordinatorContext, CoordinatorPool } from "./coordinatorPool.js";

export function isTargetOpen(context: CoordinatorContext, pool: CoordinatorPool, target: CoordinatedTarget): boolean {
    return context.configuration.isTargetOpen(pool.name, target.spec.name);
}

/** Computes the current limit of a target; 0 while the target is not known to be running. */
export function computeLimit(pool: CoordinatorPool, target: CoordinatedTarget): number {
    if (target.condition === "closed" || !target.confirmed || target.suspect !== undefined) return 0;
    const { targetLimit } = pool.service.spec;
    return target.condition === "cold" ? Math.min(target.coldLimit, targetLimit) : targetLimit;
}

/** Scales a limit to this side of a partition; the limits of a majority and its minority add up to the whole limit. */
export function scaleToPartition(pool: CoordinatorPool, limit: number): number {
    if (pool.aliveRatio >= 1) return limit;
    const scaled = limit * pool.aliveRatio;
    return pool.aliveRatio > 0.5 ? Math.ceil(scaled) : Math.floor(scaled);
}

/** Maximum number of slots of the current generation; above it, the slots of the target are withdrawn and regranted. */
export function computeReusableLimit(pool: CoordinatorPool, target: CoordinatedTarget): number {
    const limit = computeLimit(pool, target);
    if (pool.aliveRatio >= 1) return limit;
    return Math.max(scaleToPartition(pool, limit), Math.min(limit - target.unreportedRequests, target.partitionCap));
}

/** Counts the requests that may be running at the target although no report accounts for them. */
export function countUnreportedRequests(target: CoordinatedTarget): number {
    return Math.max(target.unreportedRequests, target.unaccountedSlots.count);
}

/** Computes the number of slots of the target that are available for grants. */
export function computeAvailable(pool: CoordinatorPool, target: CoordinatedTarget): number {
    if (target.condition === "cold" && !target.mayGrantCold) return 0;
    // The restart of an idle target breaks no connection, so until a request is reported in use there, it may be cold.
    const isIdle = target.inUse === 0 && countUnreportedRequests(target) === 0;
    const limit = isIdle
        ? Math.min(computeLimit(pool, target), pool.service.spec.coldLimit)
        : computeLimit(pool, target);
    const free = Math.min(limit - countUnreportedRequests(target), target.partitionCap) - target.allocated;
    return Math.max(0, pool.takeoverDeadlineAt === undefined ? free : Math.min(free, target.returned));
}
