/** Times and limits of the sharing protocol. */

/** Default of `maxQueuedPerRouter`. */
export const defaultMaxQueued = 1000;
export const defaultQueueTimeoutMs = 30_000;
export const defaultAnswerTimeoutMs = 60_000;
export const defaultCostPerCall = 1;
/** Retry-After of answers that depend on capacity. */
export const retryAfterMs = 1000;

/** Weight of the newest request in the moving average of costs. */
export const averageWeight = 0.2;
/** Cost beyond the input that is assumed for the first request of a workspace, in the order of a short answer. */
export const initialRestCost = 200;

/** Longest time that a broken stream waits for news of its target: two polls of a suspect target and the report's lag. */
export const resumeWaitMs = 3000;

/**
 * Time for which the slot of a cancelled request stays in use at a cold target, which may still be working on it: a
 * target notices a closed connection only when it writes the next token or reads the end of the stream.
 */
export const cancelSettleMs = 500;

/** Part of the requests that may be retried, and retries available before any request has arrived. */
export const retryRatio = 0.1;
export const retryReserve = 3;
/** Bounds the burst of retries after a long quiet period. */
export const retryTokensMax = 100;

/** Entry routers reuse slots this long after the last announcement; shorter than what is left of a lease at its renewal. */
export const announcementExpiryMs = 2000;
/**
 * Silence of the coordinator after which the last ceiling no longer counts and slots stay where they are: it announces
 * each 100 ms while requests wait, and slots returned to a lost coordinator are idle until the next one has taken over.
 */
export const ceilingLifeMs = 300;
/** Silence after which a coordinator that owes an answer is reported to membership as unreachable. */
export const coordinatorSilenceMs = 500;
/** Silence after which reports carry the copy of the last announcement again; idle announcements come each second. */
export const copyAfterSilenceMs = 1300;
/** Unchanged reports are repeated at this interval, so that a coordinator that lost its state learns of the router. */
export const reportIntervalMs = 500;

/** Reports whose time of sending is kept until an announcement covers them. */
export const sentReportsMax = 1000;

export const announceIntervalBusyMs = 100;
/** Unchanged entries are repeated at this interval, in case an announcement was lost with its connection. */
export const announceAllIntervalMs = 1000;
export const announceIntervalIdleMs = 1000;
/** A router that asks is answered at once after this silence, even without a grant. */
export const announceOnRequestMs = 500;
export const takeoverMs = 1500;
/** Default of `warmUpRequests`. A cold target was seen to fail when its limit doubled after `coldLimit` requests. */
export const defaultWarmUpRequests = 20;
/** Bounds how often a target that fails again while its limit rises has its warm-up doubled. */
export const warmUpFactorMax = 8;
export const pollIntervalMs = 500;
export const pollIntervalColdMs = 250;
/** While slots of lost routers are to be released. */
export const pollIntervalLostMs = 100;
/** A poll without an answer is repeated after this time. */
export const pollAnswerMs = 2000;

export const leaseDurationMs = 5000;
/** A lease is renewed at a third of its duration, so that one lost renewal does not end it. */
export const leaseRenewMs = Math.floor(leaseDurationMs / 3);
export const leaseRetryMs = 1000;
/** Slots are recalled this long before the lease ends, so that entry routers learn of it in time. */
export const leaseMarginMs = 500;

/** The pool counts as contended below this part of spare capacity, and as not contended above the second one. */
export const tightRatio = 0.05;
export const relaxedRatio = 0.15;

/** A target counts as slow after this many accepted requests in a row over both bounds. */
export const slowCount = 5;
export const slowFactor = 10;
export const slowMinimumMs = 1000;

/** A longer time between two events means that the process was paused; ticks come every 100 ms. */
export const pauseMs = 1000;
/** Time after a pause in which reports from before it may still arrive, and in which membership notices the pause. */
export const pauseSettleMs = 500;
