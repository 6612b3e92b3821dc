/**
 * Responses of both versions on one route, in intervals of the time at which the requests were sent: a fault that hits
 * both versions shows in the same interval for both, however late the responses are.
 */
import {
    baselineNeighbours,
    failureTest,
    maxLatenciesPerInterval,
    maxRecentLatencies,
    minBaselineLatencies,
    slowMedianRatio,
    slownessTest,
    slowQuantile,
} from "./rolloutSettings.js";
import { computeBaselineRate, computeLogRatio, type EventCount } from "./runSequentialTest.js";

export interface RouteResponse {
    readonly isNewVersion: boolean;
    readonly isFailure: boolean;
    readonly latencyMs: number;
    /** Whether the latency says something about the version. */
    readonly hasLatency: boolean;
}

export interface RouteEvidence {
    /** `interval`: number of the interval in which the request was sent. `isCompared`: both versions get requests. */
    readonly record: (response: RouteResponse, interval: number, isCompared: boolean) => void;
    /** Per interval, logarithms of likelihood ratios; `undefined` where the new version has no response. */
    readonly evaluate: () => RouteRatios;
    readonly getTotals: () => RouteTotals;
}

export interface RouteRatios {
    readonly failures: readonly (number | undefined)[];
    readonly slowness: readonly (number | undefined)[];
}

export interface VersionTotals {
    readonly responses: number;
    readonly failures: number;
    /** Among the responses whose latency was compared. */
    readonly slow: number;
}

export interface RouteTotals {
    readonly old: VersionTotals;
    readonly new: VersionTotals;
}

interface VersionInterval {
    responses: number;
    failures: number;
    /** A ring of the most recent ones. */
    readonly latencies: number[];
    latencyCount: number;
}

interface Interval {
    readonly old: VersionInterval;
    readonly new: VersionInterval;
    hasChanged: boolean;
    failureRatio: number | undefined;
    slowRatio: number | undefined;
    slowOld: EventCount;
    slowNew: EventCount;
}

const noEvents: EventCount = { responses: 0, events: 0 };

function createVersionInterval(): VersionInterval {
    return { responses: 0, failures: 0, latencies: [], latencyCount: 0 };
}

function createInterval(): Interval {
    return {
        old: createVersionInterval(),
        new: createVersionInterval(),
        hasChanged: true,
        failureRatio: undefined,
        slowRatio: undefined,
        slowOld: noEvents,
        slowNew: noEvents,
    };
}

/** Latency above which a response is slow; `undefined` without latencies to compare with. */
function computeSlowLimit(latencies: readonly number[]): number | undefined {
    if (latencies.length < minBaselineLatencies) return undefined;
    const sorted = latencies.toSorted((left, right) => left - right);
    const pick = (quantile: number) => sorted[Math.floor(quantile * (sorted.length - 1))]!;
    return Math.max(pick(slowQuantile), slowMedianRatio * pick(0.5));
}

function countSlow(latencies: readonly number[], limit: number): EventCount {
    return { responses: latencies.length, events: latencies.filter(latency => latency > limit).length };
}

export function createRouteEvidence(): RouteEvidence {
    const intervals: Interval[] = [];
    const recentLatencies: number[] = [];

    const getOrCreateInterval = (index: number): Interval => {
        while (intervals.length <= index) intervals.push(createInterval());
        return intervals[index]!;
    };

    const listNeighbours = (index: number): readonly Interval[] =>
        intervals.slice(Math.max(0, index - baselineNeighbours), index + baselineNeighbours + 1);

    const countTotals = (version: "old" | "new"): VersionTotals => {
        const totals = { responses: 0, failures: 0, slow: 0 };
        for (const interval of intervals) {
            totals.responses += interval[version].responses;
            totals.failures += interval[version].failures;
            totals.slow += (version === "old" ? interval.slowOld : interval.slowNew).events;
        }
        return totals;
    };

    const evaluateFailures = (interval: Interval, neighbours: readonly Interval[], total: EventCount): void => {
        interval.failureRatio = undefined;
        if (interval.new.responses === 0) return;
        const local = {
            responses: neighbours.reduce((sum, { old }) => sum + old.responses, 0),
            events: neighbours.reduce((sum, { old }) => sum + old.failures, 0),
        };
        const rate = computeBaselineRate(total, local, failureTest);
        const count = { responses: interval.new.responses, events: interval.new.failures };
        interval.failureRatio = computeLogRatio(count, rate, failureTest);
    };

    const evaluateSlowness = (interval: Interval, neighbours: readonly Interval[], total: EventCount): void => {
        interval.slowRatio = undefined;
        interval.slowOld = interval.slowNew = noEvents;
        const localLatencies = neighbours.flatMap(({ old }) => old.latencies);
        const limit = computeSlowLimit(
            localLatencies.length >= minBaselineLatencies ? localLatencies : recentLatencies,
        );
        if (limit === undefined) return;
        interval.slowOld = countSlow(interval.old.latencies, limit);
        if (interval.new.latencies.length === 0) return;
        const rate = computeBaselineRate(total, countSlow(localLatencies, limit), slownessTest);
        interval.slowNew = countSlow(interval.new.latencies, limit);
        interval.slowRatio = computeLogRatio(interval.slowNew, rate, slownessTest);
    };

    const evaluateChanged = (): void => {
        const totals = countTotals("old");
        const failureTotal = { responses: totals.responses, events: totals.failures };
        const slowTotal = {
            responses: intervals.reduce((sum, { slowOld }) => sum + slowOld.responses, 0),
            events: totals.slow,
        };
        for (const [index, interval] of intervals.entries()) {
            if (!interval.hasChanged) continue;
            interval.hasChanged = false;
            const neighbours = listNeighbours(index);
            evaluateFailures(interval, neighbours, failureTotal);
            evaluateSlowness(interval, neighbours, slowTotal);
        }
    };

    const recordLatency = (latencyMs: number, isNewVersion: boolean, interval: Interval, isCompared: boolean): void => {
        const sample = isNewVersion ? interval.new : interval.old;
        sample.latencies[sample.latencyCount % maxLatenciesPerInterval] = latencyMs;
        sample.latencyCount++;
        // After the shift, only the slowest responses of the old version are still to come.
        if (isNewVersion || !isCompared) return;
        recentLatencies.push(latencyMs);
        if (recentLatencies.length > maxRecentLatencies) recentLatencies.shift();
    };

    return {
        record: ({ isNewVersion, isFailure, latencyMs, hasLatency }, index, isCompared) => {
            const interval = getOrCreateInterval(index);
            const sample = isNewVersion ? interval.new : interval.old;
            sample.responses++;
            if (isFailure) sample.failures++;
            if (hasLatency) recordLatency(latencyMs, isNewVersion, interval, isCompared);
            for (const neighbour of listNeighbours(index)) neighbour.hasChanged = true;
        },
        evaluate: () => {
            evaluateChanged();
            return {
                failures: intervals.map(interval => interval.failureRatio),
                slowness: intervals.map(interval => interval.slowRatio),
            };
        },
        getTotals: () => ({ old: countTotals("old"), new: countTotals("new") }),
    };
}
