/**
 * Model of the tokens that one engine generates: whether the responses in progress will be complete before their
 * deadlines. Prefill delays the tokens of all of them.
 */
import type { PromptSize } from "@rhubarbwheel/types/placement";
import type { QuietPaceEstimator } from "./createQuietPaceEstimator.js";

/** A response in progress, or one that has not started. */
export interface GeneratedResponse extends Pick<PromptSize, "outputTokens" | "expectedOutputTokens"> {
    /** Time of the deadline of the complete response; Infinity if unknown. */
    readonly deadlineAt: number;
    readonly startedAt?: number;
    /** Number of events, as of the last report. */
    eventCount: number;
    /** Time of that report. */
    progressedAt?: number;
}

export interface DecodeModel {
    /**
     * Takes the number of events that a response has. `quietSince`: time since which the engine has not prefilled; Infinity
     * if it does.
     */
    readonly recordProgress: (
        response: GeneratedResponse,
        eventCount: number,
        progress: { readonly quietSince: number; readonly now: number; },
    ) => void;
    /**
     * Time that responses have in reserve before their deadlines if the engine prefills no further prompts, as a fraction of
     * the time that the rest of them takes: the lowest of all. A response that would miss its deadline all the same does
     * not count. Infinity if there is none.
     */
    readonly getReserveRatio: (responses: Iterable<GeneratedResponse>, now: number) => number;
}

/** Interval at which the reserve of all responses is computed. */
const checkIntervalMs = 100;

/** Tokens of a response beyond the number that its caller expected, as a fraction of that number. */
const expectedMarginRatio = 0.25;

/** Remaining tokens of a response that is longer than expected, as a fraction of those that it has. */
const overrunRatio = 0.25;

/** Estimates the tokens that a response of which `generatedTokens` exist will still have. */
export function estimateRemainingTokens(
    { outputTokens, expectedOutputTokens }: Pick<GeneratedResponse, "outputTokens" | "expectedOutputTokens">,
    generatedTokens: number,
): number {
    const maxTokens = Math.max(0, outputTokens - generatedTokens);
    if (expectedOutputTokens === undefined) return maxTokens;
    const expectedTokens = expectedOutputTokens * (1 + expectedMarginRatio) - generatedTokens;
    return Math.min(maxTokens, Math.max(expectedTokens, generatedTokens * overrunRatio));
}

export interface DecodeModelOptions {
    readonly tokensPerEvent: number;
    /** Shared by all engines of the pool. */
    readonly quietPace: QuietPaceEstimator;
}

export function createDecodeModel({ tokensPerEvent, quietPace }: DecodeModelOptions): DecodeModel {
    let checkedAt = -Infinity;
    let reserveRatio = Infinity;

    const computeReserveRatio = (response: GeneratedResponse, now: number): number => {
        const remainingTokens = estimateRemainingTokens(response, response.eventCount * tokensPerEvent);
        const remainingMs = remainingTokens * quietPace.getTokenMs();
        const timeLeftMs = response.deadlineAt - now;
        return remainingMs === 0 || remainingMs > timeLeftMs ? Infinity : timeLeftMs / remainingMs - 1;
    };

    return {
        recordProgress: (response, eventCount, { quietSince, now }) => {
            const since = response.progressedAt ?? response.startedAt;
            // The time before the first event is spent in the queue. Without new events the interval goes on.
            if (since === undefined || eventCount <= response.eventCount) return;
            const newTokens = (eventCount - response.eventCount) * tokensPerEvent;
            response.eventCount = eventCount;
            response.progressedAt = now;
            if (since >= quietSince) quietPace.record(newTokens, now - since);
        },
        getReserveRatio: (responses, now) => {
            if (now - checkedAt < checkIntervalMs) return reserveRatio;
            checkedAt = now;
            reserveRatio = Infinity;
            for (const response of responses) reserveRatio = Math.min(reserveRatio, computeReserveRatio(response, now));
            return reserveRatio;
        },
    };
}
