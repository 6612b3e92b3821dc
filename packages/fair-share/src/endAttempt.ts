/** What happens when an attempt makes progress or ends: accounting, retries and resumption. */
import type { TargetAcceptedEvent, TargetEndedEvent, TargetProgressEvent } from "@rhubarbwheel/types/events";
import type { TargetObservation } from "@rhubarbwheel/types/peer-messages";
import { averageWeight, cancelSettleMs, slowCount, slowFactor, slowMinimumMs } from "./constants.js";
import { dispatchRequests } from "./dispatchRequests.js";
import {
    closeRequest,
    endRequest,
    type EntryContext,
    isActive,
    logEntryEvent,
    mayReuseSlots,
    settleCost,
    type TrackedRequest,
} from "./entryContext.js";
import { addWaiting, type EntryPool, getHeldTarget, recordCost, type RunningRequest } from "./entryPool.js";
import { continueStreams, holdForResume, mayResume } from "./resumeStreams.js";
import { type HeldTarget, recordCompletion, releaseSlot } from "./slotTable.js";

/**
 * Stops the reuse of a target's slots until the coordinator, which is told at once, has raised the generation. A failure
 * on a slot of an older generation counts too: its reason may be newer than the present generation.
 */
function suspendTarget(
    context: EntryContext,
    pool: EntryPool,
    running: RunningRequest,
    kind: TargetObservation["kind"],
    startId?: string,
): void {
    const held = getHeldTarget(pool, running.target);
    if (held.suspended !== undefined) return;
    held.suspended = { target: held.target, generation: held.generation, kind, ...(startId ? { startId } : {}) };
    held.free = 0;
    pool.changed = true;
    pool.urgent = true;
    logEntryEvent(context, "targetSuspended", { service: pool.name, target: held.target, reason: kind });
}

function checkStartId(
    context: EntryContext,
    pool: EntryPool,
    running: RunningRequest,
    startId: string | undefined,
): boolean {
    const held = getHeldTarget(pool, running.target);
    if (startId === undefined || held.generation !== running.generation) return true;
    held.startId ??= startId;
    if (held.startId === startId) return true;
    suspendTarget(context, pool, running, "startIdChanged", startId);
    return false;
}

/** Suspends a target whose time to accept requests has grown suddenly and repeatedly. */
function checkLatency(context: EntryContext, pool: EntryPool, running: RunningRequest): void {
    if (getHeldTarget(pool, running.target).generation !== running.generation) return;
    const elapsed = context.now - running.dispatchedAt;
    const latency = pool.latencies.get(running.target) ?? { average: elapsed, slowInRow: 0 };
    pool.latencies.set(running.target, latency);
    if (elapsed > slowMinimumMs && elapsed > slowFactor * latency.average) {
        latency.slowInRow += 1;
        if (latency.slowInRow < slowCount) return;
        suspendTarget(context, pool, running, "slow");
        pool.latencies.delete(running.target);
        return;
    }
    latency.slowInRow = 0;
    latency.average += averageWeight * (elapsed - latency.average);
}

/** Finds the attempt that an event belongs to; events of earlier attempts are ignored. */
function findAttempt(
    context: EntryContext,
    event: { readonly requestId: string; readonly attempt: number; },
): { tracked: TrackedRequest; running: RunningRequest; } | undefined {
    const tracked = context.requests.get(event.requestId);
    const running = tracked?.running;
    return tracked !== undefined && running?.attempt === event.attempt ? { tracked, running } : undefined;
}

export function handleTargetAccepted(context: EntryContext, event: TargetAcceptedEvent): void {
    const found = findAttempt(context, event);
    if (found === undefined) return;
    found.running.accepted = true;
    if (checkStartId(context, found.tracked.pool, found.running, event.startId))
        checkLatency(context, found.tracked.pool, found.running);
}

export function handleTargetProgress(context: EntryContext, event: TargetProgressEvent): void {
    const found = findAttempt(context, event);
    if (found !== undefined && event.cost > found.running.charged)
        settleCost(found.tracked, found.running, event.cost);
}

function requeueRequest(
    context: EntryContext,
    tracked: TrackedRequest,
    running: RunningRequest,
    reason?: string,
): void {
    tracked.running = undefined;
    tracked.waiting.chargedBefore += running.charged;
    tracked.waiting.avoidTarget = running.target;
    addWaiting(tracked.pool, tracked.queue, tracked.waiting, true);
    tracked.pool.urgent = true;
    logEntryEvent(context, "requeued", {
        requestId: tracked.waiting.request.id,
        workspace: tracked.queue.workspace,
        service: tracked.pool.name,
        target: running.target,
        attempt: running.attempt,
        reason,
    });
}

/**
 * Frees the slot for reuse. Where nothing waits, or without a coordinator, it goes back, so that unused slots stay within
 * what was granted as reserve: a target that restarts cold gets no more requests than that before its slots are withdrawn.
 */
function releaseAttempt(context: EntryContext, tracked: TrackedRequest, running: RunningRequest): void {
    const { pool, queue } = tracked;
    const held = getHeldTarget(pool, running.target);
    const { generation } = running;
    queue.inProgress -= 1;
    if (running.cancelled && held.condition === "cold")
        pool.settling.push({ held, generation, until: context.now + cancelSettleMs });
    else freeSlot(context, pool, held, generation);
}

/** Frees the slots of cancelled requests that their targets have had time to notice. */
export function freeSettledSlots(context: EntryContext, pool: EntryPool): void {
    while ((pool.settling[0]?.until ?? Infinity) <= context.now) {
        const { held, generation } = pool.settling.shift()!;
        freeSlot(context, pool, held, generation);
    }
}

function freeSlot(context: EntryContext, pool: EntryPool, held: HeldTarget, generation: number): void {
    pool.changed = true;
    if (!releaseSlot(held, generation)) {
        pool.urgent = true;
        return;
    }
    if (mayReuseSlots(context, pool)) return;
    held.free -= 1;
    if (pool.contended || !isActive(context)) pool.urgent = true;
}

function handleFailure(
    context: EntryContext,
    tracked: TrackedRequest,
    running: RunningRequest,
    reason: string | undefined,
): void {
    const { waiting, pool } = tracked;
    const mayRetry = !waiting.responseStarted && (waiting.request.idempotent || !waiting.sent);
    if (mayRetry && !context.draining && pool.budget.takeRetry()) requeueRequest(context, tracked, running, reason);
    else endRequest(context, tracked, context.draining ? "DRAINING" : "TARGET_REFUSED");
}

export function handleTargetEnded(context: EntryContext, event: TargetEndedEvent): void {
    const found = findAttempt(context, event);
    if (found === undefined) return;
    const { tracked, running } = found;
    const { pool, queue, waiting } = tracked;
    settleCost(tracked, running, event.cost);
    if (event.sent) waiting.sent = true;
    if (event.responseStarted) waiting.responseStarted = true;
    const startId = event.startId ?? getHeldTarget(pool, running.target).startId;
    const sameStart = checkStartId(context, pool, running, event.startId);
    if (event.result !== "complete" && !running.cancelled)
        suspendTarget(context, pool, running, event.result, event.startId);
    if (
        event.result === "broken" && event.responseStarted && !running.cancelled && sameStart
        && mayResume(context, tracked, running, startId)
    ) {
        holdForResume(context, tracked, running, startId);
        return;
    }
    releaseAttempt(context, tracked, running);
    if (event.result === "complete") {
        recordCost(queue, waiting.request, event.cost);
        recordCompletion(getHeldTarget(pool, running.target), running.generation);
        closeRequest(context, tracked, "complete");
    }
    else if (running.cancelled)
        closeRequest(context, tracked, waiting.sent ? "unknown" : "notRun");
    else
        handleFailure(context, tracked, running, event.reason);
    dispatchRequests(context, pool);
}

/** Continues broken streams where that has become possible, and ends those for which it never will. */
export function updateResumptions(context: EntryContext, pool: EntryPool): void {
    for (const tracked of continueStreams(context, pool)) {
        const { running } = tracked;
        if (running === undefined) continue;
        releaseAttempt(context, tracked, running);
        handleFailure(context, tracked, running, "stream not resumed");
    }
}
