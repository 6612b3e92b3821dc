/** Handles progress and end of attempts: accounting, retries and resumption. */
import type { TargetAcceptedEvent, TargetEndedEvent, TargetProgressEvent } from "@rhubarbwheel/types/events";
import type { TargetObservation } from "@rhubarbwheel/types/peer-messages";
import {
    cancelReleaseDelayMs,
    minSlowLatencyMs,
    movingAverageWeight,
    slowLatencyFactor,
    slowRequestCount,
} from "./constants.js";
import { dispatchRequests } from "./dispatchRequests.js";
import {
    closeRequest,
    endRequest,
    type EntryContext,
    isActive,
    logEntryEvent,
    mayReuseSlots,
    type TrackedRequest,
    updateChargedCost,
} from "./entryContext.js";
import { addToQueue, type EntryPool, getOrCreateHeldTarget, type InFlightAttempt, recordCost } from "./entryPool.js";
import { mayResume, resumeStreams, waitForResumption } from "./resumeStreams.js";
import { type HeldTarget, recordCompletion, releaseSlot } from "./slotTable.js";

/**
 * Stops the reuse of a target's slots until the coordinator, which gets a report in the same step, has raised the
 * generation. Failures on slots of older generations count too: their cause may be newer than the current generation.
 */
function suspendTarget(
    context: EntryContext,
    pool: EntryPool,
    attempt: InFlightAttempt,
    kind: TargetObservation["kind"],
    startId?: string,
): void {
    const held = getOrCreateHeldTarget(pool, attempt.target);
    if (held.suspended !== undefined) return;
    held.suspended = { target: held.target, generation: held.generation, kind, ...(startId ? { startId } : {}) };
    held.free = 0;
    pool.changed = true;
    pool.reportDue = true;
    logEntryEvent(context, "targetSuspended", { service: pool.name, target: held.target, reason: kind });
}

function checkStartId(
    context: EntryContext,
    pool: EntryPool,
    attempt: InFlightAttempt,
    startId: string | undefined,
): boolean {
    const held = getOrCreateHeldTarget(pool, attempt.target);
    if (startId === undefined || held.generation !== attempt.generation) return true;
    held.startId ??= startId;
    if (held.startId === startId) return true;
    suspendTarget(context, pool, attempt, "startIdChanged", startId);
    return false;
}

/** Suspends a target after consecutive requests whose accept latency far exceeds its moving average. */
function checkLatency(context: EntryContext, pool: EntryPool, attempt: InFlightAttempt): void {
    if (getOrCreateHeldTarget(pool, attempt.target).generation !== attempt.generation) return;
    const elapsed = context.now - attempt.dispatchedAt;
    const latency = pool.latencies.get(attempt.target) ?? { average: elapsed, consecutiveSlow: 0 };
    pool.latencies.set(attempt.target, latency);
    if (elapsed > minSlowLatencyMs && elapsed > slowLatencyFactor * latency.average) {
        latency.consecutiveSlow += 1;
        if (latency.consecutiveSlow < slowRequestCount) return;
        suspendTarget(context, pool, attempt, "slow");
        pool.latencies.delete(attempt.target);
        return;
    }
    latency.consecutiveSlow = 0;
    latency.average += movingAverageWeight * (elapsed - latency.average);
}

/** Finds the attempt that an event belongs to; events of earlier attempts are ignored. */
function findAttempt(
    context: EntryContext,
    event: { readonly requestId: string; readonly attempt: number; },
): { tracked: TrackedRequest; attempt: InFlightAttempt; } | undefined {
    const tracked = context.requests.get(event.requestId);
    const attempt = tracked?.attempt;
    return tracked !== undefined && attempt?.number === event.attempt ? { tracked, attempt } : undefined;
}

export function handleTargetAccepted(context: EntryContext, event: TargetAcceptedEvent): void {
    const found = findAttempt(context, event);
    if (found === undefined) return;
    found.attempt.accepted = true;
    if (checkStartId(context, found.tracked.pool, found.attempt, event.startId))
        checkLatency(context, found.tracked.pool, found.attempt);
}

export function handleTargetProgress(context: EntryContext, event: TargetProgressEvent): void {
    const found = findAttempt(context, event);
    if (found !== undefined && event.cost > found.attempt.charged)
        updateChargedCost(found.tracked, found.attempt, event.cost);
}

function requeueRequest(
    context: EntryContext,
    tracked: TrackedRequest,
    attempt: InFlightAttempt,
    reason?: string,
): void {
    tracked.attempt = undefined;
    tracked.item.chargedBefore += attempt.charged;
    tracked.item.avoidTarget = attempt.target;
    addToQueue(tracked.pool, tracked.queue, tracked.item, true);
    tracked.pool.reportDue = true;
    logEntryEvent(context, "requeued", {
        requestId: tracked.item.request.id,
        workspace: tracked.queue.workspace,
        service: tracked.pool.name,
        target: attempt.target,
        attempt: attempt.number,
        reason,
    });
}

/**
 * Frees the slot of an ended attempt, after a delay if the request was cancelled at a cold target, which may still be
 * running it.
 */
function releaseAttempt(context: EntryContext, tracked: TrackedRequest, attempt: InFlightAttempt): void {
    const { pool, queue } = tracked;
    const held = getOrCreateHeldTarget(pool, attempt.target);
    const { generation } = attempt;
    queue.inProgress -= 1;
    if (attempt.cancelled && held.condition === "cold")
        pool.delayedReleases.push({ held, generation, releaseAt: context.now + cancelReleaseDelayMs });
    else releaseHeldSlot(context, pool, held, generation);
}

/** Frees the slots of cancelled requests whose release delay has passed. */
export function releaseDelayedSlots(context: EntryContext, pool: EntryPool): void {
    while ((pool.delayedReleases[0]?.releaseAt ?? Infinity) <= context.now) {
        const { held, generation } = pool.delayedReleases.shift()!;
        releaseHeldSlot(context, pool, held, generation);
    }
}

/**
 * Frees a slot for reuse. If no request waits or the last confirmation has expired, the slot is returned, so that
 * unused slots do not exceed the granted reserve. This bounds the number of requests that a target receives after a
 * cold restart before its slots are withdrawn.
 */
function releaseHeldSlot(context: EntryContext, pool: EntryPool, held: HeldTarget, generation: number): void {
    pool.changed = true;
    if (!releaseSlot(held, generation)) {
        pool.reportDue = true;
        return;
    }
    if (mayReuseSlots(context, pool)) return;
    held.free -= 1;
    if (pool.contended || !isActive(context)) pool.reportDue = true;
}

function handleFailure(
    context: EntryContext,
    tracked: TrackedRequest,
    attempt: InFlightAttempt,
    reason: string | undefined,
): void {
    const { item, pool } = tracked;
    const mayRetry = !item.responseStarted && (item.request.idempotent || !item.sent);
    if (mayRetry && !context.draining && pool.retryBudget.tryTakeRetry())
        requeueRequest(context, tracked, attempt, reason);
    else endRequest(context, tracked, context.draining ? "DRAINING" : "TARGET_REFUSED");
}

export function handleTargetEnded(context: EntryContext, event: TargetEndedEvent): void {
    const found = findAttempt(context, event);
    if (found === undefined) return;
    const { tracked, attempt } = found;
    const { pool, queue, item } = tracked;
    updateChargedCost(tracked, attempt, event.cost);
    if (event.sent) item.sent = true;
    if (event.responseStarted) item.responseStarted = true;
    const startId = event.startId ?? getOrCreateHeldTarget(pool, attempt.target).startId;
    const sameStartId = checkStartId(context, pool, attempt, event.startId);
    if (event.result !== "complete" && !attempt.cancelled)
        suspendTarget(context, pool, attempt, event.result, event.startId);
    if (
        event.result === "broken" && event.responseStarted && !attempt.cancelled && sameStartId
        && mayResume(context, tracked, attempt, startId)
    ) {
        waitForResumption(context, tracked, attempt, startId);
        return;
    }
    releaseAttempt(context, tracked, attempt);
    if (event.result === "complete") {
        recordCost(queue, item.request, event.cost);
        recordCompletion(getOrCreateHeldTarget(pool, attempt.target), attempt.generation);
        closeRequest(context, tracked, "complete");
    }
    else if (attempt.cancelled)
        closeRequest(context, tracked, item.sent ? "unknown" : "notRun");
    else
        handleFailure(context, tracked, attempt, event.reason);
    dispatchRequests(context, pool);
}

/** Resumes broken streams where possible; retries or ends the requests of those that cannot be resumed. */
export function updateResumptions(context: EntryContext, pool: EntryPool): void {
    for (const tracked of resumeStreams(context, pool)) {
        const { attempt } = tracked;
        if (attempt === undefined) continue;
        releaseAttempt(context, tracked, attempt);
        handleFailure(context, tracked, attempt, "stream not resumed");
    }
}
