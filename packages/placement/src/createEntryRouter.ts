/** Slice of the entry router, which handles each request from its arrival to its end. */
import { otherRouterRetryAfterMs } from "@rhubarbwheel/routing/computeRetryAfterMs";
import type { RouterEntry } from "@rhubarbwheel/types/fleet";
import type { CoordinatorNoticeMessage } from "@rhubarbwheel/types/placement";
import type {
    PlacementEvent,
    PlacementSlice,
    RequestRoutedEvent,
    RouterMessageEvent,
} from "@rhubarbwheel/types/placement-events";
import { type Coordinator, createCoordinatorSelector } from "./createCoordinatorSelector.js";
import { createSendRateLimiter } from "./createSendRateLimiter.js";
import { createStreamHolderChooser } from "./createStreamHolderChooser.js";
import { createStreamVersions } from "./createStreamVersions.js";
import {
    type EntryContext,
    type EntryRequest,
    type EntryRouterOptions,
    failRequest,
    logEntryEvent,
} from "./entryState.js";
import { getOrCreatePool } from "./getOrCreatePool.js";
import {
    endTimedOut,
    handleAttemptFinished,
    handleAttemptsProgressed,
    handleAttemptStarted,
    handleCallerGone,
} from "./handleAttemptEvents.js";
import {
    announceStreams,
    checkPendingLookup,
    handleRunningCallsRead,
    handleServiceVersionsRead,
    handleStreamNotice,
    handleStreamQuery,
    handleStreamReply,
    startResumption,
} from "./handleResumption.js";
import { handleTargetNoticed } from "./handleTargetNotice.js";
import {
    drainAcceptRatio,
    inFlightReportIntervalMs,
    localRateWindowMs,
    maxDrainAcceptMs,
} from "./placementSettings.js";
import { checkPendingPlacement, handleReply, placeRequest } from "./placeRequest.js";
import { reportInFlightAttempts } from "./reportInFlightAttempts.js";

export interface EntryRouter extends PlacementSlice {
    readonly countRequests: () => number;
    readonly hasRequest: (requestId: string) => boolean;
    /** Router to which the placement requests of the service are sent; `undefined` if none is registered. */
    readonly findCoordinator: (service: string, now: number) => Coordinator | undefined;
    /** First router by rank, whether suspected or not. */
    readonly findFirstCoordinator: (service: string) => RouterEntry | undefined;
}

function handleRequestRouted(context: EntryContext, { request, now }: RequestRoutedEvent): void {
    const entry: EntryRequest = {
        request,
        arrivedAt: now,
        deadlineAt: now + request.timeLimitMs,
        attempts: 0,
        countedAttempts: 0,
        mayHaveRun: false,
        responseStarted: false,
        excluded: [],
        eventCount: 0,
        isVersionUncertain: false,
    };
    context.requests.set(request.requestId, entry);
    const { drainingSince } = context;
    if (
        drainingSince !== undefined
        && now > drainingSince + Math.min(maxDrainAcceptMs, context.getShutdownGraceMs() * drainAcceptRatio)
    ) {
        return failRequest(context, entry, "DRAINING", otherRouterRetryAfterMs);
    }
    getOrCreatePool(context, request.service)?.retryBudget.recordRequest(now);
    if (request.resumption === undefined) placeRequest(context, entry);
    else startResumption(context, entry);
}

function handleCoordinatorNotice(
    context: EntryContext,
    { from, address }: RouterMessageEvent,
    { service, incarnation, era, revision }: CoordinatorNoticeMessage,
): void {
    const claim = { router: from, incarnation, address, era, revision };
    if (!context.coordinators.recordClaim(service, claim)) return;
    const known = context.view.getPosition("routers");
    logEntryEvent(context, "coordinatorClaimed", {
        service,
        router: from,
        era,
        revision,
        knownEra: known.era,
        known: known.revision,
    });
}

function handleMessage(context: EntryContext, event: RouterMessageEvent): void {
    const { from, message } = event;
    if (message.type === "placementReply") handleReply(context, event, message);
    else if (message.type === "coordinatorNotice") handleCoordinatorNotice(context, event, message);
    else if (message.type === "streamQuery") handleStreamQuery(context, event, message);
    else if (message.type === "streamReply") handleStreamReply(context, from, message);
    else if (message.type === "streamNotice") handleStreamNotice(context, message);
}

function handleEvent(context: EntryContext, event: PlacementEvent): void {
    if (event.type === "requestRouted") handleRequestRouted(context, event);
    else if (event.type === "attemptStarted") handleAttemptStarted(context, event);
    else if (event.type === "attemptsProgressed") handleAttemptsProgressed(context, event);
    else if (event.type === "attemptFinished") handleAttemptFinished(context, event);
    else if (event.type === "targetNoticed") handleTargetNoticed(context, event);
    else if (event.type === "callerGone") handleCallerGone(context, event.requestId);
    else if (event.type === "routerMessage") {
        context.coordinators.recordMessage(event.from, event.now);
        handleMessage(context, event);
    }
    else if (isListChange(event)) announceStreams(context);
    else if (event.type === "runningCallsRead") handleRunningCallsRead(context, event);
    else if (event.type === "serviceVersionsRead") handleServiceVersionsRead(context, event);
    else if (event.type === "drainRequested" && context.drainingSince === undefined) {
        context.drainingSince = event.now;
        logEntryEvent(context, "entryDrainStarted", { requests: context.requests.size });
    }
}

/** Whether another version may have appeared, or another router. */
function isListChange(event: PlacementEvent): boolean {
    return (event.type === "viewListed" || event.type === "viewChanged")
        && (event.kind === "targets" || event.kind === "routers");
}

/** Time at which the request needs a wake event. */
function computeDueAt(entry: EntryRequest): number {
    const { pendingPlacement, pendingLookup } = entry;
    return Math.min(
        entry.deadlineAt,
        pendingLookup?.timeoutAt ?? Infinity,
        pendingPlacement === undefined ? Infinity : Math.min(pendingPlacement.retryAt, pendingPlacement.timeoutAt),
    );
}

export function createEntryRouter(opts: EntryRouterOptions): EntryRouter {
    const { router, view } = opts;
    const context: EntryContext = {
        ...opts,
        requests: new Map(),
        pools: new Map(),
        coordinators: createCoordinatorSelector({
            router,
            listRouters: view.listRouters,
            getListPosition: () => view.getPosition("routers"),
        }),
        streamVersions: createStreamVersions(),
        streamHolders: createStreamHolderChooser({ failureDomain: opts.failureDomain, listRouters: view.listRouters }),
        coldRateLimiter: createSendRateLimiter(),
        localRateLimiter: createSendRateLimiter(localRateWindowMs),
        noticeSentAt: new Map(),
        now: 0,
        effects: [],
    };
    let reportAt = Infinity;
    let dueAt = Infinity;

    const handleDueRequests = (): void => {
        for (const entry of context.requests.values()) {
            if (context.now >= entry.deadlineAt) endTimedOut(context, entry);
            else if (entry.pendingLookup !== undefined) checkPendingLookup(context, entry);
            else checkPendingPlacement(context, entry);
        }
    };

    const updateTimers = (): void => {
        dueAt = Infinity;
        for (const entry of context.requests.values()) dueAt = Math.min(dueAt, computeDueAt(entry));
        if (context.requests.size === 0) reportAt = Infinity;
        else if (reportAt === Infinity) reportAt = context.now + inFlightReportIntervalMs;
    };

    return {
        reduce: event => {
            context.now = event.now;
            context.effects = [];
            handleEvent(context, event);
            if (event.now >= dueAt) handleDueRequests();
            if (event.now >= reportAt) {
                reportInFlightAttempts(context, context.requests.values());
                reportAt = event.now + inFlightReportIntervalMs;
            }
            updateTimers();
            if (context.drainingSince !== undefined && context.requests.size === 0)
                context.effects.push({ type: "stop" });
            return context.effects;
        },
        getWakeAt: () => Math.min(dueAt, reportAt),
        countRequests: () => context.requests.size,
        findCoordinator: context.coordinators.find,
        findFirstCoordinator: context.coordinators.findFirst,
        hasRequest: requestId => context.requests.has(requestId),
    };
}
