/** Reads the statistics of target stand-ins and summarizes samples. */
import { readJson } from "./startFleet.js";
import type { RunningTarget } from "./startFleet.js";

export interface TargetStats {
    readonly concurrency: number;
    readonly maxConcurrency: number;
    readonly maxColdConcurrency: number;
    readonly fellOver: number;
    readonly cold: boolean;
    /** Number of completed requests. */
    readonly completed: number;
    /** Time since the last request started. */
    readonly lastEnteredAgeMs?: number;
}

export function readTargetStats(targets: readonly RunningTarget[]): Promise<readonly TargetStats[]> {
    return Promise.all(targets.map(target => readJson<TargetStats>(`${target.url}/control/stats`)));
}

/** Requests in progress at all targets, divided by the sum of the target limits. */
export async function sampleUtilisation(targets: readonly RunningTarget[], targetLimit: number): Promise<number> {
    const stats = await readTargetStats(targets);
    return stats.reduce((sum, entry) => sum + entry.concurrency, 0) / (targetLimit * targets.length);
}

export function computeMean(values: readonly number[]): number {
    return values.length === 0 ? 0 : values.reduce((sum, value) => sum + value, 0) / values.length;
}

/** Value below which the fraction `quantile` of the values lies; 0 for no values. */
export function computeQuantile(values: readonly number[], quantile: number): number {
    const sorted = [...values].sort((first, second) => first - second);
    return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * quantile))] ?? 0;
}
