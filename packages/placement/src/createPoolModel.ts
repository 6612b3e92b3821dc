/** What a router knows of the work at all targets of one service, and the choice among them. */
import { rankByRendezvous } from "@rhubarbwheel/membership/chooseByRendezvous";
import type { PoolSpec, TargetEntry } from "@rhubarbwheel/types/fleet";
import type { PlacedAttemptResult, PlacementRequest, PromptPart, PromptSize } from "@rhubarbwheel/types/placement";
import { createTargetModel } from "./createTargetModel.js";
import type { Assignment, TargetModel } from "./createTargetModel.js";
import { copySetupMs, crossDomainMs, inFlightExpiryMs, prefillWeight } from "./placementSettings.js";

export interface PoolModelOptions {
    readonly spec: PoolSpec;
    /** Reading rate of one engine that is assumed at first, in tokens per millisecond. */
    readonly priorPrefillRate: number;
}

export interface Choice {
    readonly target: string;
    readonly waitMs: number;
    /** Prompt tokens that the target has to read. */
    readonly newTokens: number;
    /** Target from which parts of the prompt are copied. */
    readonly prefixSource?: string;
}

export interface ChoiceOptions {
    readonly candidates: readonly TargetEntry[];
    readonly now: number;
    /** Longest time that the request may wait at the target. */
    readonly maxWaitMs: number;
    /** Multiplies the work that this router knows of, if it knows of a part only. */
    readonly loadFactor?: number;
}

/** What a target does before the first answer to a request. */
interface Preparation {
    /** Time for reading what the target does not keep, or for copying it if that is shorter. */
    readonly ms: number;
    readonly newTokens: number;
    readonly prefixSource?: string;
}

interface PrefixSource {
    readonly target: string;
    readonly keptTokens: number;
}

/** Milliseconds of waiting that a target is worth less for each whole failure ratio above that of its pool. */
const failurePenaltyMs = 2_000;

/** Failure ratio above the pool's that is taken for chance. */
const toleratedFailureRatio = 0.1;

/** Multiple of the least latency of a pool's targets that is taken for chance. */
const toleratedSlowness = 2;

/** Advantage of the target that is first by rendezvous hashing, so that routers agree without having talked. */
const homeAdvantageMs = 15;

/** The last part that several requests are likely to share: the one before the request's own. */
function getSharedPart(parts: readonly PromptPart[]): string | undefined {
    return (parts.at(-2) ?? parts.at(-1))?.id;
}

export function createPoolModel(opts: PoolModelOptions) {
    const { spec, priorPrefillRate } = opts;
    const models = new Map<string, { readonly model: TargetModel; readonly startedAt?: number; }>();
    const targetOfRequest = new Map<string, string>();

    const obtainModel = (entry: TargetEntry): TargetModel => {
        const known = models.get(entry.target);
        if (known !== undefined && known.startedAt === entry.startedAtUnixMs) return known.model;
        // A target that has started again holds nothing of before.
        const model = createTargetModel({
            slots: Math.max(1, entry.slots),
            engine: spec.engine,
            priorPrefillRate,
        });
        models.set(entry.target, { model, startedAt: entry.startedAtUnixMs });
        return model;
    };

    const getModel = (requestId: string): TargetModel | undefined => {
        const target = targetOfRequest.get(requestId);
        return target === undefined ? undefined : models.get(target)?.model;
    };

    const end = (requestId: string, result: PlacedAttemptResult, latencyMs: number, now: number): void => {
        getModel(requestId)?.end(requestId, result, latencyMs, now);
        targetOfRequest.delete(requestId);
    };

    const assign = (entry: TargetEntry, assignment: Assignment): void => {
        const before = targetOfRequest.get(assignment.requestId);
        if (before === entry.target) return;
        if (before !== undefined) end(assignment.requestId, "cancelled", 0, assignment.assignedAt);
        targetOfRequest.set(assignment.requestId, entry.target);
        obtainModel(entry).assign(assignment);
    };

    const findLeastServiceMs = (candidates: readonly TargetEntry[], now: number): number =>
        Math.min(...candidates.map(entry => obtainModel(entry).getServiceMs(now)));

    const computeMeanFailureRatio = (candidates: readonly TargetEntry[], now: number): number => {
        let sum = 0;
        for (const entry of candidates) sum += obtainModel(entry).getFailureRatio(now);
        return sum / Math.max(1, candidates.length);
    };

    /** Finds the target that keeps most of the prompt; one that may stand still cannot hand it on. */
    const findPrefixSource = (request: PlacementRequest, opts: ChoiceOptions): PrefixSource | undefined => {
        const { prompt } = request;
        if (prompt === undefined || spec.engine?.prefixTransfer === undefined) return undefined;
        let best: PrefixSource | undefined;
        for (const entry of opts.candidates) {
            const model = obtainModel(entry);
            const keptTokens = model.countCopyableTokens(prompt);
            if (keptTokens <= (best?.keptTokens ?? 0) || model.isStalled(opts.now)) continue;
            best = { target: entry.target, keptTokens };
        }
        return best;
    };

    /** What a target has to read, and what it copies from `source`. */
    const prepare = (
        model: TargetModel,
        prompt: PromptSize,
        source: PrefixSource | undefined,
        now: number,
    ): Preparation => {
        const keptTokens = model.countCachedTokens(prompt);
        const newTokens = prompt.promptTokens - keptTokens;
        const readAll = { ms: model.estimatePrefillMs(newTokens, now), newTokens };
        const copiedTokens = (source?.keptTokens ?? 0) - keptTokens;
        const copies = spec.engine?.prefixTransfer;
        if (source === undefined || copies === undefined || copiedTokens <= 0) return readAll;
        const copyMs = copySetupMs + copiedTokens * copies.kvBytesPerToken / copies.linkBytesPerMs;
        const savedMs = model.estimatePrefillMs(copiedTokens, now);
        // Reading keeps all requests at the engine waiting, a copy only this one. But a copy takes memory from other parts,
        // so the target that keeps them is worth as much as if short parts were read.
        if (copyMs >= savedMs * prefillWeight) return readAll;
        return {
            ms: readAll.ms - savedMs + Math.min(copyMs, savedMs),
            newTokens: newTokens - copiedTokens,
            prefixSource: source.target,
        };
    };

    /** Cost of a plain call: the part of the places that are taken, and the time by which the target is slow. */
    const rateService = (model: TargetModel, leastServiceMs: number, now: number): number => {
        const slowMs = model.getServiceMs(now) - toleratedSlowness * leastServiceMs;
        return Math.max(0, slowMs) + model.getLoadRatio() * leastServiceMs;
    };

    const choose = (request: PlacementRequest, choiceOpts: ChoiceOptions): Choice | undefined => {
        const { candidates, now, maxWaitMs, loadFactor = 1 } = choiceOpts;
        const { prompt } = request;
        const meanFailureRatio = computeMeanFailureRatio(candidates, now);
        const source = findPrefixSource(request, choiceOpts);
        const shared = getSharedPart(prompt?.parts ?? []);
        const home = shared === undefined
            ? undefined
            : rankByRendezvous(shared, candidates.map(candidate => candidate.target))[0];
        const leastServiceMs = findLeastServiceMs(candidates, now);
        let best: Choice | undefined;
        let leastCost = Infinity;
        for (const entry of candidates) {
            const model = obtainModel(entry);
            const waitMs = model.estimateWaitMs(now) * loadFactor;
            if (waitMs > maxWaitMs || !model.hasRoom(prompt) || model.isUnreachable(now)) continue;
            const preparation: Preparation = prompt === undefined
                ? { ms: rateService(model, leastServiceMs, now), newTokens: 0 }
                : prepare(model, prompt, source, now);
            const weight = prompt === undefined ? 1 : prefillWeight;
            const failures = model.getFailureRatio(now) - meanFailureRatio - toleratedFailureRatio;
            const cost = waitMs + weight * preparation.ms
                + Math.max(0, failures) * failurePenaltyMs
                + (entry.failureDomain === request.failureDomain ? 0 : crossDomainMs)
                - (entry.target === home ? homeAdvantageMs : 0);
            if (cost >= leastCost) continue;
            leastCost = cost;
            const { newTokens, prefixSource } = preparation;
            best = { target: entry.target, waitMs, newTokens, prefixSource };
        }
        return best;
    };

    return {
        assign,
        choose,
        /** Shortest time until a request would begin at a candidate that can be reached and has room; `undefined` if none. */
        findLeastWaitMs: (
            prompt: PromptSize | undefined,
            candidates: readonly TargetEntry[],
            now: number,
        ): number | undefined => {
            let least: number | undefined;
            for (const entry of candidates) {
                const model = obtainModel(entry);
                if (model.isUnreachable(now) || !model.hasRoom(prompt)) continue;
                least = Math.min(least ?? Infinity, model.estimateWaitMs(now));
            }
            return least;
        },
        end,
        start: (requestId: string, now: number) => getModel(requestId)?.start(requestId, now),
        /** Adds prompt parts that a target says it keeps. */
        addCachedParts: (entry: TargetEntry, parts: readonly PromptPart[]) => obtainModel(entry).addCachedParts(parts),
        getAssignment: (requestId: string) => getModel(requestId)?.get(requestId),
        /** Keeps an attempt that its router still reports. */
        keep: (requestId: string, now: number) => {
            const assignment = getModel(requestId)?.get(requestId);
            if (assignment !== undefined) assignment.expiresAt = now + inFlightExpiryMs;
        },
        /** Forgets attempts that no report has mentioned for too long. */
        expire: (now: number) => {
            for (const { model } of models.values()) {
                for (const assignment of model.list())
                    if (assignment.expiresAt <= now) end(assignment.requestId, "cancelled", 0, now);
            }
        },
        /** Forgets targets that are neither listed nor at work. */
        dropUnlisted: (listed: (target: string) => boolean) => {
            for (const [target, { model }] of models)
                if (!listed(target) && model.count() === 0) models.delete(target);
        },
    };
}

export type PoolModel = ReturnType<typeof createPoolModel>;
