/** Estimates how fast an engine reads prompts, from the times between first events while requests were waiting. */

export interface RateEstimator {
    /** Records that reading `tokens` kept the engine busy for `busyMs`. */
    readonly observe: (tokens: number, busyMs: number) => void;
    /** Tokens per millisecond. */
    readonly getRate: () => number;
}

/** Part of the older observations that remains with each new one; about the last 16 requests count. */
const retention = 0.94;

/** Weight of the prior, in milliseconds of observation. */
const priorWeightMs = 200;

/** A rate outside this multiple of the prior is taken for an error of measurement. */
const maxRatio = 6;

export function createRateEstimator(priorRate: number): RateEstimator {
    let tokens = priorRate * priorWeightMs;
    let busy = priorWeightMs;
    return {
        observe: (newTokens, busyMs) => {
            const boundedMs = Math.max(busyMs, newTokens / (priorRate * maxRatio));
            tokens = tokens * retention + newTokens;
            busy = busy * retention + boundedMs;
        },
        getRate: () => tokens / busy,
    };
}
