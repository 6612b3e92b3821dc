/** State of an entry router and helpers shared by its event handlers. */
import type { FleetView } from "@rhubarbwheel/fleet-view/createFleetView";
import type { LogEffect } from "@rhubarbwheel/types/effects";
import type { RouterEntry } from "@rhubarbwheel/types/fleet";
import type { PlacementReplyMessage, PlacementRequest } from "@rhubarbwheel/types/placement";
import type { PlacementEffect, RoutedRequest } from "@rhubarbwheel/types/placement-events";
import type { CoordinatorSelector } from "./createCoordinatorSelector.js";
import type { LocalTokenBucket } from "./createLocalTokenBucket.js";
import type { PartQuarantine } from "./createPartQuarantine.js";
import type { PoolModel } from "./createPoolModel.js";
import type { ReportedUsage } from "./createReportedUsage.js";
import type { RetryBudget, RetryPolicy } from "./createRetryBudget.js";
import type { SendRateLimiter } from "./createSendRateLimiter.js";
import type { ServiceVersions } from "./createServiceVersions.js";
import type { StreamHolderChooser } from "./createStreamHolderChooser.js";
import type { StreamVersions } from "./createStreamVersions.js";
import type { TargetBreaker } from "./createTargetBreaker.js";
import type { TargetNotices } from "./createTargetNotices.js";

/** Numbers of the entry router's log events. */
export const entryLogEvents = {
    requestPlaced: 1700,
    requestRefused: 1701,
    attemptFailed: 1702,
    placedRequestEnded: 1703,
    callerGone: 1704,
    coordinatorSuspected: 1705,
    placedLocally: 1706,
    entryDrainStarted: 1707,
    targetNoticed: 1716,
    targetBypassed: 1719,
    coordinatorClaimed: 1721,
    resumptionRefused: 1723,
} as const;

export interface EntryRouterOptions {
    readonly router: string;
    readonly failureDomain: string;
    readonly view: FleetView;
    /** Retry limits of each service, over all routers. */
    readonly getRetryPolicy: () => RetryPolicy;
    /** Maximum requests per second to a cold target, over all routers, given its configured rate limit. */
    readonly computeColdLimit: (coldRequestsPerSecond: number) => number;
    /** Random number in [0, 1). */
    readonly random: () => number;
    /** Time from the start of a drain until open requests are cut off. */
    readonly getShutdownGraceMs: () => number;
    readonly quarantine: PartQuarantine;
    readonly targetNotices: TargetNotices;
    readonly targetBreaker: TargetBreaker;
    readonly serviceVersions: Pick<ServiceVersions, "listSeen" | "getWindowMs" | "isStale" | "getRecord" | "read">;
}

/** A placement request that awaits the reply of its coordinator. */
export interface PendingPlacement {
    readonly request: PlacementRequest;
    readonly coordinator: string;
    readonly sentAt: number;
    retryAt: number;
    /** Time at which the router places the request locally if that is allowed. */
    timeoutAt: number;
}

/** A resumption that waits until it is known which version has begun the stream. */
export interface PendingLookup {
    /** Routers that have not replied. */
    readonly waitingFor: Set<string>;
    /** Versions that may have begun the stream. */
    readonly versions: Set<string>;
    /** Whether these are all. */
    isComplete: boolean;
    /** Whether a router of another failure domain has replied. */
    isConfirmed: boolean;
    timeoutAt: number;
}

/** An attempt that has not ended. */
export interface InFlightEntryAttempt {
    readonly number: number;
    readonly target: string;
    /** Version and start of the target as listed when the attempt was sent. */
    readonly version: string;
    readonly targetStartedAtUnixMs?: number;
    readonly sentAt: number;
    readonly newTokens: number;
    startedAt?: number;
    /** Events of a stream that the attempt has sent to the caller, as of the last report of the forwarder. */
    eventCount: number;
    cancelled: boolean;
}

export interface EntryRequest {
    readonly request: RoutedRequest;
    readonly arrivedAt: number;
    readonly deadlineAt: number;
    pendingPlacement?: PendingPlacement;
    pendingLookup?: PendingLookup;
    /** Version that has begun the stream. Another one cannot continue it. */
    version?: string;
    /** Whether it is not certain which version has begun the stream. */
    isVersionUncertain: boolean;
    attempt?: InFlightEntryAttempt;
    /** Number of attempts made, and the number of the last one. */
    attempts: number;
    /** Number of attempts that may have reached the target, which count towards `maxAttempts` of the route. */
    countedAttempts: number;
    /** Whether a target may have run the call. */
    mayHaveRun: boolean;
    /** Whether any part of the response has been sent to the caller. */
    responseStarted: boolean;
    /** Targets that the request must not be placed at again. */
    readonly excluded: string[];
    /** Events that attempts before the current one have sent to the caller. */
    eventCount: number;
    /** Coordinator of the last placement request. */
    coordinator?: string;
}

export interface EntryPool {
    readonly service: string;
    /** Model of the load from this router's own attempts. */
    readonly model: PoolModel;
    readonly retryBudget: RetryBudget;
    readonly reportedUsage: ReportedUsage;
    /** Rate limit of local placement; omitted for plain services. */
    readonly localTokenBucket?: LocalTokenBucket;
}

export interface EntryContext extends EntryRouterOptions {
    readonly requests: Map<string, EntryRequest>;
    readonly pools: Map<string, EntryPool>;
    readonly coordinators: CoordinatorSelector;
    readonly streamVersions: StreamVersions;
    readonly streamHolders: StreamHolderChooser;
    /** Routers that were listed when the streams in progress were last announced. */
    announcedTo?: readonly RouterEntry[];
    readonly coldRateLimiter: SendRateLimiter;
    /** Sends to targets with a rate limit that no coordinator has granted. */
    readonly localRateLimiter: SendRateLimiter;
    /** Time at which the last notice about each target was sent to a coordinator. */
    readonly noticeSentAt: Map<string, number>;
    /** Time at which the drain started. */
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

/** Log fields that identify a request. */
export function createRequestFields({ request }: EntryRequest) {
    const { callerId, requestId, route, service, workspace } = request;
    return { callerId, requestId, route, service, workspace };
}

export function computeTimeLeftMs(context: EntryContext, entry: EntryRequest): number {
    return entry.deadlineAt - context.now;
}

/** Log fields of the size of a prompt, and of what the caller has received of the response. */
function createSizeFields({ request, attempt, eventCount }: EntryRequest) {
    const { prompt } = request;
    if (prompt === undefined) return {};
    const { promptTokens, outputTokens, expectedOutputTokens } = prompt;
    return { promptTokens, outputTokens, expectedOutputTokens, events: eventCount + (attempt?.eventCount ?? 0) };
}

/** Removes the request and logs its end. Has no effect on the caller's connection. */
export function closeRequest(context: EntryContext, entry: EntryRequest, outcome: string, code?: string): void {
    context.requests.delete(entry.request.requestId);
    const startedAt = entry.attempt?.startedAt;
    logEntryEvent(context, "placedRequestEnded", {
        ...createRequestFields(entry),
        outcome,
        code,
        target: entry.attempt?.target,
        attempts: entry.attempts,
        firstByteMs: startedAt === undefined ? undefined : Math.round(startedAt - entry.arrivedAt),
        durationMs: Math.round(context.now - entry.arrivedAt),
        ...createSizeFields(entry),
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

/** Result of a placement request to the coordinator, or of local placement. */
export type Placement = Omit<PlacementReplyMessage, "type" | "requestId" | "service">;
