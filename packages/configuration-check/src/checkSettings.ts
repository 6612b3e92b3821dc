/** Limits that the checks compare entries with. */

/** Default of the routers' `--max-open-calls-per-workspace`; queued calls are open calls. */
export const maxOpenCallsPerWorkspace = 1_024;

/** Default of the routers' `--drain-timeout`. */
export const drainTimeoutMs = 60_000;

/**
 * Time at a target within the queue timeout below which a share counts as too small. Most responses of a model take
 * longer, so that most requests of the workspace would time out in the queue.
 */
export const minSlotTimeMs = 100;
