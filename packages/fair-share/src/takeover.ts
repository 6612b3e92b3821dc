/** Start and end of a router's time as coordinator of a pool. */
import { getLeaseName } from "./coldLeases.js";
import { pauseSettleMs, takeoverMs } from "./constants.js";
import { type CoordinatorContext, type CoordinatorPool, logCoordinatorEvent } from "./coordinatorPool.js";
import { markUnaccounted } from "./countSlots.js";
import { computeLimit, computePart } from "./targetLimits.js";
import { startNewTargets } from "./targetStates.js";

function recordStateVersion(pool: CoordinatorPool): void {
    if (pool.takeoverUntil !== undefined) return;
    for (const target of pool.targets.values()) target.stateVersion = pool.version;
}

/** Until every router has reported, only slots that are returned are granted. */
export function startTakeover(
    context: CoordinatorContext,
    pool: CoordinatorPool,
    reason: "coordinator" | "pause",
): void {
    // After a pause, announcements of another coordinator may be later than the state of this one.
    if (pool.since !== undefined) recordStateVersion(pool);
    pool.since ??= context.now;
    pool.reportsFrom = reason === "pause" ? context.now + pauseSettleMs : context.now;
    pool.takeoverUntil = context.now + takeoverMs;
    for (const record of pool.routers.values()) record.inTenure = false;
    for (const target of pool.targets.values()) {
        target.returned = 0;
        target.polledAt = -Infinity;
        target.pollPending = false;
    }
    logCoordinatorEvent(context, "takeoverStarted", { service: pool.name, reason });
}

function hasEveryReport(context: CoordinatorContext, pool: CoordinatorPool): boolean {
    // A suspect may never report; what it holds counts as taken until load reports show otherwise.
    const alive = context.membership.listRoutable().filter(member => member.state === "alive");
    return alive.every(member => pool.routers.get(member.router)?.inTenure === true);
}

/** Ends the takeover when it is due. Slots that no report accounts for stay taken until a load report. */
export function updateTakeover(context: CoordinatorContext, pool: CoordinatorPool): void {
    if (pool.takeoverUntil === undefined) return;
    const complete = hasEveryReport(context, pool);
    if (!complete && context.now < pool.takeoverUntil) return;
    pool.takeoverUntil = undefined;
    startNewTargets(context, pool);
    for (const target of pool.targets.values()) {
        const limit = Math.max(computeLimit(pool, target), pool.service.spec.targetLimit);
        markUnaccounted(target, Math.max(0, limit - target.taken), context.now);
    }
    logCoordinatorEvent(context, "takeoverEnded", { service: pool.name, complete, routers: pool.routers.size });
}

export function stopCoordination(context: CoordinatorContext, pool: CoordinatorPool): void {
    recordStateVersion(pool);
    pool.since = undefined;
    pool.takeoverUntil = undefined;
    pool.contended = false;
    for (const target of pool.targets.values()) {
        target.mayGrantCold = false;
        if (target.lease.result === "held")
            context.effects.push({ type: "releaseLease", lease: getLeaseName(pool, target) });
        target.lease.validUntil = -Infinity;
        target.lease.result = undefined;
        target.lease.askedAt = -Infinity;
    }
    logCoordinatorEvent(context, "coordinationStopped", { service: pool.name });
}

/** Follows the part of the listed routers that this side of a partition sees. */
export function updatePartition(context: CoordinatorContext, pool: CoordinatorPool): void {
    const { membership, now } = context;
    const alive = membership.countListedAlive();
    const listed = membership.countListed();
    if (alive * 2 > listed) pool.majoritySince ??= now;
    else pool.majoritySince = undefined;
    const ratio = listed === 0 ? 1 : Math.min(1, alive / listed);
    if (ratio === pool.aliveRatio) return;
    const fewer = ratio < pool.aliveRatio;
    pool.aliveRatio = ratio;
    for (const target of pool.targets.values()) {
        target.polledAt = -Infinity;
        target.idleReports = 0;
        if (ratio >= 1) target.partitionCap = Infinity;
        else if (fewer) target.partitionCap = computePart(pool, computeLimit(pool, target));
    }
}
