/** Model of the load of all targets of one service, and the choice of a target for a request. */
import { createRendezvousChooser } from "@rhubarbwheel/membership/createRendezvousChooser";
import type { PoolSpec, TargetEntry } from "@rhubarbwheel/types/fleet";
import type {
    PlacedAttemptResult,
    PlacementRequest,
    PromptPart,
    PromptSize,
    ReportedLoad,
} from "@rhubarbwheel/types/placement";
import type { Assignment } from "./assignment.js";
import {
    type ChoiceRule,
    computeFailureCostMs,
    estimateCallCostMs,
    estimatePromptCostMs,
    evenLoadRule,
    preferredTargetBonusMs,
    unreportedLoadRule,
} from "./computeTargetCost.js";
import { computeLoadSpread, type LoadSpread } from "./createLoadSpreadMeter.js";
import { createQuietPaceEstimator } from "./createQuietPaceEstimator.js";
import { createTargetModel } from "./createTargetModel.js";
import type { TargetModel } from "./createTargetModel.js";
import {
    crossDomainCostMs,
    defaultMinReserveRatio,
    inFlightExpiryMs,
    prefillWeight,
    transferSetupMs,
} from "./placementSettings.js";

export interface PoolModelOptions {
    readonly spec: PoolSpec;
    /** Assumed prefill rate of one engine without observations, in tokens per millisecond. */
    readonly priorPrefillRate: number;
    /** Rule for comparisons; `evenLoadRule` if omitted. */
    readonly rule?: ChoiceRule;
}

export interface Choice {
    readonly target: string;
    readonly waitMs: number;
    /** Prompt tokens that need prefill at the target. */
    readonly newTokens: number;
    /** Requests in progress at the target. */
    readonly runningRequests: number;
    /** Target from which cached parts of the prompt are transferred. */
    readonly prefixSource?: string;
}

export interface ChoiceOptions {
    readonly candidates: readonly TargetEntry[];
    /** Targets from which cached parts may be transferred; the candidates if omitted. */
    readonly prefixSources?: readonly TargetEntry[];
    readonly now: number;
    /** Maximum queueing time of the request at the target. */
    readonly maxWaitMs: number;
    /** Minimum reserve of the responses in progress at the target; that of a workspace which has used nothing if omitted. */
    readonly minReserveRatio?: number;
    /** Multiplier of the estimated queueing time, if this router knows only a part of the load. */
    readonly loadFactor?: number;
}

/** Estimated work of a target before its first response byte. */
interface PrefillEstimate {
    /** Time for the prefill of uncached tokens and the transfer of cached ones. */
    readonly ms: number;
    readonly newTokens: number;
    readonly prefixSource?: string;
}

interface PrefixSource {
    readonly target: string;
    readonly transferableTokens: number;
}

/** Difference of costs that is only due to rounding. */
const tieMs = 0.001;

/** Id of the last part that other requests are likely to share: the one before the request's own part. */
function getSharedPartId(parts: readonly PromptPart[]): string | undefined {
    return (parts.at(-2) ?? parts.at(-1))?.id;
}

export function createPoolModel(opts: PoolModelOptions) {
    const { spec, priorPrefillRate, rule = evenLoadRule } = opts;
    const models = new Map<string, { readonly model: TargetModel; readonly startedAt?: number; }>();
    const targetByRequest = new Map<string, string>();
    const rendezvous = createRendezvousChooser();
    const quietPace = createQuietPaceEstimator();
    let lastAssignment = 0;
    /** Whether a target has reported the pace of its host. Other pools keep the rule that they had. */
    let hasPace = false;

    const getRule = (): ChoiceRule => rule.usesReports && !hasPace ? unreportedLoadRule : rule;

    const getOrCreateModel = (entry: TargetEntry): TargetModel => {
        const existing = models.get(entry.target);
        if (existing !== undefined && existing.startedAt === entry.startedAtUnixMs) return existing.model;
        // A restarted target has lost its requests and its prefix cache.
        const model = createTargetModel({
            slots: Math.max(1, entry.slots),
            engine: spec.engine,
            priorPrefillRate,
            quietPace,
            getNextAssignment: () => getRule().breaksTies ? ++lastAssignment : 0,
        });
        models.set(entry.target, { model, startedAt: entry.startedAtUnixMs });
        return model;
    };

    const getModel = (requestId: string): TargetModel | undefined => {
        const target = targetByRequest.get(requestId);
        return target === undefined ? undefined : models.get(target)?.model;
    };

    const end = (requestId: string, result: PlacedAttemptResult, latencyMs: number, now: number): void => {
        getModel(requestId)?.end(requestId, result, latencyMs, now);
        targetByRequest.delete(requestId);
    };

    const assign = (entry: TargetEntry, assignment: Assignment): void => {
        const previous = targetByRequest.get(assignment.requestId);
        if (previous === entry.target) return;
        if (previous !== undefined) end(assignment.requestId, "cancelled", 0, assignment.assignedAt);
        targetByRequest.set(assignment.requestId, entry.target);
        getOrCreateModel(entry).assign(assignment);
    };

    const findMinServiceTimeMs = (modelsOfCandidates: readonly TargetModel[], now: number): number => {
        let minMs = Infinity;
        for (const model of modelsOfCandidates) minMs = Math.min(minMs, model.getServiceTimeMs(now));
        return minMs;
    };

    const computeMeanFailureRatio = (modelsOfCandidates: readonly TargetModel[], now: number): number => {
        let sum = 0;
        for (const model of modelsOfCandidates) sum += model.getFailureRatio(now);
        return sum / Math.max(1, modelsOfCandidates.length);
    };

    /** Finds the target with the longest prefix of the prompt to transfer; stalled targets cannot transfer it. */
    const findPrefixSource = (request: PlacementRequest, choiceOpts: ChoiceOptions): PrefixSource | undefined => {
        const { prompt } = request;
        if (prompt === undefined || spec.engine?.prefixTransfer === undefined) return undefined;
        let best: PrefixSource | undefined;
        for (const entry of choiceOpts.prefixSources ?? choiceOpts.candidates) {
            const model = getOrCreateModel(entry);
            const transferableTokens = model.countTransferableTokens(prompt);
            if (transferableTokens <= (best?.transferableTokens ?? 0) || model.isStalled(choiceOpts.now)) continue;
            best = { target: entry.target, transferableTokens };
        }
        return best;
    };

    /** Estimates the prefill at a target, with a transfer from `source` if that is better. */
    const estimatePrefill = (
        model: TargetModel,
        prompt: PromptSize,
        source: PrefixSource | undefined,
        now: number,
    ): PrefillEstimate => {
        const cachedTokens = model.countCachedTokens(prompt);
        const newTokens = prompt.promptTokens - cachedTokens;
        const fullPrefill = { ms: model.estimatePrefillMs(newTokens, now), newTokens };
        const transferredTokens = (source?.transferableTokens ?? 0) - cachedTokens;
        const transfer = spec.engine?.prefixTransfer;
        if (source === undefined || transfer === undefined || transferredTokens <= 0) return fullPrefill;
        const transferMs = transferSetupMs + transferredTokens * transfer.kvBytesPerToken / transfer.linkBytesPerMs;
        const savedMs = model.estimatePrefillMs(transferredTokens, now);
        // Prefill delays all requests at the engine, a transfer only this one. But a transfer also evicts other cached
        // parts, so its time (at most that of the prefill it saves) has the weight of prefill: targets with the parts
        // cached stay preferred.
        if (transferMs >= savedMs * prefillWeight) return fullPrefill;
        return {
            ms: fullPrefill.ms - savedMs + Math.min(transferMs, savedMs),
            newTokens: newTokens - transferredTokens,
            prefixSource: source.target,
        };
    };

    const choose = (request: PlacementRequest, choiceOpts: ChoiceOptions): Choice | undefined => {
        const { candidates, now, maxWaitMs, minReserveRatio = defaultMinReserveRatio, loadFactor = 1 } = choiceOpts;
        const { prompt } = request;
        const candidateModels = candidates.map(getOrCreateModel);
        const meanFailureRatio = computeMeanFailureRatio(candidateModels, now);
        const source = findPrefixSource(request, choiceOpts);
        const sharedPartId = getSharedPartId(prompt?.parts ?? []);
        const preferredTarget = sharedPartId === undefined
            ? undefined
            : rendezvous.choose(sharedPartId, candidates.map(candidate => candidate.target));
        const minServiceTimeMs = prompt === undefined ? findMinServiceTimeMs(candidateModels, now) : 0;
        let best: Choice | undefined;
        let bestModel: TargetModel | undefined;
        let minCost = Infinity;
        for (const [index, entry] of candidates.entries()) {
            const model = candidateModels[index]!;
            if (model.isUnreachable(now) || model.getReserveRatio(now) < minReserveRatio) continue;
            const waitMs = model.estimateWaitMs(now) * loadFactor;
            if (waitMs > maxWaitMs || !model.hasCapacity(prompt)) continue;
            const prefill = prompt === undefined ? undefined : estimatePrefill(model, prompt, source, now);
            const workMs = prefill === undefined
                ? estimateCallCostMs({ model, slots: Math.max(1, entry.slots), minServiceTimeMs, now })
                : estimatePromptCostMs({ model, prefillMs: prefill.ms, rule: getRule(), now });
            const cost = waitMs + workMs
                + computeFailureCostMs(model.getFailureRatio(now), meanFailureRatio)
                + (entry.failureDomain === request.failureDomain ? 0 : crossDomainCostMs)
                - (entry.target === preferredTarget ? preferredTargetBonusMs : 0);
            // Of targets with the same cost, the one whose last request is the longest ago.
            const isBetter = cost < minCost - tieMs
                || (cost <= minCost + tieMs && model.getLastAssignment() < bestModel!.getLastAssignment());
            if (!isBetter) continue;
            minCost = Math.min(minCost, cost);
            bestModel = model;
            best = {
                target: entry.target,
                waitMs,
                newTokens: prefill?.newTokens ?? 0,
                runningRequests: model.count(),
                prefixSource: prefill?.prefixSource,
            };
        }
        return best;
    };

    return {
        assign,
        choose,
        /** Shortest queueing time at any reachable candidate with capacity; `undefined` if there is none. */
        findMinWaitMs: (
            prompt: PromptSize | undefined,
            candidates: readonly TargetEntry[],
            now: number,
        ): number | undefined => {
            let minWaitMs: number | undefined;
            for (const entry of candidates) {
                const model = getOrCreateModel(entry);
                if (model.isUnreachable(now) || !model.hasCapacity(prompt)) continue;
                minWaitMs = Math.min(minWaitMs ?? Infinity, model.estimateWaitMs(now));
            }
            return minWaitMs;
        },
        end,
        start: (requestId: string, now: number) => getModel(requestId)?.start(requestId, now),
        /** Takes the number of events that the response to a request has. */
        recordProgress: (requestId: string, eventCount: number, now: number) =>
            getModel(requestId)?.recordProgress(requestId, eventCount, now),
        /** Takes the load that a target reported in a response. */
        recordLoad: (entry: TargetEntry, load: ReportedLoad, now: number, noticeLagMs: number) => {
            if (!rule.usesReports || load.paceRatio === undefined) return;
            hasPace = true;
            getOrCreateModel(entry).recordLoad(load, now, noticeLagMs);
        },
        /** Spread of the requests over these targets; `undefined` if there are none. */
        getLoadSpread: (entries: readonly TargetEntry[], now: number): LoadSpread | undefined =>
            computeLoadSpread(entries.map(entry => {
                const model = getOrCreateModel(entry);
                return {
                    target: entry.target,
                    requests: model.estimateRequests(now),
                    paceRatio: model.getPaceRatio(now),
                };
            })),
        /** Number of attempts that were assigned to the target before `assignedBefore` and have not ended. */
        countAssigned: (target: string, assignedBefore: number): number => {
            let count = 0;
            for (const { assignedAt } of models.get(target)?.model.list() ?? [])
                if (assignedAt < assignedBefore) count += 1;
            return count;
        },
        /** Adds prompt parts that a target reports as cached. */
        addCachedParts: (entry: TargetEntry, parts: readonly PromptPart[]) =>
            getOrCreateModel(entry).addCachedParts(parts),
        getAssignment: (requestId: string) => getModel(requestId)?.get(requestId),
        /** Extends the expiry of an attempt that its router still reports. */
        renew: (requestId: string, now: number) => {
            const assignment = getModel(requestId)?.get(requestId);
            if (assignment !== undefined) assignment.expiresAt = now + inFlightExpiryMs;
        },
        /** Removes attempts that no report has mentioned within the expiry time. */
        expire: (now: number) => {
            for (const { model } of models.values()) {
                for (const assignment of model.list())
                    if (assignment.expiresAt <= now) end(assignment.requestId, "cancelled", 0, now);
            }
        },
        /** Removes targets that are no longer registered and have no attempts in flight. */
        removeUnlisted: (isListed: (target: string) => boolean) => {
            for (const [target, { model }] of models)
                if (!isListed(target) && model.count() === 0) models.delete(target);
        },
    };
}

export type PoolModel = ReturnType<typeof createPoolModel>;
