/**
 * Detects that this process has no processor time left: its event loop is never idle. Calls then wait unread in the
 * queue of new connections, although each pass of the event loop is short and timers fire in time.
 */

export interface OverloadDetector {
    /**
     * Records the fraction of the time since the last record in which the event loop was not idle. Returns the new state
     * if it has changed.
     */
    readonly recordUtilization: (utilization: number, now: number) => OverloadState | undefined;
    readonly isOverloaded: () => boolean;
    /** The last recorded utilization, 0 to 1. */
    readonly getUtilization: () => number;
}

export type OverloadState = "overloaded" | "normal";

/** Utilization from which the event loop counts as busy. */
export const busyUtilization = 0.97;

/** Utilization below which the event loop has processor time to spare. */
export const spareUtilization = 0.85;

/** Duration for which the event loop must be busy. A shorter one, such as a garbage collection, is no overload. */
export const overloadAfterMs = 600;

/**
 * Hysteresis: duration for which the event loop must have time to spare before the overload has ended. It outlasts the
 * two failed health checks, one second apart, after which the load balancer sends new connections elsewhere.
 */
export const normalAfterMs = 2_000;

export function createOverloadDetector(): OverloadDetector {
    let state: OverloadState = "normal";
    let utilization = 0;
    let lastNotBusyAt: number | undefined;
    let lastNotSpareAt = 0;

    const computeState = (now: number): OverloadState => {
        if (state === "overloaded") return now - lastNotSpareAt >= normalAfterMs ? "normal" : "overloaded";
        return now - (lastNotBusyAt ?? now) >= overloadAfterMs ? "overloaded" : "normal";
    };

    return {
        recordUtilization: (newUtilization, now) => {
            utilization = newUtilization;
            if (utilization < busyUtilization || lastNotBusyAt === undefined) lastNotBusyAt = now;
            if (utilization >= spareUtilization) lastNotSpareAt = now;
            const newState = computeState(now);
            if (newState === state) return undefined;
            state = newState;
            return state;
        },
        isOverloaded: () => state === "overloaded",
        getUtilization: () => utilization,
    };
}
