/**
 * Wald's sequential probability ratio test over successive intervals. Its sum restarts at zero every few intervals while
 * it favours the new version (Page's test), so that a version that turns bad late is detected as fast as one that was
 * bad from the start.
 */
import { maxIntervalRatio, maxTestSum, minTestSum, restartIntervals, type TestSettings } from "./rolloutSettings.js";

/** Responses of one version, and those among them that failed or were slow. */
export interface EventCount {
    readonly responses: number;
    readonly events: number;
}

/** Logarithm of the likelihood ratio of "as bad as `rate` plus the excess" to "as good as `rate`". */
export function computeLogRatio(count: EventCount, rate: number, settings: TestSettings): number {
    const badRate = rate + (1 - rate) * settings.excess;
    const quiet = count.responses - count.events;
    return count.events * Math.log(badRate / rate) + quiet * Math.log((1 - badRate) / (1 - rate));
}

/**
 * Rate of the old version in an interval: the greater of its rate so far, with its standard error, and its rate about this
 * time. Faults that hit both versions raise the latter.
 */
export function computeBaselineRate(total: EventCount, localRate: number, settings: TestSettings): number {
    const { priorRate, priorWeight, minRate } = settings;
    const { events, responses } = total;
    const overall = (events + Math.sqrt(events) + priorRate * priorWeight) / (responses + priorWeight);
    return Math.min(0.9, Math.max(overall, localRate, minRate));
}

export interface SequentialTestResult {
    /** Sum at the last interval. */
    readonly sum: number;
    /** Sum over all intervals without restarts and limits. */
    readonly plainSum: number;
}

/**
 * `ratios`: one per interval in order; `undefined` where there is no response. From the interval `unlimitedFrom` on, one
 * interval may be a verdict.
 */
export function runSequentialTest(
    ratios: readonly (number | undefined)[],
    unlimitedFrom: number,
): SequentialTestResult {
    let sum = 0;
    let plainSum = 0;
    for (const [index, ratio] of ratios.entries()) {
        if (index % restartIntervals === 0) sum = Math.max(0, sum);
        if (ratio === undefined) continue;
        plainSum += ratio;
        const limit = index < unlimitedFrom ? maxIntervalRatio : Infinity;
        sum = Math.min(maxTestSum, Math.max(minTestSum, sum + Math.min(ratio, limit)));
    }
    return { sum, plainSum };
}
