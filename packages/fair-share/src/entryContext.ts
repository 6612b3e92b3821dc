/** What the functions of the entry queue share within one step, and how requests end. */
import type { ErrorCode } from "@rhubarbwheel/error/routerError";
import type { Effect, LogEffect } from "@rhubarbwheel/types/effects";
import type { ConfigurationQueries, MembershipQueries, RouterIdentity } from "@rhubarbwheel/types/slices";
import { retryAfterMs } from "./constants.js";
import {
    chargeCost,
    type EntryPool,
    isConfirmed,
    removeWaiting,
    type RunningRequest,
    type WaitingRequest,
    type WorkspaceQueue,
} from "./entryPool.js";

export interface TrackedRequest {
    readonly pool: EntryPool;
    readonly queue: WorkspaceQueue;
    readonly waiting: WaitingRequest;
    /** Set while an attempt is in progress. */
    running?: RunningRequest;
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

/** Whether requests of the pool may be dispatched at all: fresh configuration, and not draining. */
export function isActive(context: EntryContext): boolean {
    return !context.draining && context.configuration.getFreshness() === "fresh";
}

/** Whether a slot that becomes free stays here for the next request. */
export function mayReuseSlots(context: EntryContext, pool: EntryPool): boolean {
    return pool.backlogged.size > 0 && isConfirmed(pool, context.now);
}

/** Forgets a request and tells the other slices how it ended. */
export function closeRequest(
    context: EntryContext,
    tracked: TrackedRequest,
    outcome: "complete" | "notRun" | "unknown",
    code?: string,
): void {
    const { request, chargedBefore } = tracked.waiting;
    const cost = chargedBefore + (tracked.running?.charged ?? 0);
    context.requests.delete(request.id);
    logEntryEvent(context, "ended", {
        requestId: request.id,
        workspace: request.workspace,
        service: request.service,
        outcome,
        code,
        target: tracked.running?.target,
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

/** Ends a request that will not complete. `code` applies if it was never sent; otherwise the outcome is unknown. */
export function endRequest(context: EntryContext, tracked: TrackedRequest, code: ErrorCode): void {
    const requestId = tracked.waiting.request.id;
    if (tracked.waiting.sent) {
        context.effects.push({ type: "endRequest", requestId, outcome: "unknown", code: "TARGET_BROKEN" });
        closeRequest(context, tracked, "unknown", "TARGET_BROKEN");
        return;
    }
    context.effects.push({ type: "endRequest", requestId, outcome: "notRun", code, retryAfterMs });
    closeRequest(context, tracked, "notRun", code);
}

/** Ends a request that waits in a queue. */
export function endWaiting(context: EntryContext, tracked: TrackedRequest, code: ErrorCode): void {
    removeWaiting(tracked.pool, tracked.queue, tracked.waiting);
    endRequest(context, tracked, code);
}

/** Replaces what is charged for the attempt in progress by `cost`. */
export function settleCost(tracked: TrackedRequest, running: RunningRequest, cost: number): void {
    chargeCost(tracked.pool, tracked.queue, cost - running.charged);
    running.charged = cost;
}
