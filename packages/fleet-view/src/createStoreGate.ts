/** Lets the followers of the store watch it only while that is needed. */

export interface StoreGateOptions {
    /** Maximum random delay after the gate has opened; many routers may open theirs at the same moment. */
    readonly spreadMs: number;
    /** Random number in [0, 1). */
    readonly random: () => number;
    readonly sleep: (ms: number) => Promise<void>;
}

export function createStoreGate(opts: StoreGateOptions) {
    let isOpen = true;
    let opened: Promise<void> | undefined;
    let resolveOpened: () => void = () => undefined;

    return {
        setOpen: (value: boolean): void => {
            isOpen = value;
            if (!isOpen) opened ??= new Promise(resolve => (resolveOpened = resolve));
            else {
                opened = undefined;
                resolveOpened();
            }
        },
        /** Resolves at once while the gate is open; otherwise a random time after it has opened. */
        waitUntilOpen: async (): Promise<void> => {
            while (!isOpen) {
                await opened;
                await opts.sleep(opts.spreadMs * opts.random());
            }
        },
    };
}

export type StoreGate = ReturnType<typeof createStoreGate>;
