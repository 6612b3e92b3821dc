/** Figures by which requests are placed. Times are in milliseconds. */

/** Time after which an unanswered question to a coordinator is repeated: ten round trips between failure domains. */
export const placementRetryMs = 30;

/** Time after which an entry router places a request by itself; a tenth of the shortest latency target of the users. */
export const placementTimeoutMs = 75;

/**
 * Part of the latency target up to which a router that may start nothing by itself waits for a late answer. After a start of
 * the whole fleet coordinators are slow for some hundred milliseconds, and a request that is refused then comes back late.
 */
export const lateReplyWaitRatio = 0.5;

/** Unanswered questions in a row after which a coordinator is passed over; one may be a lost datagram. */
export const missesBeforeSuspicion = 2;

/** Time without any message after which a coordinator is passed over; one that has just started is slow for as long. */
export const silenceMs = 250;

/** Time for which a silent coordinator is passed over; a restarted process needs about as long to serve again. */
export const firstSuspicionMs = 2_000;

/** Longest time for which it is passed over; each try in vain delays requests, and hosts may be gone for good. */
export const maxSuspicionMs = 8_000;

/** Interval of the reports by which a coordinator learns of attempts whose notices were lost. */
export const inFlightReportIntervalMs = 500;

/** Time after which a coordinator forgets an attempt that no report mentions: three reports. */
export const inFlightExpiryMs = 1_600;

/** Holdings in one message; 16 of them fit into a datagram that is not fragmented. */
export const maxAttemptsPerReport = 16;

/** Window over which the shares of workspaces are compared; the users measure shares over the same time. */
export const shareWindowMs = 4_000;

/** Time from the end of the prompt to the first event at an idle engine, as the users' sheets give it. */
export const firstEventMs = 30;

/** Weight of the time that an engine spends on a prompt, against the waiting of this request: others wait for it too. */
export const prefillWeight = 8;

/** Time in which two engines begin to copy prompt parts, beside the time on the link. */
export const copySetupMs = 10;

/** Part of the shortest latency target that requests may wait at an engine; the rest is for reading their own prompt. */
export const waitRatio = 0.75;

/**
 * Least part of the longest wait up to which workspaces are admitted that have just received their share; otherwise it is
 * midway between that of workspaces beyond their share and the longest.
 */
export const fullShareRatio = 0.5;

/** Part of the longest wait up to which workspaces beyond their share are admitted, if that is more than `busyWaitMs`. */
export const overShareRatio = 0.25;

/**
 * Work that an engine needs waiting so that its steps are full: it reads up to 1,024 tokens in each, and the reading of a
 * long prompt takes about 100 ms.
 */
export const busyWaitMs = 100;

/** Part of the longest wait that `busyWaitMs` may take; the rest is kept for workspaces that have used little. */
export const busyRatio = 0.5;

/** Part of the wait above that is left to requests which came back too late for their latency target: others still can meet it. */
export const lateRatio = 0.4;

/** Part of an engine's memory that running requests may take; above it the engine preempts requests. */
export const memoryRatio = 0.8;

/**
 * Part of the most tokens that running requests may generate which takes memory at any moment: answers are about half as
 * long as their limit, and half done on average.
 */
export const generatedRatio = 0.25;

/** Part of an engine's batch that is used; the last places make all tokens late. */
export const batchRatio = 0.9;

/** Time that a plain call takes at a target of which nothing is known yet. */
export const priorServiceMs = 50;

/** Cost of a target in another failure domain, in milliseconds of waiting: a call there moves bytes between domains. */
export const crossDomainMs = 20;

/** Part of the cold rate that a coordinator grants; the rest is for routers that place requests by themselves. */
export const coldGrantRatio = 0.8;

/** Time after the start of a drain during which requests on open connections are still served. */
export const drainAcceptMs = 1_500;
