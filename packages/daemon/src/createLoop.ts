/** The one loop of the process: reduces events one at a time and runs their effects in order. */
import type { Effect } from "@rhubarbwheel/types/effects";
import type { RouterEvent } from "@rhubarbwheel/types/events";

type WithoutNow<T> = T extends unknown ? Omit<T, "now"> : never;

/** An event before the loop has stamped it with the time at which it is reduced. */
export type UnstampedEvent = WithoutNow<RouterEvent>;

export interface LoopOptions {
    readonly reduce: (event: RouterEvent) => readonly Effect[];
    readonly runEffect: (effect: Effect) => void;
    /** Monotonic time in milliseconds. */
    readonly getNow: () => number;
    readonly reportError: (error: unknown, event: RouterEvent | Effect) => void;
}

/** Creates the loop. Events dispatched while another event is being reduced wait for their turn. */
export function createLoop(opts: LoopOptions) {
    const pending: UnstampedEvent[] = [];
    let reducing = false;

    const runEffects = (effects: readonly Effect[]) => {
        for (const effect of effects) {
            try {
                opts.runEffect(effect);
            }
            catch (error) {
                opts.reportError(error, effect);
            }
        }
    };

    const reduceOne = (unstamped: UnstampedEvent) => {
        const event = { ...unstamped, now: opts.getNow() } as RouterEvent;
        try {
            runEffects(opts.reduce(event));
        }
        catch (error) {
            opts.reportError(error, event);
        }
    };

    return {
        dispatch: (event: UnstampedEvent) => {
            pending.push(event);
            if (reducing) return;
            reducing = true;
            for (let next = pending.shift(); next !== undefined; next = pending.shift()) reduceOne(next);
            reducing = false;
        },
    };
}

export type Dispatch = (event: UnstampedEvent) => void;
