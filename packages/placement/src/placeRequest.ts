/** Finds a target for a request: asks the coordinator of the pool, and decides locally if it does not answer in time. */
import { computeRetryAfter, otherRouterRetryAfterMs } from "@rhubarbwheel/routing/computeRetryAfter";
import type { TargetEntry } from "@rhubarbwheel/types/fleet";
import type { PlacementReplyMessage, PlacementRequest } from "@rhubarbwheel/types/placement";
import type { RouterMessageEvent } from "@rhubarbwheel/types/placement-events";
import { computeAdmissionWait, computePriorPrefillRate, countCost, fullClaim } from "./admission.js";
import { createLocalTokenBucket } from "./createLocalTokenBucket.js";
import { createPoolModel } from "./createPoolModel.js";
import { createRetryBudget } from "./createRetryBudget.js";
import {
    computeTimeLeft,
    describeRequest,
    type EntryContext,
    type EntryPool,
    type EntryRequest,
    failRequest,
    logEntryEvent,
    type Placement,
} from "./entryState.js";
import { lateReplyWaitRatio, placementRetryMs, placementTimeoutMs } from "./placementSettings.js";
import { reportInFlightAttempts } from "./reportInFlightAttempts.js";

/** Refusals that end a request; a router that cannot find a target now may find one soon. */
const refusalCodes = { overloaded: "OVERLOADED", shareUsed: "SHARE_USED", noTarget: "NO_TARGET" } as const;

/** Routers whose load is assumed to be like this router's own while no coordinator answers. */
const assumedPeers = 4;

export function obtainPool(context: EntryContext, service: string): EntryPool | undefined {
    const known = context.pools.get(service);
    if (known !== undefined) return known;
    const spec = context.view.getPool(service);
    if (spec === undefined) return undefined;
    const { view } = context;
    const countRouters = (): number => Math.max(1, view.listRouters().length);
    const pool: EntryPool = {
        service,
        model: createPoolModel({ spec, priorPrefillRate: computePriorPrefillRate(context.view, service) }),
        budget: createRetryBudget(() => {
            const policy = context.getRetryPolicy();
            // Each router takes its part of the reserve, so that the sum holds while routers cannot reach each other.
            return { ...policy, reserve: policy.reserve / countRouters() };
        }),
        localTokenBucket: spec.engine === undefined ? undefined : createLocalTokenBucket({
            getRate: () =>
                computePriorPrefillRate(view, service) * view.listUsableTargets(service).length / countRouters(),
            getBurstMs: () => computeAdmissionWait(view, service, fullClaim),
            random: context.random,
        }),
    };
    context.pools.set(service, pool);
    return pool;
}

/**
 * This router's own part of the rate that a cold target bears. The parts of all routers add up to the whole, so that the
 * limit holds while routers cannot reach each other.
 */
export function computeOwnColdLimit(context: EntryContext, target: TargetEntry): number {
    const perSecond = context.view.getPool(target.service)?.coldRequestsPerSecond ?? 0;
    if (perSecond === 0) return Infinity;
    const names = context.view.listRouters().map(entry => entry.router).sort();
    const limit = Math.floor(context.computeColdLimit(perSecond));
    const count = Math.max(1, names.length);
    const rank = Math.max(0, names.indexOf(context.router));
    return Math.floor(limit / count) + (rank < limit % count ? 1 : 0);
}

function maySendTo(context: EntryContext, target: TargetEntry): boolean {
    if (context.view.getColdRemainingMs(target.target, context.now) <= 0) return true;
    return context.coldSends.hasRoom(target.target, computeOwnColdLimit(context, target), context.now);
}

function describePlacementRequest(context: EntryContext, entry: EntryRequest): PlacementRequest {
    const { requestId, service, workspace, prompt, latencyTargetMs, regions } = entry.request;
    return {
        requestId,
        service,
        workspace,
        prompt,
        latencyTargetMs,
        waitedMs: context.now - entry.arrivedAt,
        timeLeftMs: computeTimeLeft(context, entry),
        regions,
        failureDomain: context.failureDomain,
        excluded: [...entry.excluded],
    };
}

function sendPlacementRequest(context: EntryContext, entry: EntryRequest, router: string, address: string): void {
    const { pendingPlacement } = entry;
    if (pendingPlacement === undefined) return;
    const message = { type: "placementAsk", request: pendingPlacement.request } as const;
    context.effects.push({ type: "sendToRouter", router, address, message });
}

/** Asks the coordinator, or decides locally if there is none. */
export function placeRequest(context: EntryContext, entry: EntryRequest): void {
    const request = describePlacementRequest(context, entry);
    const coordinator = context.coordinators.find(request.service, context.now);
    if (coordinator === undefined) return placeWithoutCoordinator(context, entry, request, "no coordinator");
    const { now } = context;
    entry.coordinator = coordinator.router;
    entry.pendingPlacement = {
        request,
        coordinator: coordinator.router,
        askedAt: now,
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
        placeWithoutCoordinator(context, entry, request, `${coordinator} is silent`);
    }
    else if (context.now >= pendingPlacement.retryAt) {
        pendingPlacement.retryAt = Infinity;
        if (!context.coordinators.tryTakeRetry(coordinator, pendingPlacement.askedAt, context.now)) return;
        const known = context.view.listRouters().find(router => router.router === coordinator);
        if (known !== undefined) sendPlacementRequest(context, entry, known.router, known.address);
    }
}

/**
 * Waits on for an answer while the latency target is within reach; false if there is nobody to wait for. A coordinator that
 * is slow because it has just started must not be asked the same again and again, but the next one may be asked.
 */
function awaitLateReply(context: EntryContext, entry: EntryRequest): boolean {
    const { pendingPlacement, request } = entry;
    const coordinator = context.coordinators.find(request.service, context.now);
    if (pendingPlacement === undefined || coordinator === undefined) return false;
    if (context.now - entry.arrivedAt >= request.latencyTargetMs * lateReplyWaitRatio) return false;
    if (coordinator.router === pendingPlacement.coordinator)
        pendingPlacement.timeoutAt = context.now + placementTimeoutMs;
    else placeRequest(context, entry);
    return true;
}

function placeWithoutCoordinator(
    context: EntryContext,
    entry: EntryRequest,
    request: PlacementRequest,
    reason: string,
): void {
    const pool = obtainPool(context, request.service);
    const usable = context.view.listUsableTargets(request.service, request.regions);
    const candidates = usable.filter(target => !request.excluded.includes(target.target) && maySendTo(context, target));
    const choice = pool?.model.choose(request, {
        candidates,
        now: context.now,
        maxWaitMs: computeAdmissionWait(context.view, request.service, fullClaim),
        loadFactor: Math.min(assumedPeers, Math.max(1, context.view.listRouters().length)),
    });
    const isAllowed = choice === undefined || pool?.localTokenBucket === undefined
        || pool.localTokenBucket.tryTake(choice.newTokens, context.now);
    if (!isAllowed && awaitLateReply(context, entry)) return;
    entry.pendingPlacement = undefined;
    logEntryEvent(context, "placedLocally", {
        ...describeRequest(entry),
        reason,
        target: isAllowed ? choice?.target : undefined,
        targetsAgeMs: Math.round(context.view.getAgeMs("targets", context.now)),
    });
    const refusal = usable.length === 0 ? "noTarget" : "overloaded";
    const refused = { refusal, retryAfterMs: computeRetryAfter(request.timeLeftMs) } as const;
    applyPlacement(context, entry, isAllowed ? choice ?? refused : refused);
    // The coordinator may only be slow: it must not count on the time that this request takes.
    if (entry.attempt !== undefined) reportInFlightAttempts(context, [entry]);
}

/** Gives back a place that came too late, or the coordinator would count on its work until reports end. */
function releaseLatePlacement(context: EntryContext, from: RouterMessageEvent, reply: PlacementReplyMessage): void {
    const { requestId, service, target } = reply;
    if (target === undefined || context.requests.get(requestId)?.attempt?.target === target) return;
    context.effects.push({
        type: "sendToRouter",
        router: from.from,
        address: from.address,
        message: { type: "attemptNotice", requestId, service, target, result: "cancelled", latencyMs: 0 },
    });
}

export function handleReply(context: EntryContext, event: RouterMessageEvent, reply: PlacementReplyMessage): void {
    const entry = context.requests.get(reply.requestId);
    if (entry?.pendingPlacement === undefined || entry.pendingPlacement.coordinator !== event.from)
        return releaseLatePlacement(context, event, reply);
    entry.pendingPlacement = undefined;
    applyPlacement(context, entry, reply);
}

function applyPlacement(context: EntryContext, entry: EntryRequest, placement: Placement): void {
    const { target } = placement;
    if (target === undefined) return refuseRequest(context, entry, placement);
    const listed = context.view.getTarget(target);
    // The coordinator's list may be older than this router's own.
    if (listed === undefined || !context.view.isUsable(target) || !takeColdSend(context, listed)) {
        if (entry.excluded.includes(target)) return refuseRequest(context, entry, { refusal: "noTarget" });
        entry.excluded.push(target);
        return placeRequest(context, entry);
    }
    startAttempt(context, entry, listed, placement);
}

function takeColdSend(context: EntryContext, target: TargetEntry): boolean {
    if (context.view.getColdRemainingMs(target.target, context.now) <= 0) return true;
    return context.coldSends.tryTake(target.target, computeOwnColdLimit(context, target), context.now);
}

function roundOptional(value: number | undefined, digits: number): number | undefined {
    return value === undefined ? undefined : Number(value.toFixed(digits));
}

function refuseRequest(context: EntryContext, entry: EntryRequest, placement: Placement): void {
    const refusal = placement.refusal ?? "noTarget";
    logEntryEvent(context, "requestRefused", {
        ...describeRequest(entry),
        reason: refusal,
        coordinator: entry.coordinator,
        cost: countCost(entry.request.prompt),
        waitMs: roundOptional(placement.waitMs, 0),
        maxWaitMs: roundOptional(placement.maxWaitMs, 0),
        usedRatio: roundOptional(placement.usedRatio, 2),
        targetsAgeMs: Math.round(context.view.getAgeMs("targets", context.now)),
    });
    // What may have run must not be reported as not run.
    if (entry.mayHaveRun || entry.responseStarted) return failRequest(context, entry, "TARGET_BROKEN");
    failRequest(context, entry, refusalCodes[refusal], placement.retryAfterMs ?? otherRouterRetryAfterMs);
}

function startAttempt(context: EntryContext, entry: EntryRequest, target: TargetEntry, placement: Placement): void {
    const { request } = entry;
    const { requestId, workspace, prompt } = request;
    const { prefixSource } = placement;
    entry.attempts += 1;
    const newTokens = placement.newTokens ?? prompt?.promptTokens ?? 0;
    entry.attempt = {
        number: entry.attempts,
        target: target.target,
        sentAt: context.now,
        newTokens,
        cancelled: false,
    };
    obtainPool(context, request.service)?.model.assign(target, {
        requestId,
        target: target.target,
        workspace,
        promptTokens: prompt?.promptTokens ?? 0,
        outputTokens: prompt?.outputTokens ?? 0,
        newTokens,
        parts: prompt?.parts,
        assignedAt: context.now,
        expiresAt: Infinity,
    });
    context.effects.push({
        type: "startAttempt",
        requestId,
        attempt: entry.attempts,
        target: target.target,
        address: target.address,
        prefixSourceAddress: prefixSource === undefined ? undefined : context.view.getTarget(prefixSource)?.address,
        workspace,
        timeLimitMs: computeTimeLeft(context, entry),
        mayReuseConnection: request.kind === "idempotent" || request.resumable,
    });
    logEntryEvent(context, "requestPlaced", {
        ...describeRequest(entry),
        target: target.target,
        attempt: entry.attempts,
        coordinator: entry.coordinator,
        waitMs: roundOptional(placement.waitMs, 0),
        cost: countCost(prompt),
        newTokens,
        prefixSource,
        placedAfterMs: Math.round(context.now - entry.arrivedAt),
        targetsAgeMs: Math.round(context.view.getAgeMs("targets", context.now)),
    });
}
