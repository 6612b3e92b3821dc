/**
 * Pauses of several followers of one store. While the store is away one of them tries often; the others wait for its
 * success, because calls to a store that is away are counted and priced like all others.
 */

export interface SharedBackoff {
    /** Waits, or less if the store answers meanwhile. */
    readonly wait: (ms: number) => Promise<void>;
    /** The store has answered a call: all pauses end. */
    readonly reset: () => void;
}

export function createSharedBackoff(sleep: (ms: number) => Promise<void>): SharedBackoff {
    let endWait: () => void = () => undefined;
    let wait: Promise<void> | undefined;

    return {
        wait: ms => {
            wait ??= new Promise(resolve => (endWait = resolve));
            return Promise.race([sleep(ms), wait]);
        },
        reset: () => {
            wait = undefined;
            endWait();
        },
    };
}
