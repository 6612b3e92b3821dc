/** Limits of the target client; sizes in bytes, durations in milliseconds. */

export interface TargetLimits {
    readonly connectTimeoutMs: number;
    readonly maxHeaderBytes: number;
    /** Largest single event of a stream. */
    readonly maxEventBytes: number;
    /** Largest answer of a model that is not streamed; it is checked as a whole before it is passed on. */
    readonly maxJsonBytes: number;
    /** An answer of a plain service up to this size is passed on only when complete, so that a break can be retried. */
    readonly holdBytes: number;
    /** Most informational answers (1xx) before the final one; each of them restarts the idle timeout. */
    readonly maxInformational: number;
    readonly pollTimeoutMs: number;
    /** Shortest time between two reports of progress. */
    readonly progressIntervalMs: number;
}

export const defaultTargetLimits: TargetLimits = {
    connectTimeoutMs: 1_000,
    maxHeaderBytes: 16_384,
    maxEventBytes: 1_048_576,
    maxJsonBytes: 16_777_216,
    holdBytes: 65_536,
    maxInformational: 8,
    pollTimeoutMs: 1_000,
    progressIntervalMs: 100,
};
