/** What a router knows of the work at one target, and how long another request would wait there. */
import type { EngineSpec } from "@rhubarbwheel/types/fleet";
import type { PlacedAttemptResult, PromptPart, PromptSize } from "@rhubarbwheel/types/placement";
import { createPrefillRateEstimator } from "./createPrefillRateEstimator.js";
import { createPrefixCacheModel } from "./createPrefixCacheModel.js";
import { batchRatio, firstEventMs, generatedRatio, memoryRatio, priorServiceMs } from "./placementSettings.js";

/** A request that was sent to a target and has not ended. */
export interface Assignment {
    readonly requestId: string;
    readonly target: string;
    readonly workspace?: string;
    readonly promptTokens: number;
    readonly outputTokens: number;
    /** Prompt tokens that the target has to read. */
    readonly newTokens: number;
    readonly assignedAt: number;
    /** Parts of the prompt, if this router knows them. */
    readonly parts?: readonly PromptPart[];
    startedAt?: number;
    /** Time after which the assignment is forgotten unless a report mentions it. */
    expiresAt: number;
}

export interface TargetModelOptions {
    /** Requests that run at once. */
    readonly slots: number;
    readonly engine?: EngineSpec;
    /** Reading rate that is assumed at first, in tokens per millisecond. */
    readonly priorPrefillRate: number;
}

export interface TargetModel {
    readonly assign: (assignment: Assignment) => void;
    readonly start: (requestId: string, now: number) => void;
    readonly end: (requestId: string, result: PlacedAttemptResult, latencyMs: number, now: number) => void;
    /** Adds prompt parts that the target says it keeps. */
    readonly addCachedParts: (parts: readonly PromptPart[]) => void;
    readonly get: (requestId: string) => Assignment | undefined;
    readonly list: () => Iterable<Assignment>;
    readonly count: () => number;
    /** Part of the places that are taken. */
    readonly getLoadRatio: () => number;
    /** Time until a request that is sent now begins to run. */
    readonly estimateWaitMs: (now: number) => number;
    /** Time that a plain call takes. */
    readonly getServiceMs: (now: number) => number;
    /** Time for reading tokens of a prompt. */
    readonly estimatePrefillMs: (tokens: number, now: number) => number;
    /** Tokens at the start of the prompt that need not be read again. */
    readonly countCachedTokens: (prompt: PromptSize) => number;
    /** Tokens at the start of the prompt that another target can copy from here. */
    readonly countCopyableTokens: (prompt: PromptSize) => number;
    /** Whether calls cannot reach the target, as far as the last one has shown. */
    readonly isUnreachable: (now: number) => boolean;
    /** Whether an answer is overdue, so that the target may stand still. */
    readonly isStalled: (now: number) => boolean;
    readonly hasRoom: (prompt: PromptSize | undefined) => boolean;
    /** Part of the recent attempts that failed, 0 to 1; it fades with time. */
    readonly getFailureRatio: (now: number) => number;
}

/** Weight of a new latency in the moving average. */
const latencyWeight = 0.15;

/** Time in which the remembered latency of an unused target fades to a third. */
const latencyFadeMs = 5_000;

/** Weight of a new result in the moving average of failures. */
const failureWeight = 0.2;

/** Time in which the remembered failures of an unused target fade to a third. */
const failureFadeMs = 3_000;

/** Time for which a target is passed over that could not be reached; a restart takes about as long. */
const firstUnreachableMs = 300;

/** Longest time for which a target is passed over; the platform drops the entry of a dead one in about as long. */
const maxUnreachableMs = 3_000;

/** Time by which a first event may be later than expected before the target counts as stalled. */
const stallSlackMs = 100;

/** Whether the result speaks against the target. */
function isFailure(result: PlacedAttemptResult): boolean {
    return result !== "complete" && result !== "cancelled";
}

/** Prompt tokens that the cache does not count as parts. */
function countUnlisted({ promptTokens, parts = [] }: Pick<Assignment, "promptTokens" | "parts">): number {
    let listed = 0;
    for (const { tokens } of parts) listed += tokens;
    return Math.max(0, promptTokens - listed);
}

export function createTargetModel(opts: TargetModelOptions): TargetModel {
    const { engine } = opts;
    const assignments = new Map<string, Assignment>();
    const cache = createPrefixCacheModel();
    const rate = createPrefillRateEstimator(opts.priorPrefillRate);
    /** Prompt tokens of running requests whose parts are not known. */
    let unlistedTokens = 0;
    /** Most tokens that running requests may generate. */
    let outputTokens = 0;
    /** Time since which the engine has been reading the prompt of the oldest request without a first event. */
    let prefillStartedAt = -Infinity;
    let serviceMs = priorServiceMs;
    let servedAt = 0;
    let failureRatio = 0;
    let failureAt = 0;
    let unreachableUntil = -Infinity;
    let unreachableMs = firstUnreachableMs;

    const remove = (requestId: string): Assignment | undefined => {
        const assignment = assignments.get(requestId);
        if (assignment === undefined) return undefined;
        assignments.delete(requestId);
        unlistedTokens -= countUnlisted(assignment);
        outputTokens -= assignment.outputTokens;
        return assignment;
    };

    const findOldestUnstarted = (): Assignment | undefined => {
        for (const assignment of assignments.values()) if (assignment.startedAt === undefined) return assignment;
        return undefined;
    };

    /** Latency of plain calls; it fades to the prior, so that a target that was slow is tried again. */
    const getServiceMs = (now: number): number =>
        priorServiceMs + (serviceMs - priorServiceMs) * Math.exp((servedAt - now) / latencyFadeMs);

    const fadeFailures = (now: number): number => failureRatio * Math.exp((failureAt - now) / failureFadeMs);

    const estimateEngineOverdue = (now: number): number => {
        const oldest = findOldestUnstarted();
        if (oldest === undefined) return 0;
        const elapsedMs = now - Math.max(prefillStartedAt, oldest.assignedAt);
        return Math.max(0, elapsedMs - oldest.newTokens / rate.getRate(now) - firstEventMs - stallSlackMs);
    };

    const estimateSlotOverdue = (now: number): number => {
        let overdueMs = 0;
        for (const assignment of assignments.values())
            overdueMs = Math.max(overdueMs, now - assignment.assignedAt - 4 * getServiceMs(now) - stallSlackMs);
        return overdueMs;
    };

    const estimateOverdueMs = engine === undefined ? estimateSlotOverdue : estimateEngineOverdue;

    const estimateEngineWait = (now: number): number => {
        const oldest = findOldestUnstarted();
        if (oldest === undefined) return 0;
        let tokens = 0;
        for (const assignment of assignments.values())
            if (assignment.startedAt === undefined) tokens += assignment.newTokens;
        const elapsedMs = now - Math.max(prefillStartedAt, oldest.assignedAt);
        return (tokens - Math.min(elapsedMs * rate.getRate(now), oldest.newTokens)) / rate.getRate(now);
    };

    const estimateSlotWait = (): number => Math.max(0, assignments.size + 1 - opts.slots) * serviceMs / opts.slots;

    const estimateWorkMs = engine === undefined ? estimateSlotWait : estimateEngineWait;

    /** Passes over a target that could not be reached for a while, which doubles with each further try in vain. */
    const recordReachability = (isReached: boolean, now: number): void => {
        if (isReached) unreachableMs = firstUnreachableMs;
        else if (now >= unreachableUntil) {
            unreachableUntil = now + unreachableMs;
            unreachableMs = Math.min(maxUnreachableMs, unreachableMs * 2);
        }
    };

    return {
        assign: assignment => {
            if (assignments.has(assignment.requestId)) return;
            if (findOldestUnstarted() === undefined) prefillStartedAt = assignment.assignedAt;
            assignments.set(assignment.requestId, assignment);
            unlistedTokens += countUnlisted(assignment);
            outputTokens += assignment.outputTokens;
            if (engine === undefined) return;
            cache.pin(assignment.parts ?? [], engine.kvCacheTokens - unlistedTokens - outputTokens * generatedRatio);
        },
        start: (requestId, now) => {
            const assignment = assignments.get(requestId);
            if (assignment === undefined || assignment.startedAt !== undefined) return;
            assignment.startedAt = now;
            cache.markPrefilled(assignment.parts ?? []);
            const busySince = Math.max(prefillStartedAt, assignment.assignedAt + firstEventMs);
            if (assignment.newTokens > 0) rate.observe(assignment.newTokens, Math.max(1, now - busySince), now);
            prefillStartedAt = now;
        },
        end: (requestId, result, latencyMs, now) => {
            const assignment = remove(requestId);
            if (assignment === undefined) return;
            if (result === "complete") cache.markPrefilled(assignment.parts ?? []);
            cache.unpin(assignment.parts ?? []);
            if (result === "cancelled") return;
            if (engine === undefined && result !== "unsent") {
                serviceMs = getServiceMs(now) + latencyWeight * (latencyMs - serviceMs);
                servedAt = now;
            }
            recordReachability(result !== "unsent" && result !== "misdirected", now);
            failureRatio = fadeFailures(now) * (1 - failureWeight) + (isFailure(result) ? failureWeight : 0);
            failureAt = now;
        },
        addCachedParts: cache.addLeastRecentlyUsed,
        get: requestId => assignments.get(requestId),
        list: () => assignments.values(),
        count: () => assignments.size,
        getLoadRatio: () => assignments.size / opts.slots,
        // A target that is overdue may stand still; the longer it is silent, the longer the next request would wait.
        estimateWaitMs: now => estimateWorkMs(now) + estimateOverdueMs(now),
        getServiceMs,
        estimatePrefillMs: (tokens, now) => tokens / rate.getRate(now),
        countCachedTokens: prompt => Math.min(prompt.promptTokens, cache.countCachedTokens(prompt.parts)),
        countCopyableTokens: prompt => Math.min(prompt.promptTokens, cache.countPrefilledTokens(prompt.parts)),
        isUnreachable: now => now < unreachableUntil,
        isStalled: now => estimateOverdueMs(now) > 0,
        hasRoom: prompt => {
            if (engine === undefined || prompt === undefined) return true;
            if (assignments.size >= engine.maxBatchSize * batchRatio) return false;
            const taken = cache.getPinnedTokens() + unlistedTokens + outputTokens;
            const needed = prompt.promptTokens + prompt.outputTokens - cache.countPinnedTokens(prompt.parts);
            return assignments.size === 0 || taken + needed <= engine.kvCacheTokens * memoryRatio;
        },
        getFailureRatio: fadeFailures,
    };
}
