/** Processor time of this process, which other processes on a busy machine influence less than elapsed time. */
import { computeLine, computeMedian } from "./computeLine.js";
import type { Line, Point } from "./computeLine.js";

const sampleCount = 5;
/** A sample shorter than this is dominated by the cost of reading the counters and by single collections of garbage. */
const minimumSampleUs = 8_000;
/** Trials show falling costs for about the first 200 ms, until the compiler has optimized the code. */
const warmUpUs = 250_000;
/** Other sizes run the same code. */
const furtherWarmUpUs = 60_000;
const maxCallsPerSample = 20_000;

export function readCpuUs(): number {
    const { user, system } = process.cpuUsage();
    return user + system;
}

function measureCalls(run: () => void, calls: number): number {
    const startedAt = readCpuUs();
    for (let call = 0; call < calls; call++) run();
    return readCpuUs() - startedAt;
}

/**
 * Runs the function until its cost is stable, then returns the median cost of a call in microseconds. `isFirst` is false
 * for code that was measured before at another size.
 */
export function measureCpuUs(run: () => void, isFirst = true): number {
    const warmUp = isFirst ? warmUpUs : furtherWarmUpUs;
    let calls = 1;
    for (let total = 0; total < warmUp;) {
        const used = measureCalls(run, calls);
        total += used;
        if (used < minimumSampleUs) calls = Math.min(calls * 2, maxCallsPerSample);
    }
    return computeMedian(Array.from({ length: sampleCount }, () => measureCalls(run, calls) / calls));
}

/** Measures the cost of a call at each size and fits a line. */
export function measureCpuLine(sizes: readonly number[], createRun: (size: number) => () => void): Line & {
    readonly points: readonly Point[];
} {
    const points = sizes.map((size, index) => ({ size, value: measureCpuUs(createRun(size), index === 0) }));
    return { ...computeLine(points), points };
}
