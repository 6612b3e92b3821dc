/** Retry delays for refused callers. */

/** Retry delay if another router may be able to serve the caller. */
export const otherRouterRetryAfterMs = 200;

/** Retry delay if waiting does not help, so that the caller learns at once that it has to send another call instead. */
export const finalRetryAfterMs = 0;

/** Fraction of its remaining time after which a refused caller should retry; callers wait for at most a third. */
const retryAfterRatio = 0.3;

/** Minimum retry delay. */
const minRetryAfterMs = 200;

/** Retry delay in milliseconds for a caller with this remaining time, if no router can serve it now. */
export function computeRetryAfterMs(timeLeftMs: number): number {
    return Math.max(minRetryAfterMs, timeLeftMs * retryAfterRatio);
}
