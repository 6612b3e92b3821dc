/** Places requests on targets: by the coordinator of the pool, or locally if it does not reply in time. */
import { getRunningPhase } from "@rhubarbwheel/fleet-view/rolloutOrders";
import {
    computeRetryAfterMs,
    finalRetryAfterMs,
    otherRouterRetryAfterMs,
} from "@rhubarbwheel/routing/computeRetryAfterMs";
import type { TargetEntry } from "@rhubarbwheel/types/fleet";
import type { PlacementReplyMessage, PlacementRequest, RefusalReason } from "@rhubarbwheel/types/placement";
import type { RouterMessageEvent } from "@rhubarbwheel/types/placement-events";
import { computeCost, computeMaxWaitMs, defaultAdmissionInput } from "./admission.js";
import { computeShare } from "./computeShare.js";
import { listSharedPartIds } from "./createPartQuarantine.js";
import {
    computeTimeLeftMs,
    createRequestFields,
    type EntryContext,
    type EntryRequest,
    failRequest,
    logEntryEvent,
    type Placement,
} from "./entryState.js";
import { getOrCreatePool } from "./getOrCreatePool.js";
import { computePauseMs, hasLocalRate, isWanted, takeLocalRate } from "./handleTargetNotice.js";
import { hasVersion } from "./hasVersion.js";
import { lateReplyWaitRatio, placementRetryMs, placementTimeoutMs } from "./placementSettings.js";
import { reportInFlightAttempts } from "./reportInFlightAttempts.js";
import { roundOptional } from "./roundOptional.js";
import { startAttempt } from "./startAttempt.js";

/** Error codes of refused requests. All are retryable: a target may become available soon. */
const refusalCodes = {
    overloaded: "OVERLOADED",
    shareUsed: "SHARE_USED",
    noTarget: "NO_TARGET",
    partQuarantined: "PROMPT_QUARANTINED",
    limited: "TARGETS_LIMITED",
    versionGone: "STREAM_VERSION_GONE",
} as const;

/** Maximum number of routers that are assumed to add as much load as this one during local placement. */
const maxAssumedRouters = 4;

/** This router's share of the rate limit of a cold target. */
export function computeColdLimitShare(context: EntryContext, target: TargetEntry): number {
    const perSecond = context.view.getPool(target.service)?.coldRequestsPerSecond ?? 0;
    return perSecond === 0 ? Infinity : computeShare(context, Math.floor(context.computeColdLimit(perSecond)));
}

function maySendTo(context: EntryContext, target: TargetEntry): boolean {
    if (context.view.getColdRemainingMs(target.target, context.now) <= 0) return true;
    return context.coldRateLimiter.hasCapacity(target.target, computeColdLimitShare(context, target), context.now);
}

/** `avoided`: targets that get no requests from this router for some time; the coordinator does not know of them. */
function createPlacementRequest(
    context: EntryContext,
    entry: EntryRequest,
    avoided: readonly TargetEntry[],
): PlacementRequest {
    const { requestId, service, workspace, prompt, latencyTargetMs, regions } = entry.request;
    const quarantinedParts = context.quarantine.list(listSharedPartIds(prompt), context.now);
    return {
        requestId,
        service,
        workspace,
        prompt,
        latencyTargetMs,
        waitedMs: context.now - entry.arrivedAt,
        timeLeftMs: computeTimeLeftMs(context, entry),
        regions,
        failureDomain: context.failureDomain,
        excluded: [...entry.excluded, ...avoided.map(({ target }) => target)],
        quarantinedParts: quarantinedParts.length === 0 ? undefined : quarantinedParts,
        version: entry.version,
        ...(isRollingOut(context, service) ? { route: entry.request.route } : {}),
    };
}

/** Whether the coordinator needs the routes of requests to compare two versions. */
function isRollingOut({ view }: EntryContext, service: string): boolean {
    const order = view.rollouts?.getOrder(service);
    return order !== undefined && getRunningPhase(order) !== undefined;
}

function sendPlacementRequest(context: EntryContext, entry: EntryRequest, router: string, address: string): void {
    const { pendingPlacement } = entry;
    if (pendingPlacement === undefined) return;
    const message = { type: "placementAsk", request: pendingPlacement.request } as const;
    context.effects.push({ type: "sendToRouter", router, address, message });
}

/** Targets whose breaker is open, unless no other one is left: a call may still succeed there. */
function listBypassed(
    context: EntryContext,
    entry: EntryRequest,
    targets: readonly TargetEntry[],
): readonly TargetEntry[] {
    const usable = targets.filter(({ target }) => !entry.excluded.includes(target));
    const bypassed = usable.filter(target => context.targetBreaker.isOpen(target, context.now));
    return bypassed.length === usable.length ? [] : bypassed;
}

/** Sends a placement request to the coordinator, or places the request locally if there is none. */
export function placeRequest(context: EntryContext, entry: EntryRequest): void {
    const listedTargets = context.view.listUsableTargets(entry.request.service, entry.request.regions);
    const usableTargets = listedTargets.filter(target => hasVersion(target, entry.version));
    if (usableTargets.length === 0 && listedTargets.length > 0)
        return handleRefusal(context, entry, { refusal: "versionGone", retryAfterMs: finalRetryAfterMs });
    const unwanted = usableTargets.filter(target => !isWanted(context, target));
    if (unwanted.length > 0 && unwanted.length === usableTargets.length) {
        return handleRefusal(context, entry, {
            refusal: "limited",
            retryAfterMs: computePauseMs(context, unwanted),
        });
    }
    const bypassed = listBypassed(context, entry, usableTargets.filter(target => !unwanted.includes(target)));
    const request = createPlacementRequest(context, entry, [...unwanted, ...bypassed]);
    const coordinator = context.coordinators.find(request.service, context.now);
    if (coordinator === undefined) return placeLocally(context, entry, request, "no coordinator");
    const { now } = context;
    entry.coordinator = coordinator.router;
    entry.pendingPlacement = {
        request,
        coordinator: coordinator.router,
        sentAt: now,
        retryAt: now + placementRetryMs,
        timeoutAt: now + placementTimeoutMs,
    };
    sendPlacementRequest(context, entry, coordinator.router, coordinator.address);
}

/** Retries an unanswered placement request once; after the timeout, places the request locally if allowed. */
export function checkPendingPlacement(context: EntryContext, entry: EntryRequest): void {
    const { pendingPlacement } = entry;
    if (pendingPlacement === undefined) return;
    const { coordinator, request } = pendingPlacement;
    if (context.now >= pendingPlacement.timeoutAt) {
        if (context.coordinators.recordTimeout(coordinator, context.now))
            logEntryEvent(context, "coordinatorSuspected", { service: request.service, router: coordinator });
        placeLocally(context, entry, request, `${coordinator} did not reply within the placement timeout`);
    }
    else if (context.now >= pendingPlacement.retryAt) {
        pendingPlacement.retryAt = Infinity;
        if (!context.coordinators.tryTakeRetry(coordinator, pendingPlacement.sentAt, context.now)) return;
        const routerEntry = context.coordinators.findRouter(coordinator);
        if (routerEntry !== undefined)
            sendPlacementRequest(context, entry, routerEntry.router, routerEntry.address);
    }
}

/**
 * Extends the timeout for a late reply while the latency target can still be met; false if it cannot, or if there is no
 * coordinator. The request is not sent again to the same coordinator, which would slow one down that has just started;
 * it is sent to a newly selected one.
 */
function tryWaitForLateReply(context: EntryContext, entry: EntryRequest): boolean {
    const { pendingPlacement, request } = entry;
    const coordinator = context.coordinators.find(request.service, context.now);
    if (pendingPlacement === undefined || coordinator === undefined) return false;
    if (context.now - entry.arrivedAt >= request.latencyTargetMs * lateReplyWaitRatio) return false;
    if (coordinator.router === pendingPlacement.coordinator)
        pendingPlacement.timeoutAt = context.now + placementTimeoutMs;
    else placeRequest(context, entry);
    return true;
}

function placeLocally(
    context: EntryContext,
    entry: EntryRequest,
    request: PlacementRequest,
    reason: string,
): void {
    const pool = getOrCreatePool(context, request.service);
    const usableTargets = context.view.listUsableTargets(request.service, request.regions)
        .filter(target => hasVersion(target, request.version));
    const candidates = usableTargets.filter(target =>
        !request.excluded.includes(target.target) && isWanted(context, target) && maySendTo(context, target)
        && hasLocalRate(context, target)
    );
    const choice = pool?.model.choose(request, {
        candidates,
        now: context.now,
        maxWaitMs: computeMaxWaitMs(context.view, request.service, defaultAdmissionInput),
        loadFactor: Math.min(maxAssumedRouters, Math.max(1, context.view.listRouters().length)),
    });
    // The coordinator may only be slow. A workspace beyond its share must not evade it by local placement.
    const isShareUsed = pool?.localTokenBucket !== undefined
        && pool.reportedUsage.isShareUsed(request.workspace ?? "", context.now);
    const isPartQuarantined = context.quarantine.hasQuarantined(listSharedPartIds(request.prompt));
    const isAllowed = !isPartQuarantined && (choice === undefined || pool?.localTokenBucket === undefined
        || (!isShareUsed && pool.localTokenBucket.tryTake(choice.newTokens, context.now)));
    if (!isAllowed && !isPartQuarantined && tryWaitForLateReply(context, entry)) return;
    entry.pendingPlacement = undefined;
    logEntryEvent(context, "placedLocally", {
        ...createRequestFields(entry),
        reason,
        target: isAllowed ? choice?.target : undefined,
        targetsAgeMs: Math.round(context.view.getAgeMs("targets", context.now)),
    });
    const getRefusal = (): RefusalReason => {
        if (isPartQuarantined) return "partQuarantined";
        if (usableTargets.length === 0) return "noTarget";
        if (!usableTargets.some(target => isWanted(context, target) && hasLocalRate(context, target))) return "limited";
        return isShareUsed ? "shareUsed" : "overloaded";
    };
    const refusal = getRefusal();
    const refusedPlacement = { refusal, retryAfterMs: computeRetryAfterMs(request.timeLeftMs) } as const;
    const chosen = isAllowed && choice !== undefined ? context.view.getTarget(choice.target) : undefined;
    if (chosen !== undefined) takeLocalRate(context, chosen);
    applyPlacement(context, entry, isAllowed ? choice ?? refusedPlacement : refusedPlacement);
    // The coordinator may only be slow, and must account for this attempt.
    if (entry.attempt !== undefined) reportInFlightAttempts(context, [entry]);
}

/** Cancels the placement of a late reply; the coordinator would otherwise count its load until the attempt expires. */
function cancelLatePlacement(context: EntryContext, event: RouterMessageEvent, reply: PlacementReplyMessage): void {
    const { requestId, service, target } = reply;
    if (target === undefined || context.requests.get(requestId)?.attempt?.target === target) return;
    context.effects.push({
        type: "sendToRouter",
        router: event.from,
        address: event.address,
        message: { type: "attemptNotice", requestId, service, target, result: "cancelled", latencyMs: 0 },
    });
}

export function handleReply(context: EntryContext, event: RouterMessageEvent, reply: PlacementReplyMessage): void {
    context.quarantine.merge(reply.quarantinedParts ?? [], context.now);
    const entry = context.requests.get(reply.requestId);
    const workspace = entry?.request.workspace;
    if (workspace !== undefined && reply.usedRatio !== undefined)
        getOrCreatePool(context, reply.service)?.reportedUsage.record(workspace, reply.usedRatio, context.now);
    if (entry?.pendingPlacement === undefined || entry.pendingPlacement.coordinator !== event.from)
        return cancelLatePlacement(context, event, reply);
    entry.pendingPlacement = undefined;
    applyPlacement(context, entry, reply);
}

function applyPlacement(context: EntryContext, entry: EntryRequest, placement: Placement): void {
    const { target } = placement;
    if (target === undefined) return handleRefusal(context, entry, placement);
    const targetEntry = context.view.getTarget(target);
    // The coordinator's view of the targets may be older than this router's.
    const mayUse = targetEntry !== undefined && context.view.isUsable(target) && isWanted(context, targetEntry)
        && hasVersion(targetEntry, entry.version);
    if (!mayUse || !tryTakeColdSend(context, targetEntry)) {
        if (entry.excluded.includes(target)) return handleRefusal(context, entry, { refusal: "noTarget" });
        entry.excluded.push(target);
        // The coordinator's view of the rollout differs from this router's; its next choice would not be allowed either.
        if (targetEntry !== undefined && !context.view.isVersionAllowed(targetEntry))
            return placeLocally(context, entry, createPlacementRequest(context, entry, []), "version is not allowed");
        return placeRequest(context, entry);
    }
    startAttempt(context, entry, targetEntry, placement);
}

function tryTakeColdSend(context: EntryContext, target: TargetEntry): boolean {
    if (context.view.getColdRemainingMs(target.target, context.now) <= 0) return true;
    return context.coldRateLimiter.tryTake(target.target, computeColdLimitShare(context, target), context.now);
}

function handleRefusal(context: EntryContext, entry: EntryRequest, placement: Placement): void {
    const refusal = placement.refusal ?? "noTarget";
    logEntryEvent(context, "requestRefused", {
        ...createRequestFields(entry),
        reason: refusal,
        coordinator: entry.coordinator,
        cost: computeCost(entry.request.prompt),
        waitMs: roundOptional(placement.waitMs, 0),
        maxWaitMs: roundOptional(placement.maxWaitMs, 0),
        usedRatio: roundOptional(placement.usedRatio, 2),
        targetsAgeMs: Math.round(context.view.getAgeMs("targets", context.now)),
    });
    // A call that may have run must not be reported as not run.
    if (entry.mayHaveRun || entry.responseStarted) return failRequest(context, entry, "TARGET_BROKEN");
    failRequest(context, entry, refusalCodes[refusal], placement.retryAfterMs ?? otherRouterRetryAfterMs);
}
