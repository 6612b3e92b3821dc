/** When refused callers are told to come back. */

/** When callers come back that this router cannot serve now and another one may. */
export const otherRouterRetryAfterMs = 200;

/** Part of its time left after which a refused caller comes back; the users' callers wait a third at most. */
const retryAfterRatio = 0.3;

/** Shortest time after which a refused caller comes back. */
const minRetryAfterMs = 200;

/** When a caller with this time left comes back that no router can serve now. */
export function computeRetryAfter(timeLeftMs: number): number {
    return Math.max(minRetryAfterMs, timeLeftMs * retryAfterRatio);
}
