/** Handles the start and end of attempts, timeouts, and callers that disconnect. */
import { otherRouterRetryAfterMs } from "@rhubarbwheel/routing/computeRetryAfterMs";
import type { PlacedAttemptResult, ReportedLoad } from "@rhubarbwheel/types/placement";
import type {
    AttemptFinishedEvent,
    AttemptsProgressedEvent,
    AttemptStartedEvent,
} from "@rhubarbwheel/types/placement-events";
import { listSharedPartIds } from "./createPartQuarantine.js";
import {
    closeRequest,
    computeTimeLeftMs,
    createRequestFields,
    type EntryContext,
    type EntryRequest,
    failRequest,
    type InFlightEntryAttempt,
    logEntryEvent,
} from "./entryState.js";
import { getOrCreatePool } from "./getOrCreatePool.js";
import { isResumableStream, recordCompleteStream, recordStream } from "./handleResumption.js";
import { placeRequest } from "./placeRequest.js";

/** Minimum time left for a retry; with less, the response would come too late for the caller. */
const minRetryTimeLeftMs = 50;

/** Results of responses that the target sent to their end. */
const respondedResults: readonly PlacedAttemptResult[] = ["complete", "rejected", "failed"];

interface NoticeDetails {
    readonly result?: PlacedAttemptResult;
    readonly load?: ReportedLoad;
    readonly partIds?: readonly string[];
}

function sendAttemptNotice(
    context: EntryContext,
    entry: EntryRequest,
    attempt: InFlightEntryAttempt,
    details: NoticeDetails,
): void {
    const { requestId, service } = entry.request;
    const coordinator = context.coordinators.find(service, context.now);
    if (coordinator === undefined) return;
    context.effects.push({
        type: "sendToRouter",
        router: coordinator.router,
        address: coordinator.address,
        message: {
            type: "attemptNotice",
            requestId,
            service,
            target: attempt.target,
            latencyMs: context.now - attempt.sentAt,
            ...details,
        },
    });
}

function findAttempt(context: EntryContext, event: { readonly requestId: string; readonly attempt: number; }) {
    const entry = context.requests.get(event.requestId);
    const attempt = entry?.attempt;
    return entry === undefined || attempt?.number !== event.attempt ? undefined : { entry, attempt };
}

/** Before the attempt ends in the model: it was in flight when the target reported its load. */
function recordLoad(
    context: EntryContext,
    { request }: EntryRequest,
    attempt: InFlightEntryAttempt,
    load: ReportedLoad | undefined,
): void {
    const target = context.view.getTarget(attempt.target);
    if (load !== undefined && target !== undefined)
        context.pools.get(request.service)?.model.recordLoad(target, load, context.now, 0);
}

export function handleAttemptStarted(context: EntryContext, event: AttemptStartedEvent): void {
    const found = findAttempt(context, event);
    if (found === undefined || found.attempt.startedAt !== undefined) return;
    const { entry, attempt } = found;
    attempt.startedAt = context.now;
    entry.responseStarted = true;
    recordStream(context, entry);
    recordLoad(context, entry, attempt, event.load);
    context.pools.get(entry.request.service)?.model.start(event.requestId, context.now);
    sendAttemptNotice(context, entry, attempt, { load: event.load });
}

export function handleAttemptsProgressed(context: EntryContext, event: AttemptsProgressedEvent): void {
    for (const progress of event.attempts) {
        const found = findAttempt(context, progress);
        if (found === undefined) continue;
        found.attempt.eventCount = progress.eventCount;
        const { requestId, service } = found.entry.request;
        context.pools.get(service)?.model.recordProgress(requestId, progress.eventCount, context.now);
    }
}

/** Whether the call may be retried after `result`. */
function mayRetry(entry: EntryRequest, result: PlacedAttemptResult): boolean {
    const isResumable = isResumableStream(entry);
    // Another target cannot continue any other response.
    if (entry.responseStarted) return isResumable && !entry.isVersionUncertain;
    if (result === "unsent" || result === "misdirected" || result === "rejected") return true;
    return entry.request.kind === "idempotent" || isResumable;
}

function tryRetry(context: EntryContext, entry: EntryRequest, event: AttemptFinishedEvent): boolean {
    const { request } = entry;
    if (!mayRetry(entry, event.result) || entry.countedAttempts >= request.maxAttempts) return false;
    if (computeTimeLeftMs(context, entry) < minRetryTimeLeftMs) return false;
    const pool = getOrCreatePool(context, request.service);
    if (event.result !== "unsent" && pool?.retryBudget.tryTakeRetry(context.now) !== true) return false;
    placeRequest(context, entry);
    return true;
}

/** Ends a request that is not retried after a failed attempt. */
function failAfterAttempt(context: EntryContext, entry: EntryRequest, event: AttemptFinishedEvent): void {
    const { requestId } = entry.request;
    if (event.result === "failed" && !entry.responseStarted) {
        context.effects.push({ type: "relayFailure", requestId });
        return closeRequest(context, entry, "targetError", event.reason);
    }
    if (entry.mayHaveRun || entry.responseStarted) return failRequest(context, entry, "TARGET_BROKEN");
    failRequest(context, entry, "TARGET_REFUSED", otherRouterRetryAfterMs);
}

function handleAttemptFailure(context: EntryContext, entry: EntryRequest, event: AttemptFinishedEvent): void {
    const target = entry.attempt?.target ?? "";
    logEntryEvent(context, "attemptFailed", {
        ...createRequestFields(entry),
        target,
        attempt: event.attempt,
        result: event.result,
        reason: event.reason,
        targetsAgeMs: Math.round(context.view.getAgeMs("targets", context.now)),
    });
    entry.excluded.push(target);
    entry.eventCount += entry.attempt?.eventCount ?? 0;
    entry.attempt = undefined;
    if (!tryRetry(context, entry, event)) failAfterAttempt(context, entry, event);
}

/** Opens the breaker of a target whose responses were cut off several times in a row. */
function recordCutOff(context: EntryContext, entry: EntryRequest, target: string, event: AttemptFinishedEvent): void {
    const { targetBreaker, now } = context;
    if (event.isCutOff !== true) {
        if (respondedResults.includes(event.result)) targetBreaker.recordResponse(target);
        return;
    }
    const { startedAtUnixMs } = context.view.getTarget(target) ?? {};
    const pauseMs = targetBreaker.recordCutOff({ target, startedAtUnixMs }, now);
    if (pauseMs === undefined) return;
    const { service } = entry.request;
    logEntryEvent(context, "targetBypassed", { target, service, reason: event.reason, pauseMs });
}

export function handleAttemptFinished(context: EntryContext, event: AttemptFinishedEvent): void {
    const found = findAttempt(context, event);
    if (found === undefined) return;
    const { entry, attempt } = found;
    const { result } = event;
    attempt.eventCount = event.eventCount ?? attempt.eventCount;
    // The load is that of the response's head, and was already reported when the attempt started.
    const load = attempt.startedAt === undefined ? event.load : undefined;
    recordLoad(context, entry, attempt, load);
    const latencyMs = (attempt.startedAt ?? context.now) - attempt.sentAt;
    context.pools.get(entry.request.service)?.model.end(event.requestId, result, latencyMs, context.now);
    recordCutOff(context, entry, attempt.target, event);
    // A target may crash at any moment of a response, so only a complete one shows that the prompt did not crash it.
    const partIds = listSharedPartIds(entry.request.prompt);
    sendAttemptNotice(context, entry, attempt, {
        result,
        load,
        partIds: result === "cancelled" || partIds.length === 0 ? undefined : partIds,
    });
    entry.responseStarted ||= event.responseStarted;
    if (result !== "unsent" && result !== "misdirected") entry.countedAttempts += 1;
    if (result === "failed" || result === "broken") entry.mayHaveRun = true;
    if (attempt.cancelled) return closeRequest(context, entry, "cancelled");
    if (result === "complete") {
        recordCompleteStream(context, entry);
        return closeRequest(context, entry, "complete");
    }
    handleAttemptFailure(context, entry, event);
}

/** Cancels the in-flight attempt of a request whose response is no longer needed. */
export function cancelAttempt(context: EntryContext, entry: EntryRequest): void {
    const { attempt } = entry;
    if (attempt === undefined || attempt.cancelled) return;
    attempt.cancelled = true;
    const { requestId, service } = entry.request;
    context.effects.push({ type: "cancelAttempt", requestId, attempt: attempt.number });
    context.pools.get(service)?.model.end(requestId, "cancelled", 0, context.now);
    sendAttemptNotice(context, entry, attempt, { result: "cancelled" });
}

export function handleCallerGone(context: EntryContext, requestId: string): void {
    const entry = context.requests.get(requestId);
    if (entry === undefined) return;
    const continues = entry.attempt !== undefined && entry.request.kind === "nonIdempotent";
    logEntryEvent(context, "callerGone", {
        ...createRequestFields(entry),
        target: entry.attempt?.target,
        afterMs: Math.round(context.now - entry.arrivedAt),
        continues,
    });
    // A call that must not run twice is left to complete: cancelling it would leave its outcome unknown.
    if (continues) return;
    cancelAttempt(context, entry);
    closeRequest(context, entry, "callerGone");
}

/** Ends a request whose deadline has passed. */
export function endTimedOut(context: EntryContext, entry: EntryRequest): void {
    const wasSent = entry.attempt !== undefined || entry.mayHaveRun;
    if (entry.attempt?.cancelled === true) return;
    cancelAttempt(context, entry);
    if (wasSent) return failRequest(context, entry, "TARGET_TIMEOUT");
    failRequest(context, entry, "QUEUE_TIMEOUT", otherRouterRetryAfterMs);
}
