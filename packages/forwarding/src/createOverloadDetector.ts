/**
 * Detects that the event loop of this process is too slow for its load. Calls then wait unread for as long as one pass
 * of the event loop takes, and callers disconnect before their calls are read.
 */

export interface OverloadDetector {
    /** Records that a timer fired `delayMs` late at `now`. Returns the new state if it has changed. */
    readonly recordDelay: (delayMs: number, now: number) => OverloadState | undefined;
    readonly isOverloaded: () => boolean;
    /** The last recorded delay, in milliseconds. */
    readonly getDelayMs: () => number;
}

export type OverloadState = "overloaded" | "normal";

/** Delay of a timer from which the event loop counts as slow: a fraction of the callers' shortest latency targets. */
export const slowDelayMs = 100;

/** Duration for which every timer must be slow. A single long pass, such as a garbage collection, is no overload. */
export const overloadAfterMs = 500;

/** Minimum number of slow timers in a row. */
const minSlowSamples = 3;

/**
 * Hysteresis: duration for which no timer may be slow before the overload has ended. It outlasts the two failed health
 * checks, one second apart, after which the load balancer sends new connections elsewhere.
 */
export const normalAfterMs = 2_000;

export function createOverloadDetector(): OverloadDetector {
    let state: OverloadState = "normal";
    let delayMs = 0;
    let slowSamples = 0;
    let slowSince = Infinity;
    let lastSlowAt = -Infinity;

    const computeState = (now: number): OverloadState => {
        if (state === "overloaded") return now - lastSlowAt >= normalAfterMs ? "normal" : "overloaded";
        return slowSamples >= minSlowSamples && now - slowSince >= overloadAfterMs ? "overloaded" : "normal";
    };

    return {
        recordDelay: (newDelayMs, now) => {
            delayMs = newDelayMs;
            if (delayMs < slowDelayMs) {
                slowSamples = 0;
                slowSince = Infinity;
            }
            else {
                slowSamples += 1;
                slowSince = Math.min(slowSince, now - delayMs);
                lastSlowAt = now;
            }
            const newState = computeState(now);
            if (newState === state) return undefined;
            state = newState;
            return state;
        },
        isOverloaded: () => state === "overloaded",
        getDelayMs: () => delayMs,
    };
}
