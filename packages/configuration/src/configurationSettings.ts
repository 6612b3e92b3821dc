/** Timing and limits of the configuration slice. Durations are in milliseconds. */

/**
 * Age of the confirmation beyond which a router starts no new work: 0.5 s less than the 3 s in which an accepted change
 * must take effect (guarantee G4).
 */
export const staleAfterMs = 2_500;

/**
 * Maximum time for which the store holds a watch open. A response confirms only the time at which its request was sent,
 * so the age of a watcher's configuration reaches up to twice this value before the next response.
 */
export const watchTimeoutMs = 500;

/** Maximum jitter by which a watch is shortened, so that watches stay spread after a change has ended all of them. */
export const watchJitterMs = 100;

/** Time beyond the watch timeout after which a watch without a response counts as a failed check of the store. */
export const watchGraceMs = 300;

/** Time after which a full read without a response counts as a failed check of the store. */
export const readGraceMs = 1_000;

/** Time after which an outstanding store request is abandoned, in case its result was lost inside the process. */
export const storeRequestExpiryMs = 10_000;

/** Minimum interval between watches, in case the store responds immediately without changes. */
export const minStoreRequestIntervalMs = 50;

export const initialBackoffMs = 100;
export const maxBackoffMs = 1_000;

/** Age of the confirmation by peers at which a router sends requests to the store itself; above the usual age. */
export const suspectAfterMs = 1_400;

/**
 * Interval between the store requests of a router that is not a watcher, for each router of the fleet. Jitter shortens
 * the interval by up to half, so the fleet sends about 130 requests a second.
 */
export const storeRequestIntervalMsPerRouter = 10;

/** Interval between a watcher's reads of the host list. */
export const listHostsIntervalMs = 1_000;

/** Age of the known host list at which a router that is not a watcher reads it itself. */
export const maxHostListAgeMs = 2_000;

/**
 * Interval between a router's own reads of the host list, or ten of its request intervals if that is longer. Needed
 * because peers report only the number of routers.
 */
export const maxRouterListAgeMs = 30_000;

/** Time after which a read of the host list without a response is retried. */
export const listHostsTimeoutMs = 5_000;

/** Routers per failure domain that watch the store; with two, one may fail without delaying changes. */
export const watchersPerDomain = 2;

/**
 * Maximum number of routers that ask the same router for confirmation. Limits its load, and places 110 routers on two
 * levels.
 */
export const confirmationFanout = 8;

/** Age of the confirmation at which a router asks a peer for a newer one. */
export const confirmAfterMs = 500;

/** Minimum interval between requests to peers for a newer confirmation. */
export const minConfirmIntervalMs = 250;

/** Age of the confirmation at which peers are polled faster, because the router will soon be stale. */
export const urgentAfterMs = 1_600;

/** Peers polled per tick in a suspected outage of the store, below and from `urgentAfterMs`. */
export const pollsPerTick = 1;
export const urgentPollsPerTick = 3;

/** Maximum number of votes required, this router's included. In larger fleets membership establishes the majority. */
export const maxRequiredVotes = 16;

/** Number of peers to which a change is pushed on first receipt. */
export const pushFanout = 3;

/** Maximum number of resources in an update message, and their approximate maximum size; larger updates are split. */
export const maxResourcesPerUpdate = 200;
export const maxUpdateBytes = 1_000_000;

/** Time after which a request for missing changes is retried. */
export const requestTimeoutMs = 500;

/** Maximum number of changes that are logged individually; a larger batch is logged as one event. */
export const maxChangesLogged = 20;

/** Maximum number of revision ranges held beyond a gap. Ranges over the limit are dropped and requested again. */
export const maxRevisionRanges = 64;

/** Delay before the first store request after a start, in which peers can send their configuration instead. */
export const firstStoreRequestDelayMs = 600;
