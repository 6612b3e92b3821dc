/** Constants of request placement. Times are in milliseconds. */

/** Interval after which an unanswered placement request is retried: ten round trips between failure domains. */
export const placementRetryMs = 30;

/** Timeout after which an entry router places a request locally: a tenth of the callers' shortest latency target. */
export const placementTimeoutMs = 75;

/**
 * Fraction of the latency target for which an entry router that may not place a request locally waits for a late reply.
 * Coordinators are slow for some hundred milliseconds after all routers have restarted, and a request that is refused
 * during that time is retried too late.
 */
export const lateReplyWaitRatio = 0.5;

/** Consecutive timeouts before a coordinator is suspected; a single one may be due to a lost datagram. */
export const timeoutsBeforeSuspicion = 2;

/** Minimum time from the first timeout to a suspicion; a coordinator that has just started is slow for as long. */
export const minUnresponsiveMs = 250;

/** Duration of the first suspicion; a restarted process takes about as long to serve requests again. */
export const minSuspicionMs = 2_000;

/** Maximum duration of a suspicion. Each time one ends while the host is gone, requests wait for it again. */
export const maxSuspicionMs = 8_000;

/** Interval of the reports from which a coordinator learns of attempts whose notices were lost. */
export const inFlightReportIntervalMs = 500;

/** Time after which a coordinator removes an attempt that no report mentions: three report intervals. */
export const inFlightExpiryMs = 1_600;

/** Maximum number of attempts per report; 16 of them fit into a datagram that is not fragmented. */
export const maxAttemptsPerReport = 16;

/** Window over which the shares of workspaces are compared; workspace owners measure their share over the same time. */
export const shareWindowMs = 4_000;

/** Time from the end of prefill to the first event at an idle engine, as specified for the engines. */
export const firstEventMs = 30;

/** Weight of prefill time against the queueing time of the request itself: prefill also delays other requests. */
export const prefillWeight = 8;

/**
 * Cost of each request at an engine, as an equivalent of queueing time: it slows the prefill and the tokens of all
 * others. At 5 ms, requests left engines with few requests but a queue too late: p99 of the
 * first byte rose by 11 to 30%.
 */
export const runningRequestCostMs = 1.5;

/** Setup time of a prefix transfer between two engines, in addition to the time on the link. */
export const transferSetupMs = 10;

/**
 * Fraction of the shortest latency target that requests may queue at an engine; the rest is left for the prefill of
 * their own prompt.
 */
export const maxQueueingRatio = 0.75;

/**
 * Minimum fraction of the maximum queueing time up to which workspaces that have just used up their share are admitted.
 * Their limit is otherwise midway between that of workspaces beyond their share and the maximum.
 */
export const fullShareRatio = 0.5;

/**
 * Fraction of the maximum queueing time up to which workspaces beyond their share are admitted, if that is more than
 * `fullBatchQueueMs`.
 */
export const overShareRatio = 0.25;

/**
 * Queued work that an engine needs to run full batches: it prefills up to 1,024 tokens per step, and the prefill of a
 * long prompt takes about 100 ms.
 */
export const fullBatchQueueMs = 100;

/**
 * Maximum fraction of the maximum queueing time that `fullBatchQueueMs` may take; the rest is reserved for workspaces
 * that have used little of their share.
 */
export const maxFullBatchQueueRatio = 0.5;

/**
 * Factor of the queueing time allowed to retried requests that can no longer meet their latency target, because other
 * requests still can.
 */
export const lateRetryRatio = 0.4;

/** Maximum fraction of an engine's KV cache that running requests may take; above it the engine preempts requests. */
export const maxKvCacheRatio = 0.8;

/**
 * Average fraction of the maximum output tokens of running requests that takes KV cache: responses are about half as
 * long as their limit, and half complete on average.
 */
export const averageOutputRatio = 0.25;

/** Maximum fraction of an engine's batch size that is used; filling the batch delays the tokens of all requests. */
export const maxBatchRatio = 0.9;

/** Assumed service time of plain calls at a target without observations. */
export const priorServiceTimeMs = 50;

/**
 * Cost of a target in another failure domain, as an equivalent of queueing time: calls to it cause traffic between
 * failure domains.
 */
export const crossDomainCostMs = 20;

/** Fraction of a cold target's rate limit that the coordinator uses; the rest is left for local placement. */
export const coldGrantRatio = 0.8;

/** Part of a target's rate limit that the routers may use beside the coordinator, while it does not reply to them. */
export const localRateRatio = 0.25;

/** Targets of which a router remembers what they have said; far more than there are at any time. */
export const maxRememberedTargets = 10_000;

/** Window of the routers' shares; a longer one lets each router use a share of less than one request a second. */
export const localRateWindowMs = 4_000;

/** Maximum time after the start of a drain during which requests on open connections are still accepted. */
export const maxDrainAcceptMs = 1_500;

/** Maximum fraction of the grace period for the same; what is accepted last needs the rest to finish. */
export const drainAcceptRatio = 0.25;

/**
 * Time that the responses in progress at an engine must have in reserve for it to take another prompt, as a fraction of the
 * time that the rest of them takes.
 */
export const defaultMinReserveRatio = 0.35;

/** The same for workspaces beyond their share, so that the rest is reserved for those that have used little of theirs. */
export const overShareMinReserveRatio = 0.7;
