/**
 * Pauses of several followers of one store. While the store is away one of them tries often; the others wait for its
 * success, because calls to a store that is away are counted and priced like all others.
 */

export interface SharedPause {
    /** Waits, or less if the store answers meanwhile. */
    readonly pause: (ms: number) => Promise<void>;
    /** The store has answered a call: all pauses end. */
    readonly end: () => void;
}

export function createSharedPause(sleep: (ms: number) => Promise<void>): SharedPause {
    let endWait: () => void = () => undefined;
    let wait: Promise<void> | undefined;

    return {
        pause: ms => {
            wait ??= new Promise(resolve => (endWait = resolve));
            return Promise.race([sleep(ms), wait]);
        },
        end: () => {
            wait = undefined;
            endWait();
        },
    };
}
