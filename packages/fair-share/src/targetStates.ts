/** Conditions of targets: load reports, cold starts, closed targets. */
import type { LoadReport } from "@rhubarbwheel/types/events";
import type { TargetObservation } from "@rhubarbwheel/types/peer-messages";
import { getLeaseName, updateLease } from "./coldLeases.js";
import {
    defaultWarmUpRequests,
    pollAnswerMs,
    pollIntervalColdMs,
    pollIntervalLostMs,
    pollIntervalMs,
    warmUpFactorMax,
} from "./constants.js";
import {
    type CoordinatedTarget,
    type CoordinatorContext,
    type CoordinatorPool,
    createCoordinatedTarget,
} from "./coordinatorPool.js";
import { computeTakenAt, raiseGeneration } from "./countSlots.js";
import { logTarget } from "./logTarget.js";
import { computeLimit, computePart, computeReusableLimit, isTargetOpen } from "./targetLimits.js";

/** Withdraws the slots of a target and applies the cold limit. */
export function markCold(
    context: CoordinatorContext,
    pool: CoordinatorPool,
    target: CoordinatedTarget,
    reason: string,
): void {
    const failedWhileRising = target.condition === "cold" && target.coldLimit > pool.service.spec.coldLimit;
    target.warmUpFactor = failedWhileRising ? Math.min(target.warmUpFactor * 2, warmUpFactorMax) : 1;
    target.condition = "cold";
    target.coldLimit = pool.service.spec.coldLimit;
    target.suspect = undefined;
    target.known = true;
    raiseGeneration(pool, target, target.generation + 1, context.now);
    logTarget(context, pool, target, reason);
}

function markAnnounce(pool: CoordinatorPool): void {
    for (const record of pool.routers.values()) record.announce = true;
}

export function handleObservation(
    context: CoordinatorContext,
    pool: CoordinatorPool,
    observation: TargetObservation,
): void {
    const target = pool.targets.get(observation.target);
    if (target === undefined || observation.generation !== target.generation || target.condition === "closed") return;
    target.trustSince = context.now;
    if (observation.kind === "startIdChanged" && observation.startId !== target.startId) {
        target.startId = observation.startId;
        markCold(context, pool, target, "startIdChanged");
        return;
    }
    if (observation.kind === "slow") {
        markCold(context, pool, target, "slow");
        return;
    }
    raiseGeneration(pool, target, target.generation + 1, context.now);
    const { kind, startId } = observation;
    // A failure of another process of the target says nothing about the present one, but a new load report has to.
    const otherProcess = startId !== undefined && target.startId !== undefined && startId !== target.startId;
    if (kind !== "startIdChanged") target.suspect = otherProcess ? "broken" : kind;
    if (target.condition === "cold" && !otherProcess) target.coldLimit = pool.service.spec.coldLimit;
    target.polledAt = -Infinity;
    target.pollPending = false;
    logTarget(context, pool, target, observation.kind);
}

/**
 * Releases slots of lost routers. Requests on their way to the target are reported in use but not running yet, and may hide
 * a request of a lost router in one load report, so that two in a row decide.
 */
function updateUnaccounted(target: CoordinatedTarget, running: number): void {
    const { unaccounted } = target;
    const seen = Math.max(0, running - target.inUse);
    unaccounted.count = Math.min(unaccounted.count, Math.max(seen, unaccounted.seen));
    unaccounted.seen = seen;
}

/** Compares a load report with the records: what they do not account for belongs to routers that do not report here. */
function updateForeign(
    context: CoordinatorContext,
    pool: CoordinatorPool,
    target: CoordinatedTarget,
    report: LoadReport,
): void {
    const sampledAt = context.now - report.ageMs;
    const running = report.running + report.queued;
    const accounted = computeTakenAt(target, sampledAt);
    const seen = Math.max(0, running - accounted);
    const settled = target.unaccounted.count === 0 && pool.aliveRatio >= 1;
    // A target may count a request for a moment after its answer has ended, so a single report is not enough normally.
    // In a partition the other side's load varies between reports, and the greater of two is the safer estimate.
    target.foreign = settled ? Math.min(seen, target.lastForeign) : Math.max(seen, target.lastForeign);
    target.lastForeign = seen;
    if (sampledAt >= target.unaccounted.since) updateUnaccounted(target, running);
    target.running = running;
    updatePartitionCap(pool, target, running, accounted);
}

/** While routers are missing, this side takes only its part of the capacity that load reports show as unused. */
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
    target.idleReports = spare > 0 ? target.idleReports + 1 : 0;
    // The last slots, which no side would take after rounding down, are taken once they have been unused for a while.
    target.partitionCap = target.taken + Math.max(computePart(pool, spare), target.idleReports > 1 ? 1 : 0);
}

export function handleLoadReport(context: CoordinatorContext, pool: CoordinatorPool, report: LoadReport): void {
    const target = pool.targets.get(report.target);
    if (target === undefined) return;
    target.pollPending = false;
    if (context.now - report.ageMs < target.trustSince) return;
    if (target.startId !== undefined && target.startId !== report.startId) {
        target.startId = report.startId;
        markCold(context, pool, target, "startIdChanged");
    }
    else if (target.suspect === "refused")
        markCold(context, pool, target, "refused");
    else if (target.suspect !== undefined) {
        target.suspect = undefined;
        logTarget(context, pool, target, "confirmed");
    }
    target.startId = report.startId;
    if (!target.confirmed) {
        target.confirmed = true;
        logTarget(context, pool, target, "reachable");
    }
    updateForeign(context, pool, target, report);
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
    markCold(context, pool, target, "refused");
    target.confirmed = false;
}

/** Requests that a cold target must complete under its present limit before the limit rises. */
function computeWarmUp(pool: CoordinatorPool, target: CoordinatedTarget): number {
    const { coldLimit, warmUpRequests = defaultWarmUpRequests } = pool.service.spec;
    if (target.coldLimit > coldLimit) return target.coldLimit;
    return Math.max(coldLimit, warmUpRequests) * target.warmUpFactor;
}

/** Raises the limit of a cold target after it has completed its warm-up, then after each run of `limit` requests. */
function updateRamp(context: CoordinatorContext, pool: CoordinatorPool, target: CoordinatedTarget): void {
    const { targetLimit } = pool.service.spec;
    if (target.condition !== "cold" || target.suspect !== undefined || !target.known) return;
    if (target.completed < computeWarmUp(pool, target)) return;
    target.completed = 0;
    target.coldLimit = Math.min(target.coldLimit * 2, targetLimit);
    if (target.coldLimit >= targetLimit) {
        target.condition = "warm";
        context.effects.push({ type: "releaseLease", lease: getLeaseName(pool, target) });
        target.lease.askedAt = -Infinity;
        target.lease.validUntil = -Infinity;
        markAnnounce(pool);
    }
    logTarget(context, pool, target, "completed");
}

function updateClosed(context: CoordinatorContext, pool: CoordinatorPool, target: CoordinatedTarget): void {
    const open = isTargetOpen(context, pool, target);
    if (open === (target.condition !== "closed")) return;
    if (open) {
        // The target may have restarted while it was closed: a load report with its start id comes first.
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
        raiseGeneration(pool, target, target.generation + 1, context.now);
        logTarget(context, pool, target, "closed");
    }
    markAnnounce(pool);
}

/** Follows the configuration: new, removed, closed and opened targets, and lower limits. */
export function updateTargets(context: CoordinatorContext, pool: CoordinatorPool): void {
    for (const spec of pool.service.spec.targets) {
        const known = pool.targets.get(spec.name);
        if (known === undefined) pool.targets.set(spec.name, createCoordinatedTarget(spec));
        else known.spec = spec;
    }
    for (const target of pool.targets.values()) {
        updateClosed(context, pool, target);
        const listed = pool.service.spec.targets.includes(target.spec);
        if (!listed && target.taken === 0) pool.targets.delete(target.spec.name);
    }
}

/** Takes targets without a known state as new. */
export function startNewTargets(context: CoordinatorContext, pool: CoordinatorPool): void {
    for (const target of pool.targets.values())
        if (!target.known && target.condition !== "closed") markCold(context, pool, target, "new");
}

/** Withdraws slots that exceed the limit, after the limit was lowered or routers that were thought dead have returned. */
function updateExcess(context: CoordinatorContext, pool: CoordinatorPool, target: CoordinatedTarget): void {
    if (!target.confirmed || target.reusable <= computeReusableLimit(pool, target)) return;
    raiseGeneration(pool, target, target.generation + 1, context.now);
    logTarget(context, pool, target, "excess");
}

/** Brings limits and leases up to date with the time of the event. */
export function updateLimits(context: CoordinatorContext, pool: CoordinatorPool): void {
    for (const target of pool.targets.values()) {
        updateRamp(context, pool, target);
        updateLease(context, pool, target);
        updateExcess(context, pool, target);
    }
}

function computePollInterval(target: CoordinatedTarget): number {
    if (target.unaccounted.count > 0) return pollIntervalLostMs;
    return target.condition === "cold" || target.suspect !== undefined ? pollIntervalColdMs : pollIntervalMs;
}

/** Asks targets for their load when that is due. */
export function pollTargets(context: CoordinatorContext, pool: CoordinatorPool): void {
    for (const target of pool.targets.values()) {
        if (target.condition === "closed") continue;
        const interval = computePollInterval(target);
        const elapsed = context.now - target.polledAt;
        if (elapsed < (target.pollPending ? pollAnswerMs : interval)) continue;
        target.polledAt = context.now;
        target.pollPending = true;
        const { name, address } = target.spec;
        context.effects.push({ type: "pollLoad", service: pool.name, target: name, address });
    }
}
