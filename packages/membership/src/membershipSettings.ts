/** Timing and bounds of the membership protocol. Durations are in milliseconds. */

/** One regular probe per round; the design page budgets control traffic for this rate. */
export const probeIntervalMs = 500;

/** Time without an acknowledgement after which two other members are asked to probe on behalf of this router. */
export const directTimeoutMs = 300;

/** Time without any acknowledgement, direct or indirect, after which the member is suspected. */
export const probeTimeoutMs = 800;

/** Time that a suspected member has to refute the suspicion. */
export const suspicionTimeoutMs = 2_000;

/**
 * Time for which a suspected member still coordinates its pools. Shorter than the suspicion itself: moving a pool early
 * costs a takeover, while declaring a live member dead gives its slots away.
 */
export const coordinatorGraceMs = 500;

/** Members asked to probe on behalf of this router. */
export const indirectProbeCount = 2;

/** A gap this long between two events means that this process was paused; its timers say nothing about its peers. */
export const pauseThresholdMs = 1_000;

/** Updates about others on one message; more wait for the next one, so that a message stays below about 1 kB. */
export const maxUpdatesPerMessage = 8;

/** Each update is sent this many times log2(members + 1), which reaches every member with high probability. */
export const transmitFactor = 3;

/** Members told to a router that has just joined. Bounds the answer at about 5 kB. */
export const maxUpdatesForJoiner = 64;

/** Rounds between two probes of a member that is dead or was never heard, while other members are alive. */
export const rejoinProbeRounds = 4;

/** Never-heard candidates probed per round, so that a small fleet is complete within a few rounds of a start. */
export const candidateProbesPerRound = 3;

/** Rounds for which a new candidate counts as never heard before it falls back to the rate of `rejoinProbeRounds`. */
export const candidateProbeAttempts = 6;

/** A dead member stays known this long, so that older updates still in circulation cannot revive it. */
export const forgetAfterMs = 60_000;

/** Time for which the send time of a probe is remembered after it timed out. */
export const probeMemoryMs = 5_000;

/** Time within which the answer to a probe on behalf of another member is passed on. */
export const relayTimeoutMs = 2_000;

/** Peers that are told directly when this router leaves. */
export const leavingPeerCount = 3;
