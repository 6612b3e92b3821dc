/**
 * Backoff shared by several followers of one store. While the store is unavailable, one follower retries often and the
 * others wait for its success, because requests to an unavailable store are counted and billed like any other.
 */

export interface SharedBackoff {
    /** Waits for `ms`, or until the next `reset` if that comes first. */
    readonly wait: (ms: number) => Promise<void>;
    /** Ends all waits, after the store has responded to a request. */
    readonly reset: () => void;
}

export function createSharedBackoff(sleep: (ms: number) => Promise<void>): SharedBackoff {
    let endWaits: () => void = () => undefined;
    let untilReset: Promise<void> | undefined;

    return {
        wait: ms => {
            untilReset ??= new Promise(resolve => (endWaits = resolve));
            return Promise.race([sleep(ms), untilReset]);
        },
        reset: () => {
            untilReset = undefined;
            endWaits();
        },
    };
}
