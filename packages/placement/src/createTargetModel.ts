/** Model of the load of one target, which estimates the queueing time of another request there. */
import type { EngineSpec } from "@rhubarbwheel/types/fleet";
import type { PlacedAttemptResult, PromptPart, PromptSize, ReportedLoad } from "@rhubarbwheel/types/placement";
import { type Assignment, countUntrackedTokens } from "./assignment.js";
import { createDecodeModel } from "./createDecodeModel.js";
import { createLoadEstimator, maxReportAgeMs } from "./createLoadEstimator.js";
import { createPrefillRateEstimator } from "./createPrefillRateEstimator.js";
import { createPrefixCacheModel } from "./createPrefixCacheModel.js";
import type { QuietPaceEstimator } from "./createQuietPaceEstimator.js";
import {
    averageOutputRatio,
    firstEventMs,
    maxBatchRatio,
    maxKvCacheRatio,
    priorServiceTimeMs,
} from "./placementSettings.js";

export interface TargetModelOptions {
    /** Maximum number of concurrent requests. */
    readonly slots: number;
    readonly engine?: EngineSpec;
    /** Assumed prefill rate without observations, in tokens per millisecond. */
    readonly priorPrefillRate: number;
    readonly quietPace: QuietPaceEstimator;
    /** Returns a number that increases with each assignment to any target of the pool. */
    readonly getNextAssignment: () => number;
}

export interface TargetModel {
    readonly assign: (assignment: Assignment) => void;
    readonly start: (requestId: string, now: number) => void;
    /** Takes the number of events that the response to a request has. */
    readonly recordProgress: (requestId: string, eventCount: number, now: number) => void;
    readonly end: (requestId: string, result: PlacedAttemptResult, latencyMs: number, now: number) => void;
    /**
     * Takes the load that the target reported in a response to this or another router. `noticeLagMs`: time after which
     * this router learns of the start and end of requests, 0 for its own.
     */
    readonly recordLoad: (load: ReportedLoad, now: number, noticeLagMs: number) => void;
    /** Adds prompt parts that the target reports as cached. */
    readonly addCachedParts: (parts: readonly PromptPart[]) => void;
    readonly get: (requestId: string) => Assignment | undefined;
    readonly list: () => Iterable<Assignment>;
    readonly count: () => number;
    /** Requests in flight, including those that the target reports and this router does not know of. */
    readonly estimateRequests: (now: number) => number;
    /** Number of the last assignment, in the order of `getNextAssignment`; 0 if there was none. */
    readonly getLastAssignment: () => number;
    /** Queueing time of a request that is sent now. */
    readonly estimateWaitMs: (now: number) => number;
    /** Moving average of the latency of plain calls at the usual pace of the host. */
    readonly getServiceTimeMs: (now: number) => number;
    /** Time that work takes on the host now, compared with the usual; 1 if it does not report it. */
    readonly getPaceRatio: (now: number) => number;
    readonly estimatePrefillMs: (tokens: number, now: number) => number;
    /** Tokens at the start of the prompt that need no prefill. */
    readonly countCachedTokens: (prompt: PromptSize) => number;
    /** Tokens at the start of the prompt that can be transferred to another target. */
    readonly countTransferableTokens: (prompt: PromptSize) => number;
    /** Whether the target is skipped because a recent call could not reach it. */
    readonly isUnreachable: (now: number) => boolean;
    /** Whether a response is overdue. */
    readonly isStalled: (now: number) => boolean;
    /** Lowest reserve of the responses in progress, as a fraction of the time that the rest of them takes. */
    readonly getReserveRatio: (now: number) => number;
    readonly hasCapacity: (prompt: PromptSize | undefined) => boolean;
    /** Moving average of failures, 0 to 1, which decays with time. */
    readonly getFailureRatio: (now: number) => number;
}

/** Weight of a new latency in the moving average. */
const serviceTimeWeight = 0.15;

/** Time constant with which the service time of an unused target decays to the prior. */
const serviceTimeDecayMs = 5_000;

/** Weight of a new result in the moving average of failures. */
const failureWeight = 0.2;

/** Time constant with which the failure ratio of an unused target decays. */
const failureDecayMs = 3_000;

/** Time for which an unreachable target is skipped at first; a restart takes about as long. */
const minUnreachableMs = 300;

/** Maximum time for which an unreachable target is skipped; the platform removes a dead one after about as long. */
const maxUnreachableMs = 3_000;

/** Delay of a response beyond its expected time after which the target counts as stalled. */
const stallSlackMs = 100;

/**
 * Time constants with which reported requests of other routers are forgotten: calls take 20 to 70 ms, streams some
 * seconds. With 500 ms for calls, eight routers with reports 200 ms old chose the same targets in turn.
 */
const callDecayMs = 150;
const streamDecayMs = 500;

/** Weight of a new notice in the moving average of their lag. */
const noticeLagWeight = 0.1;

/** Whether the result counts as a failure of the target. */
function isFailure(result: PlacedAttemptResult): boolean {
    return result !== "complete" && result !== "cancelled";
}

export function createTargetModel(opts: TargetModelOptions): TargetModel {
    const { engine } = opts;
    const assignments = new Map<string, Assignment>();
    /** Those without a first event, oldest first. */
    const cache = createPrefixCacheModel();
    const unstarted = new Map<string, Assignment>();
    const load = createLoadEstimator({
        slots: opts.slots,
        requestDecayMs: engine === undefined ? callDecayMs : streamDecayMs,
    });
    const decode = engine?.tokensPerEvent === undefined
        ? undefined
        : createDecodeModel({ tokensPerEvent: engine.tokensPerEvent, quietPace: opts.quietPace });
    /** At the usual pace of the host, so that a change of the pace takes effect at once. */
    const prefillRate = createPrefillRateEstimator(opts.priorPrefillRate);
    /** Tokens that assigned requests without a first event need to prefill. */
    let unstartedTokens = 0;
    let lastAssignment = 0;
    /** Moving average; 0 for targets that do not report their pace, whose queueing time is estimated as before. */
    let noticeLagMs = 0;
    /** Whether the target has reported its load, which is compared with the assignments of that time. */
    let hasReports = false;
    /** Ends of assignments within `maxReportAgeMs`, and the times at which they were assigned. */
    let ended: { readonly assignedAt: number; readonly endedAt: number; }[] = [];
    /** Prompt tokens of assigned requests that belong to no known part. */
    let untrackedTokens = 0;
    /** Maximum number of tokens that assigned requests may generate. */
    let outputTokens = 0;
    /** Time at which the engine started the prefill of the oldest request without a first event. */
    let prefillStartedAt = -Infinity;
    /** Time at which a request was last without a first event. */
    let lastPrefillAt = -Infinity;
    let serviceTimeMs = priorServiceTimeMs;
    let serviceTimeUpdatedAt = 0;
    let failureRatio = 0;
    let failureRatioUpdatedAt = 0;
    let unreachableUntil = -Infinity;
    let unreachableMs = minUnreachableMs;

    const removeUnstarted = (assignment: Assignment, now: number): void => {
        if (!unstarted.delete(assignment.requestId)) return;
        unstartedTokens -= assignment.newTokens;
        lastPrefillAt = now;
    };

    const remove = (requestId: string, now: number): Assignment | undefined => {
        const assignment = assignments.get(requestId);
        if (assignment === undefined) return undefined;
        assignments.delete(requestId);
        removeUnstarted(assignment, now);
        untrackedTokens -= countUntrackedTokens(assignment);
        outputTokens -= assignment.outputTokens;
        return assignment;
    };

    const findOldestUnstarted = (): Assignment | undefined => {
        if (unstarted.size === 0) return undefined;
        for (const assignment of unstarted.values()) return assignment;
        return undefined;
    };

    /** At the usual pace. Decays to the prior, so that a slow target is eventually tried again. */
    const getServiceTimeMs = (now: number): number =>
        priorServiceTimeMs
        + (serviceTimeMs - priorServiceTimeMs) * Math.exp((serviceTimeUpdatedAt - now) / serviceTimeDecayMs);

    const getPrefillRate = (now: number): number => prefillRate.getRate(now) / load.getPaceRatio(now);

    const getFailureRatio = (now: number): number =>
        failureRatio === 0 ? 0 : failureRatio * Math.exp((failureRatioUpdatedAt - now) / failureDecayMs);

    /** Own requests that were in flight at `time`. */
    const countInFlightAt = (time: number): number => {
        let count = 0;
        for (const { assignedAt } of assignments.values()) if (assignedAt <= time) count += 1;
        for (const { assignedAt, endedAt } of ended) if (assignedAt <= time && endedAt > time) count += 1;
        return count;
    };

    const estimateEngineOverdueMs = (now: number): number => {
        const oldest = findOldestUnstarted();
        if (oldest === undefined) return 0;
        const elapsedMs = now - Math.max(prefillStartedAt, oldest.assignedAt);
        return Math.max(
            0,
            elapsedMs - oldest.newTokens / getPrefillRate(now) - firstEventMs - stallSlackMs - noticeLagMs,
        );
    };

    const estimateSlotOverdueMs = (now: number): number => {
        let oldestAt = now;
        for (const { assignedAt } of assignments.values()) oldestAt = Math.min(oldestAt, assignedAt);
        return Math.max(0, now - oldestAt - 4 * getServiceTimeMs(now) * load.getPaceRatio(now) - stallSlackMs);
    };

    const estimateOverdueMs = engine === undefined ? estimateSlotOverdueMs : estimateEngineOverdueMs;

    const estimateEngineWaitMs = (now: number): number => {
        const oldest = findOldestUnstarted();
        if (oldest === undefined) return 0;
        const rate = getPrefillRate(now);
        // The oldest had not started when the last notice was sent; the engine has gone on since.
        const elapsedMs = now - Math.max(prefillStartedAt - noticeLagMs, oldest.assignedAt);
        const doneTokens = Math.min(elapsedMs * rate, oldest.newTokens + noticeLagMs * rate);
        return Math.max(0, unstartedTokens - doneTokens) / rate;
    };

    const estimateSlotWaitMs = (now: number): number =>
        Math.max(0, assignments.size + 1 - opts.slots) * serviceTimeMs * load.getPaceRatio(now) / opts.slots;

    const estimateQueueMs = engine === undefined ? estimateSlotWaitMs : estimateEngineWaitMs;

    /** Skips an unreachable target with exponential backoff. */
    const recordReachability = (isReached: boolean, now: number): void => {
        if (isReached) unreachableMs = minUnreachableMs;
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
            lastAssignment = opts.getNextAssignment();
            if (assignment.startedAt === undefined) {
                unstarted.set(assignment.requestId, assignment);
                unstartedTokens += assignment.newTokens;
            }
            untrackedTokens += countUntrackedTokens(assignment);
            outputTokens += assignment.outputTokens;
            if (engine === undefined) return;
            cache.pin(
                assignment.parts ?? [],
                engine.kvCacheTokens - untrackedTokens - outputTokens * averageOutputRatio,
            );
        },
        start: (requestId, now) => {
            const assignment = assignments.get(requestId);
            if (assignment === undefined || assignment.startedAt !== undefined) return;
            assignment.startedAt = now;
            removeUnstarted(assignment, now);
            cache.setPrefilled(assignment.parts ?? []);
            const busySince = Math.max(prefillStartedAt, assignment.assignedAt + firstEventMs + noticeLagMs);
            const busyMs = Math.max(1, now - busySince) / load.getPaceRatio(now);
            if (assignment.newTokens > 0) prefillRate.record(assignment.newTokens, busyMs, now);
            prefillStartedAt = now;
        },
        recordProgress: (requestId, eventCount, now) => {
            const assignment = assignments.get(requestId);
            const quietSince = unstarted.size === 0 ? lastPrefillAt : Infinity;
            if (assignment !== undefined) decode?.recordProgress(assignment, eventCount, { quietSince, now });
        },
        end: (requestId, result, latencyMs, now) => {
            const assignment = remove(requestId, now);
            if (assignment === undefined) return;
            if (hasReports) {
                ended = ended.filter(({ endedAt }) => endedAt > now - maxReportAgeMs);
                ended.push({ assignedAt: assignment.assignedAt, endedAt: now });
            }
            if (result === "complete") cache.setPrefilled(assignment.parts ?? []);
            cache.unpin(assignment.parts ?? []);
            if (result === "cancelled") return;
            if (engine === undefined && result !== "unsent") {
                const usualLatencyMs = latencyMs / load.getPaceRatio(now);
                serviceTimeMs = getServiceTimeMs(now) + serviceTimeWeight * (usualLatencyMs - serviceTimeMs);
                serviceTimeUpdatedAt = now;
            }
            recordReachability(result !== "unsent" && result !== "misdirected", now);
            failureRatio = getFailureRatio(now) * (1 - failureWeight) + (isFailure(result) ? failureWeight : 0);
            failureRatioUpdatedAt = now;
        },
        addCachedParts: cache.addLeastRecentlyUsed,
        get: requestId => assignments.get(requestId),
        list: () => assignments.values(),
        count: () => assignments.size,
        recordLoad: (report, now, lagMs) => {
            hasReports = true;
            const ageMs = (report.ageMs ?? 0) + lagMs;
            load.record({ ...report, ageMs }, countInFlightAt(now - ageMs), now);
            if (report.paceRatio === undefined) return;
            noticeLagMs += noticeLagWeight * (Math.min(maxReportAgeMs, lagMs) - noticeLagMs);
        },
        estimateRequests: now => assignments.size + load.getOtherRequests(now),
        getLastAssignment: () => lastAssignment,
        getPaceRatio: load.getPaceRatio,
        // A target with an overdue response may be stalled: the queueing time grows with the time overdue.
        estimateWaitMs: now => estimateQueueMs(now) + estimateOverdueMs(now),
        getServiceTimeMs,
        estimatePrefillMs: (tokens, now) => tokens / prefillRate.getRate(now),
        countCachedTokens: prompt => Math.min(prompt.promptTokens, cache.countCachedTokens(prompt.parts)),
        countTransferableTokens: prompt => Math.min(prompt.promptTokens, cache.countPrefilledTokens(prompt.parts)),
        isUnreachable: now => now < unreachableUntil,
        isStalled: now => estimateOverdueMs(now) > 0,
        getReserveRatio: now => decode?.getReserveRatio(assignments.values(), now) ?? Infinity,
        hasCapacity: prompt => {
            if (engine === undefined || prompt === undefined) return true;
            if (assignments.size >= engine.maxBatchSize * maxBatchRatio) return false;
            const usedTokens = cache.getPinnedTokens() + untrackedTokens + outputTokens;
            const neededTokens = prompt.promptTokens + prompt.outputTokens - cache.countPinnedTokens(prompt.parts);
            return assignments.size === 0 || usedTokens + neededTokens <= engine.kvCacheTokens * maxKvCacheRatio;
        },
        getFailureRatio,
    };
}
