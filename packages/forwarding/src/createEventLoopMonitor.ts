/** Measures the utilization of the event loop at intervals, and reports the start and the end of an overload. */
import { performance } from "node:perf_hooks";
import { createOverloadDetector } from "./createOverloadDetector.js";
import type { OverloadState } from "./createOverloadDetector.js";

export interface EventLoopMonitorOptions {
    readonly getNow: () => number;
    readonly onChange: (state: OverloadState, utilization: number) => void;
}

/** Interval between two measurements. */
const intervalMs = 200;

export function createEventLoopMonitor(opts: EventLoopMonitorOptions) {
    const detector = createOverloadDetector();
    let previous = performance.eventLoopUtilization();

    const measure = (): void => {
        const current = performance.eventLoopUtilization();
        const { utilization } = performance.eventLoopUtilization(current, previous);
        previous = current;
        const changed = detector.recordUtilization(utilization, opts.getNow());
        if (changed !== undefined) opts.onChange(changed, utilization);
    };

    const timer = setInterval(measure, intervalMs).unref();
    return {
        isOverloaded: detector.isOverloaded,
        getUtilization: detector.getUtilization,
        stop: () => clearInterval(timer),
    };
}

export type EventLoopMonitor = ReturnType<typeof createEventLoopMonitor>;
