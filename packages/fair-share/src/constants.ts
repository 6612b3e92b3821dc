/** Timeouts, intervals and limits of the slot-sharing protocol. */

/** Default of `maxQueuedPerRouter`. */
export const defaultMaxQueued = 1000;
export const defaultQueueTimeoutMs = 30_000;
export const defaultAnswerTimeoutMs = 60_000;
export const defaultCostPerCall = 1;
/** Retry-After of responses that were refused for lack of capacity. */
export const retryAfterMs = 1000;

/** Weight of the latest sample in exponential moving averages of cost and latency. */
export const movingAverageWeight = 0.2;
/** Output cost assumed for the first request of a workspace, on the order of a short response. */
export const initialOutputCost = 200;

/** Timeout for resuming a broken stream: two load polls of a suspect target plus the delay of the report. */
export const resumeTimeoutMs = 3000;

/**
 * Delay before the slot of a cancelled request at a cold target is freed. The target may still be running the request:
 * it detects a closed connection only when it writes the next token or reads the end of the stream.
 */
export const cancelReleaseDelayMs = 500;

/** Ratio of retries to requests, and number of retries available before any request has arrived. */
export const retryRatio = 0.1;
export const initialRetryTokens = 3;
/** Capacity of the retry token bucket; bounds the burst of retries after a period without failures. */
export const maxRetryTokens = 100;

/**
 * Entry routers use their slots for this long after sending the last acknowledged report. Shorter than the time that
 * remains of a lease when it is renewed.
 */
export const announcementExpiryMs = 2000;
/**
 * Time after the last announcement at which its ceiling expires, so that entry routers keep their slots: slots returned
 * to a failed coordinator stay idle until the takeover. The coordinator announces every 100 ms while requests wait.
 */
export const ceilingExpiryMs = 300;
/** Time without an announcement after which a coordinator with unacknowledged reports is reported as unreachable. */
export const coordinatorTimeoutMs = 500;
/** Time without an announcement after which reports include its copy again; idle pools are announced every second. */
export const copyResendAfterMs = 1300;
/** Unchanged reports are resent at this interval, so that a coordinator that lost its state learns of the router. */
export const reportIntervalMs = 500;

/** Maximum number of unacknowledged reports whose send time is kept. */
export const maxSentReports = 1000;

export const announceIntervalContendedMs = 100;
/** Unchanged entries are resent at this interval, in case an announcement was lost with its connection. */
export const announceAllIntervalMs = 1000;
export const announceIntervalUncontendedMs = 1000;
/** A report with queued requests triggers an announcement, even without a grant, if the last one is older than this. */
export const announceOnRequestAfterMs = 500;
export const takeoverTimeoutMs = 1500;
/** Default of `warmUpRequests`. Doubling the limit after only `coldLimit` requests can overload a cold target. */
export const defaultWarmUpRequests = 20;
/** Maximum multiplier of the warm-up, which doubles each time a target fails after its cold limit was raised. */
export const maxWarmUpFactor = 8;
export const pollIntervalMs = 500;
export const pollIntervalColdMs = 250;
/** Poll interval while slots of lost routers are unaccounted for. */
export const pollIntervalLostMs = 100;
/** A poll without a result is retried after this time. */
export const pollTimeoutMs = 2000;

export const leaseDurationMs = 5000;
/** A lease is renewed at a third of its duration, so that one lost renewal does not end it. */
export const leaseRenewIntervalMs = Math.floor(leaseDurationMs / 3);
export const leaseRetryIntervalMs = 1000;
/** Slots are withdrawn this long before the lease expires, so that entry routers learn of it in time. */
export const leaseMarginMs = 500;

/** A pool becomes contended below the first ratio of spare capacity, and uncontended again above the second. */
export const contendedBelowRatio = 0.05;
export const uncontendedAboveRatio = 0.15;

/** A target is slow after this many consecutive accepted requests that exceed both latency bounds below. */
export const slowRequestCount = 5;
export const slowLatencyFactor = 10;
export const minSlowLatencyMs = 1000;

/** A gap of this length between two events means that the process was paused; ticks occur every 100 ms. */
export const pauseThresholdMs = 1000;
/** Time after a pause in which reports sent before it may still arrive and membership detects the pause. */
export const pauseGraceMs = 500;
