/** Estimates the prefill rate of an engine from the intervals between first events while requests were queued. */

export interface PrefillRateEstimator {
    /** Records that the prefill of `tokens` took `busyMs` and ended at `now`. */
    readonly record: (tokens: number, busyMs: number, now: number) => void;
    /** Prefill rate in tokens per millisecond. */
    readonly getRate: (now: number) => number;
}

/** Weight that older observations retain with each new one; about the last 16 requests count. */
const retainedWeight = 0.94;

/** Weight of the prior, in milliseconds of observed prefill. */
const priorWeightMs = 200;

/** Observations are limited to this multiple of the prior; a higher rate is a measurement error. */
const maxPriorRatio = 6;

/** Time constant with which observations decay, so that a slow engine is eventually tried again. */
const decayMs = 4_000;

export function createPrefillRateEstimator(priorPrefillRate: number): PrefillRateEstimator {
    let tokens = 0;
    let busyMs = 0;
    let observedAt = 0;
    /** Time for which the rate was computed last; a choice uses it several times. */
    let computedAt = NaN;
    let rate = priorPrefillRate;

    const computeDecay = (now: number): number => Math.exp(Math.min(0, observedAt - now) / decayMs);

    return {
        record: (newTokens, newBusyMs, now) => {
            const retained = retainedWeight * computeDecay(now);
            tokens = tokens * retained + newTokens;
            busyMs = busyMs * retained + Math.max(newBusyMs, newTokens / (priorPrefillRate * maxPriorRatio));
            observedAt = now;
            computedAt = NaN;
        },
        getRate: now => {
            if (now === computedAt) return rate;
            const decay = computeDecay(now);
            computedAt = now;
            rate = (tokens * decay + priorPrefillRate * priorWeightMs) / (busyMs * decay + priorWeightMs);
            return rate;
        },
    };
}
