/** Event loop of the router: reduces events one at a time and runs their effects in order. */
import type { RouterEvent } from "@rhubarbwheel/types/events";

export type WithoutNow<T> = T extends unknown ? Omit<T, "now"> : never;

/** An event without its timestamp, which the loop sets when it reduces the event. */
export type UnstampedEvent = WithoutNow<RouterEvent>;

export interface EventLoopOptions<E extends { readonly now: number; }, F> {
    readonly reduce: (event: E) => readonly F[];
    readonly runEffect: (effect: F) => void;
    /** Monotonic time in milliseconds. */
    readonly getNow: () => number;
    readonly reportError: (error: unknown, event: E | F) => void;
    /** Called each time that the event queue becomes empty. */
    readonly onIdle?: () => void;
}

/** Events dispatched while another event is being reduced are queued. */
export function createEventLoop<E extends { readonly now: number; }, F>(opts: EventLoopOptions<E, F>) {
    const queue: WithoutNow<E>[] = [];
    let reducing = false;

    const runEffects = (effects: readonly F[]) => {
        for (const effect of effects) {
            try {
                opts.runEffect(effect);
            }
            catch (error) {
                opts.reportError(error, effect);
            }
        }
    };

    const reduceEvent = (unstamped: WithoutNow<E>) => {
        const event = { ...unstamped, now: opts.getNow() } as unknown as E;
        try {
            runEffects(opts.reduce(event));
        }
        catch (error) {
            opts.reportError(error, event);
        }
    };

    return {
        dispatch: (event: WithoutNow<E>) => {
            queue.push(event);
            if (reducing) return;
            reducing = true;
            for (let next = queue.shift(); next !== undefined; next = queue.shift()) reduceEvent(next);
            reducing = false;
            opts.onIdle?.();
        },
    };
}

export type Dispatch = (event: UnstampedEvent) => void;
