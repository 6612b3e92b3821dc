/**
 * Divides the time within which a change must take effect, so that it is kept by a router whose relays stop hearing from
 * the store just before the change.
 */

export interface WatchTimes {
    /** Maximum duration of one watch of the store. */
    readonly watchTimeoutMs: number;
    /** Delay after a change, so that several in quick succession are read in one request. */
    readonly debounceMs: number;
    /** Maximum age of a relay's confirmation by the store; an older one does not replace an own watch. */
    readonly relayMaxAgeMs: number;
}

/** Interval between requests for a confirmation to a relay, by which a confirmation may be older than at the relay. */
export const relayPingIntervalMs = 450;

/** Maximum random delay of the first watch after relays were lost, as all their followers lose them at once. */
export const storeWatchSpreadMs = 200;

/** Time for the responses of the store and of the relay, so that a relay is confirmed again before its age is too high. */
const minResponseMarginMs = 150;

/** The same for relays on busy hosts, where the bound allows it. */
const maxResponseMarginMs = 350;

/** Time from the detection of old confirmations to the response of the store, beyond the random delay. */
const reactionMs = 300;

/** Shorter watches would cost the store more than a longer reaction costs callers. */
const minWatchTimeoutMs = 300;

/**
 * `applyMs` is the time within which a change must take effect, `maxTimes` the times for one that has as long as it
 * likes.
 */
export function computeWatchTimes(
    applyMs: number,
    maxTimes: Pick<WatchTimes, "watchTimeoutMs" | "debounceMs">,
): WatchTimes {
    const maxAgeMs = applyMs - storeWatchSpreadMs - reactionMs;
    const watchTimeoutMs = Math.max(
        minWatchTimeoutMs,
        Math.min(maxTimes.watchTimeoutMs, maxAgeMs - maxTimes.debounceMs - relayPingIntervalMs - minResponseMarginMs),
    );
    const confirmationIntervalMs = watchTimeoutMs + maxTimes.debounceMs + relayPingIntervalMs;
    return {
        watchTimeoutMs,
        debounceMs: maxTimes.debounceMs,
        relayMaxAgeMs: Math.max(
            confirmationIntervalMs + minResponseMarginMs,
            Math.min(maxAgeMs, confirmationIntervalMs + maxResponseMarginMs),
        ),
    };
}
