/** Timing and limits of the membership protocol. Durations are in milliseconds. */

/** Interval between probe rounds, with one regular probe each; the budget for control traffic is based on this rate. */
export const probeIntervalMs = 500;

/** Time without an acknowledgement after which `indirectProbeCount` members are asked for an indirect probe. */
export const directProbeTimeoutMs = 300;

/** Time without a direct or indirect acknowledgement after which a member is suspected. */
export const probeTimeoutMs = 800;

/** Time in which a suspected member can refute the suspicion before it is declared dead. */
export const suspicionTimeoutMs = 2_000;

/**
 * Time for which a suspected member still coordinates its pools. Shorter than the suspicion timeout: moving a pool
 * early costs only a takeover, while declaring a live member dead also reassigns its slots.
 */
export const coordinatorGraceMs = 500;

/** Number of members asked for an indirect probe. */
export const indirectProbeCount = 2;

/** Gap between two events that shows that this process was paused, so that its timers say nothing about its peers. */
export const pauseThresholdMs = 1_000;

/** Maximum number of queued updates per message, which keeps a message below about 1 kB; the rest follow later. */
export const maxUpdatesPerMessage = 8;

/** Each update is sent this many times log2(members + 1) times, which reaches every member with high probability. */
export const retransmitFactor = 3;

/** Maximum number of members sent to a joining router, which limits the acknowledgement to about 5 kB. */
export const maxUpdatesForJoiner = 64;

/** Rounds between probes of members that are dead or have never replied, while other members are alive. */
export const rejoinProbeIntervalRounds = 4;

/** New candidates probed per round, so that a small fleet is complete within a few rounds after a start. */
export const candidateProbesPerRound = 3;

/** Probes sent to a new candidate before it falls back to the rate of `rejoinProbeIntervalRounds`. */
export const candidateProbeAttempts = 6;

/** Time for which a dead member is remembered, so that older updates still in circulation cannot revive it. */
export const forgetAfterMs = 60_000;

/** Time for which a sent probe is remembered, longer than its timeout, for the send time of a late acknowledgement. */
export const sentProbeTtlMs = 5_000;

/** Time in which the acknowledgement of an indirect probe is relayed to the requester. */
export const relayTimeoutMs = 2_000;

/** Number of peers that are notified directly when this router leaves. */
export const leaveFanout = 3;
