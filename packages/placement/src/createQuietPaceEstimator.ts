/** Estimates how long engines of a pool take for a token of a response while they do not prefill prompts. */

export interface QuietPaceEstimator {
    /** Takes the tokens of one response during an interval without prefill. */
    readonly record: (tokens: number, ms: number) => void;
    readonly getTokenMs: () => number;
}

/** Assumed time of a token before the first interval without prefill. */
const priorTokenMs = 8;

/** Weight of earlier intervals when another one is added; the batch sizes of some seconds are averaged. */
const decayPerInterval = 0.99;

export function createQuietPaceEstimator(): QuietPaceEstimator {
    let tokenSum = 0;
    let msSum = 0;
    return {
        record: (tokens, ms) => {
            tokenSum = tokenSum * decayPerInterval + tokens;
            msSum = msSum * decayPerInterval + ms;
        },
        getTokenMs: () => tokenSum === 0 ? priorTokenMs : msSum / tokenSum,
    };
}
