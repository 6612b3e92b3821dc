/** Constants of rollouts. Fractions of a duration refer to `durationMs` of the order. */

/** Fraction of `exposeShare` that canaries use; the rest is left for requests in flight and for the shift. */
export const canaryShareRatio = 0.8;

/** Fraction of `exposeSlack` that canaries use, so that two coordinators at once stay within the slack. */
export const canarySlackRatio = 0.5;

/**
 * Share of the requests that are canaries during a burst. Canaries are sent in bursts, because an even 8% would leave
 * the new targets of a small pool without the load under which some versions fail.
 */
export const canaryBurstShare = 0.3;

/** Share during bursts if the budget is larger than the requests of a cycle; the old version must stay comparable. */
export const maxCanaryBurstShare = 0.5;

/**
 * A burst starts once the budget has grown to this multiple of `exposeShare` of a cycle's requests, so about once per
 * cycle; with few requests the slack pays for canaries at any time.
 */
export const burstStartRatio = 0.9;

/**
 * Shortest burst. Load builds up over some time: with bursts of 0.4 s at 933 requests a second, a version that fails under
 * load (measured over 0.5 s) was found only after the shift, when all requests go to it.
 */
export const minBurstMs = 600;

/**
 * Most canaries of an order. A version that fails 10% is found after about 60 responses, which is what a route with a
 * quarter of the requests gets. More canaries only use up the exposure between the shift and a rollback: with 400, 6 of 50
 * versions that fail only after the shift exceeded the bound at 933 requests a second, with 250 none.
 */
export const maxCanaries = 250;

/** Credit that always suffices for a burst; otherwise a service of 2,000 requests a second would get none with `maxCanaries`. */
export const maxBurstStartCredit = 0.6 * maxCanaries;

/**
 * Time after a burst within which a verdict before it is due waits for its responses. Without it, at least
 * 15 of 60 versions that became slow after 40% of the time were shifted during the burst that would have shown it.
 */
export const burstResponseMs = 500;

/** Cycle of the bursts: a fraction of the duration, within limits. */
export const burstCycleRatio = 1 / 8;
export const minBurstCycleMs = 1_000;
export const maxBurstCycleMs = 2_000;

/** Length of the intervals in which both versions are compared. */
export const intervalMs = 250;

/** Intervals before and after one whose responses of the old version are its baseline too. */
export const baselineNeighbours = 2;

/** Latencies kept per interval, version and route: the most recent ones. */
export const maxLatenciesPerInterval = 64;

/**
 * Latencies of the old version that a baseline has at least, from more distant intervals if necessary. A quantile of 10
 * of them is too uncertain: 1 of 6 good versions of a service with 15 requests a second was rolled back in a trial.
 */
export const baselineLatencies = 60;

/** Latencies of the old version without which nothing counts as slow. */
export const minBaselineLatencies = 10;

/** A response is slow if it exceeds both this quantile and this multiple of the median of the old version. */
export const slowQuantile = 0.95;
export const slowMedianRatio = 2;

/**
 * After the shift, an interval counts for slowness once it is older than this multiple of the slow limit.
 * Before that, mostly fast responses are known, and 92 of 200 versions that were slow on one route were completed.
 */
export const slowKnownRatio = 2;

/** What a test compares: the rate of the old version with the same rate raised by `excess` (of what is left to 1). */
export interface TestSettings {
    /** Least rate assumed for the old version: a single event must not decide. */
    readonly minRate: number;
    /** Rate and weight in responses of the assumption that holds before anything is known. */
    readonly priorRate: number;
    readonly priorWeight: number;
    readonly excess: number;
}

/** A version that fails 10% is bad, so the alternative lies below that. */
export const failureTest: TestSettings = {
    minRate: 0.003,
    priorRate: 0.01,
    priorWeight: 50,
    excess: 0.08,
};

/** Least failure rate assumed when there are no simultaneous responses of the old version to compare with. */
export const minUncomparedFailureRate = 0.01;

/**
 * Failures in one failure domain, and their part of all, from which they are a fault of the domain. With fewer, the only
 * failure of an interval would always be one: 13 of 200 versions that failed 10% were completed.
 */
export const minDomainFailures = 3;
export const minDomainFailureRatio = 0.7;

/** By definition up to 5% of the old version's responses are slow. */
export const slownessTest: TestSettings = {
    minRate: 0.02,
    priorRate: 0.05,
    priorWeight: 20,
    excess: 0.25,
};

/** Logarithm of the likelihood ratio at which a version is bad: error rate exp(-8) = 0.0003 per test. */
export const badThreshold = 8;

/**
 * The same for slowness after the shift: without simultaneous responses of the old version the slow limit is less certain. With
 * 8, one more of 200 good versions was rolled back at 15 requests a second.
 */
export const slownessThresholdUncompared = 10;

/** The same when the verdict is due and there is no time for more evidence. */
export const badThresholdWhenDue = 7;

/** At this ratio, a verdict before it is due waits for more evidence. */
export const suspicionThreshold = 2;

/** An interval counts at most this much, so that one short fault, such as a lost host, is not a verdict. */
export const maxIntervalRatio = 0.6 * badThreshold;

/** Limits of the test's sum: a version that turns bad late has no more credit than this, one that recovers no more debt. */
export const minTestSum = -1;
export const maxTestSum = badThreshold + 4;

/** Intervals after which a sum in favour of the new version restarts at zero. */
export const restartIntervals = 8;

/** Logarithm of the likelihood ratio at which a version is good before the verdict is due: exp(-5.3) = 0.005. */
export const goodThreshold = -5.3;

/** A version that is bad only later must show it: no verdict for it before this fraction. */
export const earliestGoodRatio = 0.5;
export const verdictDueRatio = 0.65;

/** Fraction of the duration that is left after the shift and `applyMs`, for the two writes and for calls in flight. */
export const completionMarginRatio = 0.1;

/** Time that a coordinator has observed before its verdict, if it took the order over late. */
export const minObservedRatio = 0.15;
export const maxObservedRatio = 0.25;

/** Responses of the new version without which it is rolled back; 30% failures go unseen in 12 with 1.4%. */
export const minCanaryResponses = 12;

/**
 * Until this fraction the new version is observed after the shift: slow responses are late, and there must be time left
 * for a slow write of the status.
 */
export const completeRatio = 0.85;

/** Slowness that still holds at this fraction is the verdict. */
export const latestCompleteRatio = 0.93;

/**
 * After the shift there is nothing to compare with. Slowness that lasts less than this may have hit the old version too;
 * faults of the network or the hosts that the fleet rides out are shorter.
 */
export const slownessPersistMs = 2_500;

/** Shortest time between two evaluations of the evidence, for the sake of processor time. */
export const evaluationIntervalMs = 50;
