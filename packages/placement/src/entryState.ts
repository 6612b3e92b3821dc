/** State of the requests of an entry router, and the helpers that its event handlers share. */
import type { FleetView } from "@rhubarbwheel/fleet-view/createFleetView";
import type { LogEffect } from "@rhubarbwheel/types/effects";
import type { PlacementReplyMessage, PlacementRequest } from "@rhubarbwheel/types/placement";
import type { PlacementEffect, RoutedRequest } from "@rhubarbwheel/types/placement-events";
import type { CoordinatorSelector } from "./createCoordinatorSelector.js";
import type { LocalTokenBucket } from "./createLocalTokenBucket.js";
import type { PoolModel } from "./createPoolModel.js";
import type { RetryBudget, RetryPolicy } from "./createRetryBudget.js";
import type { SendRateLimiter } from "./createSendRateLimiter.js";

/** Numbers of the log events of requests at their entry router. */
export const entryLogEvents = {
    requestPlaced: 1700,
    requestRefused: 1701,
    attemptFailed: 1702,
    placedRequestEnded: 1703,
    callerGone: 1704,
    coordinatorSuspected: 1705,
    placedLocally: 1706,
    entryDrainStarted: 1707,
} as const;

export interface EntryRouterOptions {
    readonly router: string;
    readonly failureDomain: string;
    readonly view: FleetView;
    /** Limits on repeats of each service in the whole fleet. */
    readonly getRetryPolicy: () => RetryPolicy;
    /** Requests a second to a cold target, over all routers, given what the target bears. */
    readonly computeColdLimit: (coldRequestsPerSecond: number) => number;
    /** Random number in [0, 1). */
    readonly random: () => number;
}

/** A placement request that awaits the reply of its coordinator. */
export interface PendingPlacement {
    readonly request: PlacementRequest;
    readonly coordinator: string;
    readonly askedAt: number;
    retryAt: number;
    /** Time at which the router places the request alone, if it may. */
    timeoutAt: number;
}

/** An attempt that goes on. */
export interface InFlightEntryAttempt {
    readonly number: number;
    readonly target: string;
    readonly sentAt: number;
    readonly newTokens: number;
    startedAt?: number;
    cancelled: boolean;
}

export interface EntryRequest {
    readonly request: RoutedRequest;
    readonly arrivedAt: number;
    readonly deadlineAt: number;
    pendingPlacement?: PendingPlacement;
    attempt?: InFlightEntryAttempt;
    /** Attempts made, numbered from 1. */
    attempts: number;
    /** Attempts that may have reached the target, which count towards `maxAttempts` of the route. */
    countedAttempts: number;
    /** Whether a target may have run the call. */
    mayHaveRun: boolean;
    /** Whether the caller has received a part of the answer. */
    responseStarted: boolean;
    readonly excluded: string[];
    /** Coordinator that was asked last. */
    coordinator?: string;
}

export interface EntryPool {
    readonly service: string;
    /** This router's own attempts. */
    readonly model: PoolModel;
    readonly budget: RetryBudget;
    /** What this router may start by itself; plain services have none. */
    readonly localTokenBucket?: LocalTokenBucket;
}

export interface EntryContext extends EntryRouterOptions {
    readonly requests: Map<string, EntryRequest>;
    readonly pools: Map<string, EntryPool>;
    readonly coordinators: CoordinatorSelector;
    readonly coldSends: SendRateLimiter;
    /** Time since which the router drains. */
    drainingSince?: number;
    now: number;
    effects: PlacementEffect[];
}

export function logEntryEvent(
    context: EntryContext,
    event: keyof typeof entryLogEvents,
    fields: LogEffect["fields"],
): void {
    context.effects.push({ type: "log", event: entryLogEvents[event], fields });
}

/** Fields that identify a request in each of its log lines. */
export function describeRequest({ request }: EntryRequest) {
    const { callerId, requestId, route, service, workspace } = request;
    return { callerId, requestId, route, service, workspace };
}

export function computeTimeLeft(context: EntryContext, entry: EntryRequest): number {
    return entry.deadlineAt - context.now;
}

/** Removes the request and logs its end. The caller's side has been told by another effect, or has gone. */
export function closeRequest(context: EntryContext, entry: EntryRequest, outcome: string, code?: string): void {
    context.requests.delete(entry.request.requestId);
    const startedAt = entry.attempt?.startedAt;
    logEntryEvent(context, "placedRequestEnded", {
        ...describeRequest(entry),
        outcome,
        code,
        target: entry.attempt?.target,
        attempts: entry.attempts,
        firstByteMs: startedAt === undefined ? undefined : Math.round(startedAt - entry.arrivedAt),
        durationMs: Math.round(context.now - entry.arrivedAt),
        configurationAgeMs: Math.round(context.view.getAgeMs("configuration", context.now)),
    });
}

/** Ends the request with an error of this router. */
export function failRequest(context: EntryContext, entry: EntryRequest, code: string, retryAfterMs?: number): void {
    const { requestId } = entry.request;
    if (entry.responseStarted) context.effects.push({ type: "breakAnswer", requestId });
    else context.effects.push({ type: "failRequest", requestId, code, retryAfterMs });
    closeRequest(context, entry, entry.responseStarted ? "brokenOff" : "failed", code);
}

/** A placement as the entry router uses it, whoever made it. */
export type Placement = Omit<PlacementReplyMessage, "type" | "requestId" | "service">;
