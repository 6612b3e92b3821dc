/** Lets the followers of the store watch only the kinds that are not relayed by other routers. */
import type { ViewKind } from "@rhubarbwheel/types/fleet";
import { initialWatchedKinds } from "./createRelaySelector.js";

export interface StoreGateOptions {
    /** Maximum random delay after a kind has been opened; many routers may lose their relays at the same moment. */
    readonly spreadMs: number;
    /** Random number in [0, 1). */
    readonly random: () => number;
    readonly sleep: (ms: number) => Promise<void>;
}

export function createStoreGate(opts: StoreGateOptions) {
    let openKinds: readonly ViewKind[] = initialWatchedKinds;
    let changed: Promise<void> = Promise.resolve();
    let resolveChanged: () => void = () => undefined;

    const waitForChange = (): void => {
        changed = new Promise(resolve => (resolveChanged = resolve));
    };
    waitForChange();

    return {
        /** Opens these kinds, and closes the others. */
        setOpenKinds: (kinds: readonly ViewKind[]): void => {
            openKinds = kinds;
            resolveChanged();
            waitForChange();
        },
        /** Resolves at once while the kind is open; otherwise a random time after it has been opened. */
        waitUntilOpen: async (kind: ViewKind): Promise<void> => {
            while (!openKinds.includes(kind)) {
                await changed;
                if (openKinds.includes(kind)) await opts.sleep(opts.spreadMs * opts.random());
            }
        },
    };
}

export type StoreGate = ReturnType<typeof createStoreGate>;
