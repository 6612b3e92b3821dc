/** State shared by the functions of the entry queue, and functions that end requests. */
import type { ErrorCode } from "@rhubarbwheel/error/routerError";
import type { Effect, LogEffect } from "@rhubarbwheel/types/effects";
import type { ConfigurationQueries, MembershipQueries, RouterIdentity } from "@rhubarbwheel/types/slices";
import { retryAfterMs } from "./constants.js";
import {
    chargeCost,
    type EntryPool,
    type InFlightAttempt,
    isConfirmed,
    type QueueItem,
    removeFromQueue,
    type WorkspaceQueue,
} from "./entryPool.js";

export interface TrackedRequest {
    readonly pool: EntryPool;
    readonly queue: WorkspaceQueue;
    readonly item: QueueItem;
    /** Set while an attempt is in flight. */
    attempt?: InFlightAttempt;
}

export interface EntryContext {
    readonly identity: RouterIdentity;
    readonly membership: MembershipQueries;
    readonly configuration: ConfigurationQueries;
    readonly pools: Map<string, EntryPool>;
    /** Every request that has not ended, by id. */
    readonly requests: Map<string, TrackedRequest>;
    draining: boolean;
    stopped: boolean;
    now: number;
    effects: Effect[];
}

/** Numbers of the log events of the entry queue. */
export const entryLogEvents = {
    queued: 1100,
    dispatched: 1101,
    requeued: 1102,
    resumed: 1103,
    ended: 1104,
    cancelled: 1105,
    targetSuspended: 1106,
    coordinatorChanged: 1107,
    slotsReturned: 1108,
} as const;

export function logEntryEvent(
    context: EntryContext,
    event: keyof typeof entryLogEvents,
    fields: LogEffect["fields"],
): void {
    context.effects.push({ type: "log", event: entryLogEvents[event], fields });
}

/** Whether this router may dispatch requests: its configuration is fresh and it is not draining. */
export function isActive(context: EntryContext): boolean {
    return !context.draining && context.configuration.getFreshness() === "fresh";
}

/** Whether a freed slot is kept for the next queued request instead of being returned. */
export function mayReuseSlots(context: EntryContext, pool: EntryPool): boolean {
    return pool.backloggedQueues.size > 0 && isConfirmed(pool, context.now);
}

/** Removes a request, logs its outcome and raises `requestEnded` for the other slices. */
export function closeRequest(
    context: EntryContext,
    tracked: TrackedRequest,
    outcome: "complete" | "notRun" | "unknown",
    code?: string,
): void {
    const { request, chargedBefore } = tracked.item;
    const cost = chargedBefore + (tracked.attempt?.charged ?? 0);
    context.requests.delete(request.id);
    logEntryEvent(context, "ended", {
        requestId: request.id,
        workspace: request.workspace,
        service: request.service,
        outcome,
        code,
        target: tracked.attempt?.target,
        cost,
    });
    context.effects.push({
        type: "raise",
        event: {
            type: "requestEnded",
            now: context.now,
            requestId: request.id,
            workspace: request.workspace,
            service: request.service,
            outcome,
            cost,
        },
    });
}

/** Ends an incomplete request: with `code` if it was never sent, with an unknown outcome otherwise. */
export function endRequest(context: EntryContext, tracked: TrackedRequest, code: ErrorCode): void {
    const requestId = tracked.item.request.id;
    if (tracked.item.sent) {
        context.effects.push({ type: "endRequest", requestId, outcome: "unknown", code: "TARGET_BROKEN" });
        closeRequest(context, tracked, "unknown", "TARGET_BROKEN");
        return;
    }
    context.effects.push({ type: "endRequest", requestId, outcome: "notRun", code, retryAfterMs });
    closeRequest(context, tracked, "notRun", code);
}

export function endQueuedRequest(context: EntryContext, tracked: TrackedRequest, code: ErrorCode): void {
    removeFromQueue(tracked.pool, tracked.queue, tracked.item);
    endRequest(context, tracked, code);
}

/** Sets the cost charged for the in-flight attempt to `cost`. */
export function updateChargedCost(tracked: TrackedRequest, attempt: InFlightAttempt, cost: number): void {
    chargeCost(tracked.pool, tracked.queue, cost - attempt.charged);
    attempt.charged = cost;
}
