/** Estimates how fast an engine reads prompts, from the times between first events while requests were waiting. */

export interface PrefillRateEstimator {
    /** Records that reading `tokens` kept the engine busy for `busyMs`, up to `now`. */
    readonly observe: (tokens: number, busyMs: number, now: number) => void;
    /** Tokens per millisecond. */
    readonly getRate: (now: number) => number;
}

/** Part of the older observations that remains with each new one; about the last 16 requests count. */
const retention = 0.94;

/** Weight of the prior, in milliseconds of observation. */
const priorWeightMs = 200;

/** A rate outside this multiple of the prior is taken for an error of measurement. */
const maxRatio = 6;

/** Time in which observations fade to a third, so that an engine that was slow is tried again. */
const fadeMs = 4_000;

export function createPrefillRateEstimator(priorPrefillRate: number): PrefillRateEstimator {
    let tokens = 0;
    let busyMs = 0;
    let observedAt = 0;

    const getFade = (now: number): number => Math.exp(Math.min(0, observedAt - now) / fadeMs);

    return {
        observe: (newTokens, newBusyMs, now) => {
            const remaining = retention * getFade(now);
            tokens = tokens * remaining + newTokens;
            busyMs = busyMs * remaining + Math.max(newBusyMs, newTokens / (priorPrefillRate * maxRatio));
            observedAt = now;
        },
        getRate: now => {
            const fade = getFade(now);
            return (tokens * fade + priorPrefillRate * priorWeightMs) / (busyMs * fade + priorWeightMs);
        },
    };
}
