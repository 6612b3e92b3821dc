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
     * Whether a response can only meet its deadline if the engine prefills no further prompts for now. One that would miss
     * it all the same does not count.
     */
    readonly isBehind: (responses: Iterable<GeneratedResponse>, now: number) => boolean;
}

/** Interval at which the schedule of all responses is compared with the pace. */
const checkIntervalMs = 100;

/** Time that a response must have in reserve, as a fraction of the time that the rest of it takes. */
const reserveRatio = 0.35;

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
    let wasBehind = false;

    const isLate = (response: GeneratedResponse, now: number): boolean => {
        const remainingTokens = estimateRemainingTokens(response, response.eventCount * tokensPerEvent);
        const remainingMs = remainingTokens * quietPace.getTokenMs();
        const timeLeftMs = response.deadlineAt - now;
        return remainingMs <= timeLeftMs && remainingMs * (1 + reserveRatio) > timeLeftMs;
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
        isBehind: (responses, now) => {
            if (now - checkedAt < checkIntervalMs) return wasBehind;
            checkedAt = now;
            wasBehind = false;
            for (const response of responses) {
                if (!isLate(response, now)) continue;
                wasBehind = true;
                break;
            }
            return wasBehind;
        },
    };
}
