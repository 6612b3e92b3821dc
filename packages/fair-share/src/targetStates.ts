/** Conditions of targets: load reports, cold starts and warm-up, closed targets. */
import type { LoadReport } from "@rhubarbwheel/types/events";
import type { TargetObservation } from "@rhubarbwheel/types/peer-messages";
import { getLeaseName, updateLease } from "./coldLeases.js";
import {
    defaultWarmUpRequests,
    maxWarmUpFactor,
    pollIntervalColdMs,
    pollIntervalLostMs,
    pollIntervalMs,
    pollTimeoutMs,
} from "./constants.js";
import {
    type CoordinatedTarget,
    type CoordinatorContext,
    type CoordinatorPool,
    createCoordinatedTarget,
} from "./coordinatorPool.js";
import { advanceGeneration, computeAllocatedAt } from "./countSlots.js";
import { logTarget } from "./logTarget.js";
import { computeLimit, computeReusableLimit, isTargetOpen, scaleToPartition } from "./targetLimits.js";

/** Withdraws the slots of a target and applies the cold limit. */
export function setCold(
    context: CoordinatorContext,
    pool: CoordinatorPool,
    target: CoordinatedTarget,
    reason: string,
): void {
    const failedAfterRaise = target.condition === "cold" && target.coldLimit > pool.service.spec.coldLimit;
    target.warmUpFactor = failedAfterRaise ? Math.min(target.warmUpFactor * 2, maxWarmUpFactor) : 1;
    target.condition = "cold";
    target.coldLimit = pool.service.spec.coldLimit;
    target.suspect = undefined;
    target.known = true;
    advanceGeneration(pool, target, target.generation + 1, context.now);
    logTarget(context, pool, target, reason);
}

function announceToAll(pool: CoordinatorPool): void {
    for (const record of pool.routers.values()) record.announcementDue = true;
}

export function handleObservation(
    context: CoordinatorContext,
    pool: CoordinatorPool,
    observation: TargetObservation,
): void {
    const target = pool.targets.get(observation.target);
    if (target === undefined || observation.generation !== target.generation || target.condition === "closed") return;
    target.loadReportsFrom = context.now;
    if (observation.kind === "startIdChanged" && observation.startId !== target.startId) {
        target.startId = observation.startId;
        setCold(context, pool, target, "startIdChanged");
        return;
    }
    if (observation.kind === "slow") {
        setCold(context, pool, target, "slow");
        return;
    }
    advanceGeneration(pool, target, target.generation + 1, context.now);
    const { kind, startId } = observation;
    // A failure of another process of the target does not make the current one cold, but requires a new load report.
    const isOtherProcess = startId !== undefined && target.startId !== undefined && startId !== target.startId;
    if (kind !== "startIdChanged") target.suspect = isOtherProcess ? "broken" : kind;
    if (target.condition === "cold" && !isOtherProcess) target.coldLimit = pool.service.spec.coldLimit;
    target.polledAt = -Infinity;
    target.pollPending = false;
    logTarget(context, pool, target, observation.kind);
}

/**
 * Releases slots of lost routers. Requests in transit to the target are reported in use but are not running yet, and
 * may hide a request of a lost router in one load report, so the higher value of two consecutive reports applies.
 */
function updateUnaccountedSlots(target: CoordinatedTarget, running: number): void {
    const { unaccountedSlots: unaccounted } = target;
    const unreported = Math.max(0, running - target.inUse);
    unaccounted.count = Math.min(unaccounted.count, Math.max(unreported, unaccounted.lastUnreported));
    unaccounted.lastUnreported = unreported;
}

/** Compares a load report with the records: requests without a record belong to routers that do not report here. */
function updateUnreportedRequests(
    context: CoordinatorContext,
    pool: CoordinatorPool,
    target: CoordinatedTarget,
    report: LoadReport,
): void {
    const sampledAt = context.now - report.ageMs;
    const running = report.running + report.queued;
    const accounted = computeAllocatedAt(target, sampledAt);
    const unreported = Math.max(0, running - accounted);
    const allRoutersReport = target.unaccountedSlots.count === 0 && pool.aliveRatio >= 1;
    // A target may briefly count a request after its response has ended, so normally the lower value of two reports is
    // used. In a partition, the other side's load varies between reports, and the higher value is the safer estimate.
    target.unreportedRequests = allRoutersReport
        ? Math.min(unreported, target.lastUnreportedRequests)
        : Math.max(unreported, target.lastUnreportedRequests);
    target.lastUnreportedRequests = unreported;
    if (sampledAt >= target.unaccountedSlots.since) updateUnaccountedSlots(target, running);
    target.running = running;
    updatePartitionCap(pool, target, running, accounted);
}

/** While listed routers are not alive, limits this side to its fraction of the spare capacity in load reports. */
function updatePartitionCap(
    pool: CoordinatorPool,
    target: CoordinatedTarget,
    running: number,
    accounted: number,
): void {
    if (pool.aliveRatio >= 1) {
        target.partitionCap = Infinity;
        return;
    }
    const spare = Math.max(0, computeLimit(pool, target) - Math.max(running, accounted));
    target.spareReports = spare > 0 ? target.spareReports + 1 : 0;
    // Rounding down may leave the last slots to no side; one is used after two consecutive reports with spare capacity.
    target.partitionCap = target.allocated + Math.max(scaleToPartition(pool, spare), target.spareReports > 1 ? 1 : 0);
}

export function handleLoadReport(context: CoordinatorContext, pool: CoordinatorPool, report: LoadReport): void {
    const target = pool.targets.get(report.target);
    if (target === undefined) return;
    target.pollPending = false;
    if (context.now - report.ageMs < target.loadReportsFrom) return;
    if (target.startId !== undefined && target.startId !== report.startId) {
        target.startId = report.startId;
        setCold(context, pool, target, "startIdChanged");
    }
    else if (target.suspect === "refused")
        setCold(context, pool, target, "refused");
    else if (target.suspect !== undefined) {
        target.suspect = undefined;
        logTarget(context, pool, target, "confirmed");
    }
    target.startId = report.startId;
    if (!target.confirmed) {
        target.confirmed = true;
        logTarget(context, pool, target, "reachable");
    }
    updateUnreportedRequests(context, pool, target, report);
}

export function handleLoadUnavailable(
    context: CoordinatorContext,
    pool: CoordinatorPool,
    name: string,
    refused: boolean,
): void {
    const target = pool.targets.get(name);
    if (target === undefined) return;
    target.pollPending = false;
    if (!refused || !target.confirmed) return;
    setCold(context, pool, target, "refused");
    target.confirmed = false;
}

/** Computes the number of requests that a cold target must complete before its limit is raised. */
function computeWarmUpRequests(pool: CoordinatorPool, target: CoordinatedTarget): number {
    const { coldLimit, warmUpRequests = defaultWarmUpRequests } = pool.service.spec;
    if (target.coldLimit > coldLimit) return target.coldLimit;
    return Math.max(coldLimit, warmUpRequests) * target.warmUpFactor;
}

/** Doubles the limit of a cold target after its warm-up, then each time that number of requests has completed. */
function updateWarmUp(context: CoordinatorContext, pool: CoordinatorPool, target: CoordinatedTarget): void {
    const { targetLimit } = pool.service.spec;
    if (target.condition !== "cold" || target.suspect !== undefined || !target.known) return;
    if (target.completed < computeWarmUpRequests(pool, target)) return;
    target.completed = 0;
    target.coldLimit = Math.min(target.coldLimit * 2, targetLimit);
    if (target.coldLimit >= targetLimit) {
        target.condition = "warm";
        context.effects.push({ type: "releaseLease", lease: getLeaseName(pool, target) });
        target.lease.requestSentAt = -Infinity;
        target.lease.validUntil = -Infinity;
        announceToAll(pool);
    }
    logTarget(context, pool, target, "completed");
}

function updateClosed(context: CoordinatorContext, pool: CoordinatorPool, target: CoordinatedTarget): void {
    const open = isTargetOpen(context, pool, target);
    if (open === (target.condition !== "closed")) return;
    if (open) {
        // The target may have restarted while it was closed, so a load report with its start id is required first.
        target.condition = target.warmWhenClosed ? "warm" : "cold";
        target.coldLimit = pool.service.spec.coldLimit;
        target.known = true;
        target.confirmed = false;
        target.polledAt = -Infinity;
        logTarget(context, pool, target, "opened");
    }
    else {
        target.warmWhenClosed = target.condition === "warm";
        target.condition = "closed";
        advanceGeneration(pool, target, target.generation + 1, context.now);
        logTarget(context, pool, target, "closed");
    }
    announceToAll(pool);
}

/** Applies the configuration: new, removed, closed and opened targets. */
export function updateTargets(context: CoordinatorContext, pool: CoordinatorPool): void {
    for (const spec of pool.service.spec.targets) {
        const known = pool.targets.get(spec.name);
        if (known === undefined) pool.targets.set(spec.name, createCoordinatedTarget(spec));
        else known.spec = spec;
    }
    for (const target of pool.targets.values()) {
        updateClosed(context, pool, target);
        const listed = pool.service.spec.targets.includes(target.spec);
        if (!listed && target.allocated === 0) pool.targets.delete(target.spec.name);
    }
}

/** Treats targets without a known state as new, and therefore cold. */
export function initializeUnknownTargets(context: CoordinatorContext, pool: CoordinatorPool): void {
    for (const target of pool.targets.values())
        if (!target.known && target.condition !== "closed") setCold(context, pool, target, "new");
}

/** Withdraws slots in excess of the limit, after it was lowered or routers considered dead have returned. */
function withdrawExcessSlots(context: CoordinatorContext, pool: CoordinatorPool, target: CoordinatedTarget): void {
    if (!target.confirmed || target.reusable <= computeReusableLimit(pool, target)) return;
    advanceGeneration(pool, target, target.generation + 1, context.now);
    logTarget(context, pool, target, "excess");
}

/** Updates limits and leases as of the time of the event. */
export function updateLimits(context: CoordinatorContext, pool: CoordinatorPool): void {
    for (const target of pool.targets.values()) {
        updateWarmUp(context, pool, target);
        updateLease(context, pool, target);
        withdrawExcessSlots(context, pool, target);
    }
}

function computePollInterval(target: CoordinatedTarget): number {
    if (target.unaccountedSlots.count > 0) return pollIntervalLostMs;
    return target.condition === "cold" || target.suspect !== undefined ? pollIntervalColdMs : pollIntervalMs;
}

/** Polls the load of targets for which a poll is due. */
export function pollTargets(context: CoordinatorContext, pool: CoordinatorPool): void {
    for (const target of pool.targets.values()) {
        if (target.condition === "closed") continue;
        const interval = computePollInterval(target);
        const elapsed = context.now - target.polledAt;
        if (elapsed < (target.pollPending ? pollTimeoutMs : interval)) continue;
        target.polledAt = context.now;
        target.pollPending = true;
        const { name, address } = target.spec;
        context.effects.push({ type: "pollLoad", service: pool.name, target: name, address });
    }
}
