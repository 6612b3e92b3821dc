/** What a router knows of the work at one target, and how long another request would wait there. */
import type { EngineSpec } from "@rhubarbwheel/types/fleet";
import type { AttemptResult, PromptSize } from "@rhubarbwheel/types/placement";
import { createPromptCache } from "./createPromptCache.js";
import { createRateEstimator } from "./createRateEstimator.js";
import { batchRatio, firstEventMs, memoryRatio, priorServiceMs } from "./placementSettings.js";

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
    startedAt?: number;
    /** Time after which the assignment is forgotten unless a report mentions it. */
    expiresAt: number;
}

export interface TargetModelOptions {
    /** Requests that run at once. */
    readonly slots: number;
    readonly engine?: EngineSpec;
    /** Reading rate that is assumed at first, in tokens per millisecond. */
    readonly priorRate: number;
}

export interface TargetModel {
    readonly assign: (assignment: Assignment, prompt?: PromptSize) => void;
    readonly start: (requestId: string, now: number) => void;
    readonly end: (requestId: string, result: AttemptResult, latencyMs: number, now: number) => void;
    readonly get: (requestId: string) => Assignment | undefined;
    readonly list: () => Iterable<Assignment>;
    readonly count: () => number;
    /** Time until a request that is sent now begins to run. */
    readonly estimateWaitMs: (now: number) => number;
    /** Time that the target itself spends on the request before its first answer. */
    readonly estimateOwnMs: (prompt: PromptSize | undefined) => number;
    readonly countNewTokens: (prompt: PromptSize) => number;
    readonly hasRoom: (prompt: PromptSize | undefined) => boolean;
    /** Part of the recent attempts that failed, 0 to 1; it fades with time. */
    readonly getFailureRatio: (now: number) => number;
}

/** Weight of a new latency in the moving average. */
const latencyWeight = 0.15;

/** Weight of a new result in the moving average of failures. */
const failureWeight = 0.2;

/** Time in which the remembered failures of an unused target fade to a third. */
const failureFadeMs = 3_000;

/** Time by which a first event may be later than expected before the target counts as stalled. */
const stallSlackMs = 100;

/** Whether the result speaks against the target. */
function isFailure(result: AttemptResult): boolean {
    return result !== "complete" && result !== "cancelled";
}

export function createTargetModel(opts: TargetModelOptions): TargetModel {
    const { engine } = opts;
    const assignments = new Map<string, Assignment>();
    const cache = createPromptCache();
    const rate = createRateEstimator(opts.priorRate);
    let usedTokens = 0;
    /** Time since which the engine has been reading the prompt of the oldest request without a first event. */
    let readingSince = -Infinity;
    let serviceMs = priorServiceMs;
    let failureRatio = 0;
    let failureAt = 0;

    const remove = (requestId: string): Assignment | undefined => {
        const assignment = assignments.get(requestId);
        if (assignment === undefined) return undefined;
        assignments.delete(requestId);
        usedTokens -= assignment.promptTokens + assignment.outputTokens;
        return assignment;
    };

    const findOldestUnstarted = (): Assignment | undefined => {
        for (const assignment of assignments.values()) if (assignment.startedAt === undefined) return assignment;
        return undefined;
    };

    const fadeFailures = (now: number): number => failureRatio * Math.exp((failureAt - now) / failureFadeMs);

    const estimateEngineWait = (now: number): number => {
        const oldest = findOldestUnstarted();
        if (oldest === undefined) return 0;
        let tokens = 0;
        for (const assignment of assignments.values())
            if (assignment.startedAt === undefined) tokens += assignment.newTokens;
        const elapsedMs = now - Math.max(readingSince, oldest.assignedAt);
        const expectedMs = oldest.newTokens / rate.getRate();
        const remainingMs = tokens / rate.getRate() - Math.min(elapsedMs, expectedMs);
        // A target that is overdue may stand still; the longer it is silent, the longer the next request would wait.
        return remainingMs + Math.max(0, elapsedMs - expectedMs - firstEventMs - stallSlackMs);
    };

    const estimateSlotWait = (now: number): number => {
        const waiting = assignments.size + 1 - opts.slots;
        let overdueMs = 0;
        for (const assignment of assignments.values())
            overdueMs = Math.max(overdueMs, now - assignment.assignedAt - 4 * serviceMs - stallSlackMs);
        return Math.max(0, waiting) * serviceMs / opts.slots + overdueMs;
    };

    return {
        assign: (assignment, prompt) => {
            if (assignments.has(assignment.requestId)) return;
            if (findOldestUnstarted() === undefined) readingSince = assignment.assignedAt;
            assignments.set(assignment.requestId, assignment);
            usedTokens += assignment.promptTokens + assignment.outputTokens;
            if (engine !== undefined && prompt !== undefined)
                cache.use(prompt.parts, engine.memoryTokens - usedTokens);
        },
        start: (requestId, now) => {
            const assignment = assignments.get(requestId);
            if (assignment === undefined || assignment.startedAt !== undefined) return;
            assignment.startedAt = now;
            const busySince = Math.max(readingSince, assignment.assignedAt + firstEventMs);
            if (assignment.newTokens > 0) rate.observe(assignment.newTokens, Math.max(1, now - busySince));
            readingSince = now;
        },
        end: (requestId, result, latencyMs, now) => {
            const assignment = remove(requestId);
            if (assignment === undefined || result === "cancelled") return;
            if (engine === undefined && result !== "unsent")
                serviceMs += latencyWeight * (latencyMs - serviceMs);
            failureRatio = fadeFailures(now) * (1 - failureWeight) + (isFailure(result) ? failureWeight : 0);
            failureAt = now;
        },
        get: requestId => assignments.get(requestId),
        list: () => assignments.values(),
        count: () => assignments.size,
        estimateWaitMs: engine === undefined ? estimateSlotWait : estimateEngineWait,
        estimateOwnMs: prompt => {
            if (engine === undefined || prompt === undefined) return serviceMs;
            return (prompt.promptTokens - cache.countKept(prompt.parts)) / rate.getRate();
        },
        countNewTokens: prompt => Math.max(0, prompt.promptTokens - cache.countKept(prompt.parts)),
        hasRoom: prompt => {
            if (engine === undefined || prompt === undefined) return true;
            if (assignments.size >= engine.batchSize * batchRatio) return false;
            const needed = prompt.promptTokens + prompt.outputTokens;
            return assignments.size === 0 || usedTokens + needed <= engine.memoryTokens * memoryRatio;
        },
        getFailureRatio: fadeFailures,
    };
}
