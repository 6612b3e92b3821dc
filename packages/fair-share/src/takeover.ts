/** Start and end of coordination of a pool by a router, and partitions of the fleet. */
import { getLeaseName } from "./coldLeases.js";
import { pauseGraceMs, takeoverTimeoutMs } from "./constants.js";
import { type CoordinatorContext, type CoordinatorPool, logCoordinatorEvent } from "./coordinatorPool.js";
import { setUnaccountedSlots } from "./countSlots.js";
import { computeLimit, scaleToPartition } from "./targetLimits.js";
import { initializeUnknownTargets } from "./targetStates.js";

function recordStateVersion(pool: CoordinatorPool): void {
    if (pool.takeoverDeadlineAt !== undefined) return;
    for (const target of pool.targets.values()) target.stateVersion = pool.version;
}

/** Starts a takeover: until every router has reported or the timeout expires, only returned slots are granted. */
export function startTakeover(
    context: CoordinatorContext,
    pool: CoordinatorPool,
    reason: "coordinator" | "pause",
): void {
    // After a pause, another coordinator may have announced later states than those of this one.
    if (pool.coordinatorSince !== undefined) recordStateVersion(pool);
    pool.coordinatorSince ??= context.now;
    pool.takeoverReportsFrom = reason === "pause" ? context.now + pauseGraceMs : context.now;
    pool.takeoverDeadlineAt = context.now + takeoverTimeoutMs;
    for (const record of pool.routers.values()) record.hasReported = false;
    for (const target of pool.targets.values()) {
        target.returned = 0;
        target.polledAt = -Infinity;
        target.pollPending = false;
    }
    logCoordinatorEvent(context, "takeoverStarted", { service: pool.name, reason });
}

function hasEveryRouterReported(context: CoordinatorContext, pool: CoordinatorPool): boolean {
    // A suspect router may never report; its slots count as in use until load reports show otherwise.
    const alive = context.membership.listRoutable().filter(member => member.state === "alive");
    return alive.every(member => pool.routers.get(member.router)?.hasReported === true);
}

/** Ends the takeover when it is due. Slots that no report accounts for count as in use until load reports arrive. */
export function updateTakeover(context: CoordinatorContext, pool: CoordinatorPool): void {
    if (pool.takeoverDeadlineAt === undefined) return;
    const complete = hasEveryRouterReported(context, pool);
    if (!complete && context.now < pool.takeoverDeadlineAt) return;
    pool.takeoverDeadlineAt = undefined;
    initializeUnknownTargets(context, pool);
    for (const target of pool.targets.values()) {
        const limit = Math.max(computeLimit(pool, target), pool.service.spec.targetLimit);
        setUnaccountedSlots(target, Math.max(0, limit - target.allocated), context.now);
    }
    logCoordinatorEvent(context, "takeoverEnded", { service: pool.name, complete, routers: pool.routers.size });
}

export function stopCoordination(context: CoordinatorContext, pool: CoordinatorPool): void {
    recordStateVersion(pool);
    pool.coordinatorSince = undefined;
    pool.takeoverDeadlineAt = undefined;
    pool.contended = false;
    for (const target of pool.targets.values()) {
        target.mayGrantCold = false;
        if (target.lease.result === "held")
            context.effects.push({ type: "releaseLease", lease: getLeaseName(pool, target) });
        target.lease.validUntil = -Infinity;
        target.lease.result = undefined;
        target.lease.requestSentAt = -Infinity;
    }
    logCoordinatorEvent(context, "coordinationStopped", { service: pool.name });
}

/** Updates the fraction of the listed routers that is alive on this side of a partition. */
export function updatePartition(context: CoordinatorContext, pool: CoordinatorPool): void {
    const { membership, now } = context;
    const alive = membership.countListedAlive();
    const listed = membership.countListed();
    if (alive * 2 > listed) pool.majoritySince ??= now;
    else pool.majoritySince = undefined;
    const ratio = listed === 0 ? 1 : Math.min(1, alive / listed);
    if (ratio === pool.aliveRatio) return;
    const hasDecreased = ratio < pool.aliveRatio;
    pool.aliveRatio = ratio;
    for (const target of pool.targets.values()) {
        target.polledAt = -Infinity;
        target.spareReports = 0;
        if (ratio >= 1) target.partitionCap = Infinity;
        else if (hasDecreased) target.partitionCap = scaleToPartition(pool, computeLimit(pool, target));
    }
}
