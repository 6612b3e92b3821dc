/** Timing and bounds of the configuration slice. Durations are in milliseconds. */

/** Time without confirmation after which a router starts no new work. Leaves 0.5 s of the 3 s of guarantee G4. */
export const staleAfterMs = 2_500;

/**
 * Longest time that the store holds a watch open. An answer may confirm only the time at which it was asked for, so the
 * age of a watcher's configuration reaches twice this value before the next answer.
 */
export const watchTimeoutMs = 500;

/** Watches are shortened by up to this much, so that watchers do not stay in step after a change answers all of them. */
export const watchJitterMs = 100;

/** Time beyond `watchTimeoutMs` after which a watch without an answer counts as a failed check of the store. */
export const watchGraceMs = 300;

/** Time after which a read of everything without an answer counts as a failed check of the store. */
export const readGraceMs = 1_000;

/** A call without any answer is given up after this time, in case the answer was lost inside the process. */
export const callLostAfterMs = 10_000;

/** Least time between two watches, in case the store answers at once without changes. */
export const callSpacingMs = 50;

export const firstBackoffMs = 100;
export const maxBackoffMs = 1_000;

/** Age of the confirmation by peers at which a router calls the store itself. Above the age that is usual for peers. */
export const suspectAfterMs = 1_400;

/** Slows calls of routers that are not watchers: with waits shortened by up to half, the fleet makes about 130 a second. */
export const callPaceMsPerRouter = 10;

/** Time between two reads of the host list by a watcher. */
export const listHostsIntervalMs = 1_000;

/** A router that is no watcher reads the host list itself once its knowledge is older than this. */
export const hostsUnknownAfterMs = 2_000;

/** Each router reads the whole list this often, or a tenth as often as its pace: peers tell only the number of routers. */
export const routersUnknownAfterMs = 30_000;

/** A host list read without an answer is repeated after this time. */
export const listHostsLostAfterMs = 5_000;

/** Routers per failure domain that watch the store: one may fail without delaying changes. */
export const watchersPerDomain = 2;

/** Routers that ask the same router for confirmation. Bounds its work and keeps 110 routers within two levels. */
export const confirmationFanout = 8;

/** Age of the confirmation at which a router asks a peer for a newer one. */
export const confirmAfterMs = 500;

/** Least time between two such questions. */
export const confirmSpacingMs = 250;

/** Age at which the majority is polled faster, because the router would soon be stale. */
export const urgentAfterMs = 1_600;

/** Polls per tick in a suspected outage of the store, at normal and at urgent age. */
export const pollsPerTick = 1;
export const urgentPollsPerTick = 3;

/** Votes needed at most, this router included. Larger fleets rely on membership for the majority. */
export const maxVotesNeeded = 16;

/** Peers to which a change is pushed on first receipt. */
export const pushFanout = 3;

/** Resources in one update, and their approximate size; larger answers are split. */
export const maxResourcesPerUpdate = 200;
export const maxUpdateBytes = 1_000_000;

/** Time after which a request for missing changes is repeated. */
export const requestTimeoutMs = 500;

/** Changes that are logged one by one; larger batches get one line. */
export const maxChangesLogged = 20;

/** Ranges of changes held beyond a gap; a router that misses more than this asks for all of them. */
export const maxRevisionRanges = 64;

/** Wait before the first call after a start, in which peers can send their configuration instead of the store. */
export const firstCallDelayMs = 600;
