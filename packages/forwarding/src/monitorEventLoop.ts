/** Measures at intervals how late timers fire, and reports when the event loop becomes too slow or fast enough again. */
import { createOverloadDetector } from "./createOverloadDetector.js";
import type { OverloadState } from "./createOverloadDetector.js";

export interface EventLoopMonitorOptions {
    readonly getNow: () => number;
    readonly onChange: (state: OverloadState, delayMs: number) => void;
}

/** Interval between two measurements. */
const intervalMs = 100;

export function monitorEventLoop(opts: EventLoopMonitorOptions) {
    const detector = createOverloadDetector();
    let timer: NodeJS.Timeout | undefined;

    const schedule = (): void => {
        const dueAt = opts.getNow() + intervalMs;
        timer = setTimeout(() => {
            const now = opts.getNow();
            const delayMs = Math.max(0, now - dueAt);
            const changed = detector.recordDelay(delayMs, now);
            if (changed !== undefined) opts.onChange(changed, delayMs);
            schedule();
        }, intervalMs).unref();
    };

    schedule();
    return {
        isOverloaded: detector.isOverloaded,
        getDelayMs: detector.getDelayMs,
        stop: () => clearTimeout(timer),
    };
}

export type EventLoopMonitor = ReturnType<typeof monitorEventLoop>;
