/** Limits of the target client. */
export interface TargetLimits {
    readonly connectTimeoutMs: number;
    readonly maxHeaderBytes: number;
    /** Maximum size of one event of a stream. */
    readonly maxEventBytes: number;
    /** Maximum size of a model's JSON response, which is buffered and checked as a whole before it is relayed. */
    readonly maxJsonBytes: number;
    /** A plain service's response up to this size is relayed only when complete, so that a failure can be retried. */
    readonly maxBufferedBytes: number;
    /** Maximum number of informational responses (1xx) before the final one; each of them restarts the idle timeout. */
    readonly maxInformationalResponses: number;
    readonly pollTimeoutMs: number;
    /** Minimum interval between two progress reports. */
    readonly progressIntervalMs: number;
}

export const defaultTargetLimits: TargetLimits = {
    connectTimeoutMs: 1_000,
    maxHeaderBytes: 16_384,
    maxEventBytes: 1_048_576,
    maxJsonBytes: 16_777_216,
    maxBufferedBytes: 65_536,
    maxInformationalResponses: 8,
    pollTimeoutMs: 1_000,
    progressIntervalMs: 100,
};
