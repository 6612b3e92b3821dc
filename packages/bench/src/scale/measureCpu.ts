/** CPU time of this process, which is less affected by other load on the machine than elapsed time. */
import { computeMedian, fitLine } from "./fitLine.js";
import type { Line, Point } from "./fitLine.js";

const sampleCount = 5;
/** Shorter samples are dominated by the cost of reading the counters and by single garbage collections. */
const minSampleUs = 8_000;
/** Costs fall for about the first 200 ms, until the JIT compiler has optimized the code. */
const firstWarmUpUs = 250_000;
/** Further sizes run code that is already optimized. */
const laterWarmUpUs = 60_000;
const maxRunsPerSample = 20_000;

export function readCpuUs(): number {
    const { user, system } = process.cpuUsage();
    return user + system;
}

function measureRunsUs(run: () => void, runs: number): number {
    const startedAt = readCpuUs();
    for (let count = 0; count < runs; count++) run();
    return readCpuUs() - startedAt;
}

/**
 * Runs the function until its cost is stable, then returns the median cost per run in microseconds. `isFirst` is false
 * for code that has already been measured at another size.
 */
export function measureCpuUs(run: () => void, isFirst = true): number {
    const warmUpUs = isFirst ? firstWarmUpUs : laterWarmUpUs;
    let runs = 1;
    for (let totalUs = 0; totalUs < warmUpUs;) {
        const usedUs = measureRunsUs(run, runs);
        totalUs += usedUs;
        if (usedUs < minSampleUs) runs = Math.min(runs * 2, maxRunsPerSample);
    }
    return computeMedian(Array.from({ length: sampleCount }, () => measureRunsUs(run, runs) / runs));
}

/** Measures the cost per run at each size and fits a line. */
export function measureCpuLine(sizes: readonly number[], createRun: (size: number) => () => void): Line & {
    readonly points: readonly Point[];
} {
    const points = sizes.map((size, index) => ({ size, value: measureCpuUs(createRun(size), index === 0) }));
    return { ...fitLine(points), points };
}
