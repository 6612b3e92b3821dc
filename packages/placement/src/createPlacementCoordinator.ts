/**
 * Slice that places the requests of all routers on the targets of the pools that this router coordinates. It tracks
 * attempts from its own replies, from attempt notices and from in-flight reports, and admits a request only if its
 * queueing time is within the limit.
 */
import type { FleetView } from "@rhubarbwheel/fleet-view/createFleetView";
import { computeRetryAfterMs } from "@rhubarbwheel/routing/computeRetryAfterMs";
import type { TargetEntry } from "@rhubarbwheel/types/fleet";
import type {
    AttemptNoticeMessage,
    InFlightAttempt,
    InFlightAttemptsMessage,
    PlacementReplyMessage,
    PlacementRequest,
} from "@rhubarbwheel/types/placement";
import type {
    KeptPartsReadEvent,
    PlacementEffect,
    PlacementSlice,
    RouterMessageEvent,
} from "@rhubarbwheel/types/placement-events";
import {
    computeAttemptCost,
    computeCost,
    computeMaxWaitMs,
    computeMinReserveRatio,
    computePriorPrefillRate,
} from "./admission.js";
import { chooseCanary } from "./chooseCanary.js";
import { convertReportedAttempt } from "./convertReportedAttempt.js";
import { createColdTargetGuard } from "./createColdTargetGuard.js";
import type { ColdTargetGuardOptions } from "./createColdTargetGuard.js";
import { createFairShareTracker } from "./createFairShareTracker.js";
import type { FairShareTracker } from "./createFairShareTracker.js";
import { createLoadSpreadMeter, type LoadSpread } from "./createLoadSpreadMeter.js";
import { listSharedPartIds } from "./createPartQuarantine.js";
import type { PartQuarantine } from "./createPartQuarantine.js";
import { createPoolModel } from "./createPoolModel.js";
import type { Choice, PoolModel } from "./createPoolModel.js";
import { createRateGranter } from "./createRateGranter.js";
import { createRefusalHistory } from "./createRefusalHistory.js";
import type { CanarySelector } from "./createRolloutCoordinator.js";
import { createSharesContendedEffect } from "./createSharesContendedEffect.js";
import type { TargetNotices } from "./createTargetNotices.js";
import { hasVersion } from "./hasVersion.js";
import type { AdmittedChoice, Refusal } from "./placementDecision.js";
import { inFlightExpiryMs, inFlightReportIntervalMs, shareWindowMs } from "./placementSettings.js";

export interface PlacementCoordinatorOptions {
    readonly router: string;
    readonly view: FleetView;
    readonly quarantine: PartQuarantine;
    readonly targetNotices: TargetNotices;
    readonly computeColdLimit: ColdTargetGuardOptions["computeColdLimit"];
    /** Omitted if this router does not follow orders to roll out versions. */
    readonly canaries?: CanarySelector;
}

export interface PlacementCoordinator extends PlacementSlice {
    /** Number of attempts that were assigned to the target before `assignedBefore` and have not ended. */
    readonly countAssigned: (service: string, target: string, assignedBefore: number) => number;
    /** Spread of the requests over the usable targets of each pool that this router coordinates. */
    readonly listLoadSpreads: (now: number) => ReadonlyMap<string, LoadSpread>;
}

interface CoordinatedPool {
    readonly service: string;
    /** Expected prefill rate of one target, in tokens per millisecond. */
    readonly priorPrefillRate: number;
    readonly model: PoolModel;
    readonly fairShares: FairShareTracker;
    /** Time at which the totals of `fairShares` are logged next if a request is refused. */
    logTotalsAt: number;
}

/** Minimum interval between two log events with the totals of a pool. */
const totalsLogIntervalMs = 1_000;

const expiryIntervalMs = 250;

export function createPlacementCoordinator(opts: PlacementCoordinatorOptions): PlacementCoordinator {
    const { view, quarantine, targetNotices, canaries } = opts;
    const pools = new Map<string, CoordinatedPool>();
    const coldTargetGuard = createColdTargetGuard(opts);
    const rateGranter = createRateGranter(targetNotices);
    const loadSpreadMeter = createLoadSpreadMeter(pools, view);
    const refusalHistory = createRefusalHistory();
    let expireAt = Infinity;
    let effects: PlacementEffect[] = [];

    /** `undefined` for a pool that is not in the configuration, whose properties are unknown. */
    const getOrCreatePool = (service: string): CoordinatedPool | undefined => {
        const existing = pools.get(service);
        if (existing !== undefined) return existing;
        const spec = view.getPool(service);
        if (spec === undefined) return undefined;
        const priorPrefillRate = computePriorPrefillRate(view, service);
        const pool: CoordinatedPool = {
            service,
            priorPrefillRate,
            model: createPoolModel({ spec, priorPrefillRate }),
            fairShares: createFairShareTracker({ windowMs: shareWindowMs }),
            logTotalsAt: -Infinity,
        };
        pools.set(service, pool);
        // The prefix caches of engines may hold parts that a previous coordinator placed.
        if (spec.engine !== undefined) {
            for (const { target, address } of view.listUsableTargets(service))
                effects.push({ type: "readKeptParts", service, target, address });
        }
        return pool;
    };

    const logTotals = (pool: CoordinatedPool, now: number): void => {
        if (now < pool.logTotalsAt) return;
        pool.logTotalsAt = now + totalsLogIntervalMs;
        effects.push(createSharesContendedEffect(pool.service, pool.fairShares.getTotals(now)));
    };

    const findCanary = (
        pool: CoordinatedPool,
        request: PlacementRequest,
        maxWaitMs: number,
        now: number,
    ): Choice | undefined => {
        // A stream that goes on has been counted when it began.
        if (canaries === undefined || request.version !== undefined) return undefined;
        const cost = computeCost(request.prompt);
        const createFilter = (targets: readonly TargetEntry[]) => {
            const isGranted = rateGranter.createFilter(pool.service, targets, cost, now);
            return (entry: TargetEntry): boolean =>
                !request.excluded.includes(entry.target) && !targetNotices.isLeaving(entry)
                && coldTargetGuard.maySendTo(entry, now) && isGranted(entry);
        };
        return chooseCanary(request, { canaries, model: pool.model, createFilter, maxWaitMs, now });
    };

    const choosePlacement = (
        pool: CoordinatedPool,
        request: PlacementRequest,
        now: number,
    ): AdmittedChoice | Refusal => {
        const listedTargets = view.listUsableTargets(pool.service, request.regions);
        const usableTargets = listedTargets.filter(target => hasVersion(target, request.version));
        const wanted = usableTargets.filter(entry =>
            !request.excluded.includes(entry.target) && !targetNotices.isLeaving(entry)
        );
        if (usableTargets.length === 0) return { refusal: listedTargets.length === 0 ? "noTarget" : "versionGone" };
        const cost = computeCost(request.prompt);
        const isGranted = rateGranter.createFilter(pool.service, wanted, cost, now);
        // A transfer is no request, so a target that has taken as many as it accepts is a source.
        const prefixSources = wanted.filter(entry => coldTargetGuard.maySendTo(entry, now));
        const candidates = prefixSources.filter(isGranted);
        const { workspace } = request;
        const usedRatio = workspace === undefined ? 0 : pool.fairShares.getUsedRatio(workspace, now);
        if (workspace !== undefined) pool.fairShares.recordDemand(workspace, cost, now);
        if (wanted.length > 0 && !wanted.some(isGranted)) {
            refusalHistory.recordRefusal(request, now);
            const retryAfterMs = rateGranter.computeReturnMs(pool.service, wanted, request.timeLeftMs, now);
            return { refusal: "limited", retryAfterMs, usedRatio };
        }
        const isLateRetry = (refusalHistory.getWaitedMs(request, now) ?? 0) > request.latencyTargetMs;
        const prefillMs = (request.prompt?.promptTokens ?? 0) / pool.priorPrefillRate;
        // A stream that goes on was admitted when it began, and its workspace was charged for it.
        const usage = request.version === undefined ? { usedRatio, isLateRetry } : { usedRatio: 0, isLateRetry: false };
        const maxWaitMs = computeMaxWaitMs(view, pool.service, { ...usage, prefillMs });
        const limits = { maxWaitMs, minReserveRatio: computeMinReserveRatio(usage.usedRatio) };
        const usualChoice = pool.model.choose(request, { candidates, prefixSources, now, ...limits });
        // Requests that cannot be placed must not add to the number of canaries.
        const choice = usualChoice === undefined
            ? undefined
            : findCanary(pool, request, maxWaitMs, now) ?? usualChoice;
        if (choice === undefined) {
            refusalHistory.recordRefusal(request, now);
            logTotals(pool, now);
            const waitMs = pool.model.findMinWaitMs(request.prompt, candidates, now);
            return { refusal: usedRatio > 1 ? "shareUsed" : "overloaded", waitMs, maxWaitMs, usedRatio };
        }
        refusalHistory.remove(request);
        if (workspace !== undefined) pool.fairShares.recordAdmitted(workspace, cost, now);
        return { ...choice, usedRatio };
    };

    const assign = (pool: CoordinatedPool, request: PlacementRequest, choice: Choice, now: number): void => {
        const entry = view.getTarget(choice.target);
        if (entry === undefined) return;
        effects.push(...coldTargetGuard.recordSend(entry, now));
        rateGranter.take(entry, now);
        canaries?.recordPlacement(request, entry, choice, now);
        pool.model.assign(entry, {
            requestId: request.requestId,
            target: choice.target,
            workspace: request.workspace,
            promptTokens: request.prompt?.promptTokens ?? 0,
            outputTokens: request.prompt?.outputTokens ?? 0,
            expectedOutputTokens: request.prompt?.expectedOutputTokens,
            deadlineAt: now + request.timeLeftMs,
            eventCount: 0,
            newTokens: choice.newTokens,
            parts: request.prompt?.parts,
            assignedAt: now,
            expiresAt: now + inFlightExpiryMs,
        });
    };

    const sendReply = (event: RouterMessageEvent, message: Omit<PlacementReplyMessage, "type">): void => {
        const { from, address } = event;
        effects.push({ type: "sendToRouter", router: from, address, message: { type: "placementReply", ...message } });
    };

    const handlePlacementRequest = (event: RouterMessageEvent, request: PlacementRequest): void => {
        const { requestId, service } = request;
        const pool = getOrCreatePool(service);
        const retryAfterMs = computeRetryAfterMs(request.timeLeftMs);
        if (pool === undefined) return sendReply(event, { requestId, service, refusal: "noTarget", retryAfterMs });
        const assigned = pool.model.getAssignment(requestId);
        // A retried placement request gets the same target.
        if (assigned !== undefined && !request.excluded.includes(assigned.target)) {
            const { target, newTokens } = assigned;
            return sendReply(event, { requestId, service, target, newTokens, waitMs: 0 });
        }
        const partIds = listSharedPartIds(request.prompt);
        quarantine.merge(request.quarantinedParts ?? [], event.now);
        const placement: AdmittedChoice | Refusal = quarantine.mayPlace(partIds, event.now)
            ? choosePlacement(pool, quarantine.excludeProbedTargets(request, event.now), event.now)
            : { refusal: "partQuarantined" };
        if (!("refusal" in placement)) {
            assign(pool, request, placement, event.now);
            quarantine.recordPlacement(partIds, placement.target, event.now);
        }
        const states = quarantine.list(partIds, event.now);
        sendReply(event, {
            requestId,
            service,
            ...placement,
            retryAfterMs: "refusal" in placement ? placement.retryAfterMs ?? retryAfterMs : undefined,
            quarantinedParts: states.length === 0 ? undefined : states,
        });
    };

    const handleAttemptNotice = (notice: AttemptNoticeMessage, now: number): void => {
        const pool = getOrCreatePool(notice.service);
        const entry = view.getTarget(notice.target);
        const assignment = pool?.model.getAssignment(notice.requestId);
        // Before the attempt ends here: it was in flight when the target reported its load.
        if (notice.load !== undefined && entry?.service === notice.service) {
            // The reply to the placement request took about as long as the notice.
            const roundTripMs = assignment === undefined ? 0 : now - assignment.assignedAt - notice.latencyMs;
            pool?.model.recordLoad(entry, notice.load, now, Math.max(0, roundTripMs / 2));
        }
        if (pool === undefined || assignment?.target !== notice.target) return;
        const { requestId, result, latencyMs } = notice;
        if (result === undefined) return pool.model.start(requestId, now);
        const isUnused = result === "cancelled" && latencyMs === 0;
        if (isUnused && assignment.workspace !== undefined)
            pool.fairShares.withdraw(assignment.workspace, computeAttemptCost(assignment), assignment.assignedAt, now);
        pool.model.end(requestId, result, latencyMs, now);
    };

    const addReportedAttempt = (pool: CoordinatedPool, attempt: InFlightAttempt, now: number): void => {
        const { requestId, target, ageMs, workspace } = attempt;
        const entry = view.getTarget(target);
        if (entry === undefined) return;
        const isKnown = pool.model.getAssignment(requestId) !== undefined;
        const isCharged = isKnown || ageMs > shareWindowMs;
        pool.model.assign(entry, convertReportedAttempt(attempt, now));
        // Older ones have used capacity that is available again.
        if (!isKnown && ageMs < inFlightReportIntervalMs) {
            effects.push(...coldTargetGuard.recordSend(entry, now));
            rateGranter.take(entry, now);
        }
        if (isCharged || workspace === undefined) return;
        // Its entry router placed it locally, or another router was the coordinator.
        const cost = computeAttemptCost(attempt);
        pool.fairShares.recordDemand(workspace, cost, now);
        pool.fairShares.recordAdmitted(workspace, cost, now);
    };

    const handleInFlightReport = (message: InFlightAttemptsMessage, now: number): void => {
        const pool = getOrCreatePool(message.service);
        if (pool === undefined) return;
        for (const attempt of message.holdings) {
            if (pool.model.getAssignment(attempt.requestId)?.target !== attempt.target)
                addReportedAttempt(pool, attempt, now);
            pool.model.recordProgress(attempt.requestId, attempt.eventCount, now);
            pool.model.renew(attempt.requestId, now);
        }
    };

    const handleMessage = (event: RouterMessageEvent): void => {
        const { message, now } = event;
        if (message.type === "placementAsk") handlePlacementRequest(event, message.request);
        else if (message.type === "attemptNotice") handleAttemptNotice(message, now);
        else if (message.type === "holdings") handleInFlightReport(message, now);
        if (expireAt === Infinity) expireAt = now + expiryIntervalMs;
    };

    const addCachedParts = ({ service, target, parts }: KeptPartsReadEvent): void => {
        const entry = view.getTarget(target);
        if (entry !== undefined) pools.get(service)?.model.addCachedParts(entry, parts);
    };

    const expire = (now: number): void => {
        for (const { model } of pools.values()) {
            model.expire(now);
            model.removeUnlisted(target => view.getTarget(target) !== undefined);
        }
        effects.push(...loadSpreadMeter.check(loadSpreadMeter.measure(now), now));
        expireAt = now + expiryIntervalMs;
    };

    return {
        reduce: event => {
            effects = [];
            if (event.type === "routerMessage") handleMessage(event);
            else if (event.type === "keptPartsRead") addCachedParts(event);
            else if (event.type === "targetHealthRead") effects.push(...coldTargetGuard.handleHealthRead(event));
            if (event.now >= expireAt) expire(event.now);
            return effects;
        },
        getWakeAt: () => expireAt,
        countAssigned: (service, target, assignedBefore) =>
            pools.get(service)?.model.countAssigned(target, assignedBefore) ?? 0,
        listLoadSpreads: loadSpreadMeter.measure,
    };
}
