/**
 * Responses of both versions on one route, in intervals of the time at which the requests were sent: a fault that hits
 * both versions shows in the same interval for both, however late the responses are.
 */
import {
    baselineLatencies,
    baselineNeighbours,
    failureTest,
    intervalMs,
    maxLatenciesPerInterval,
    minBaselineLatencies,
    minDomainFailureRatio,
    minDomainFailures,
    minUncomparedFailureRate,
    slowKnownRatio,
    slowMedianRatio,
    slownessTest,
    slowQuantile,
} from "./rolloutSettings.js";
import { computeBaselineRate, computeLogRatio, type EventCount } from "./runSequentialTest.js";

export interface RouteResponse {
    readonly isNewVersion: boolean;
    readonly isFailure: boolean;
    readonly failureDomain: string | undefined;
    readonly latencyMs: number;
    /** Whether the latency says something about the version. */
    readonly hasLatency: boolean;
}

export interface RouteEvidence {
    /** `interval`: number of the interval in which the request was sent. */
    readonly record: (response: RouteResponse, interval: number) => void;
    /** Per interval, logarithms of likelihood ratios; `undefined` where the new version has no response. */
    readonly computeRatios: (elapsedMs: number) => RouteRatios;
    readonly getTotals: () => RouteTotals;
}

export interface RouteEvidenceOptions {
    /** First interval in which the old version got fewer requests or none, so that nothing hits both versions alike. */
    readonly getUncomparedFrom: () => number;
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
    /** Events are failures. */
    readonly domains: Map<string, EventCount>;
}

interface Interval {
    readonly old: VersionInterval;
    readonly new: VersionInterval;
    hasChanged: boolean;
    failureRatio: number | undefined;
    slowRatio: number | undefined;
    /** Time since the order from which its responses are known, slow ones too. */
    slowKnownFromMs: number;
    slowOld: EventCount;
    slowNew: EventCount;
}

const noEvents: EventCount = { responses: 0, events: 0 };

function createVersionInterval(): VersionInterval {
    return { responses: 0, failures: 0, latencies: [], latencyCount: 0, domains: new Map() };
}

function createInterval(): Interval {
    return {
        old: createVersionInterval(),
        new: createVersionInterval(),
        hasChanged: true,
        failureRatio: undefined,
        slowRatio: undefined,
        slowKnownFromMs: 0,
        slowOld: noEvents,
        slowNew: noEvents,
    };
}

/** Latency above which a response is slow; `undefined` without latencies to compare with. */
function computeSlowLimit(latencies: readonly number[]): number | undefined {
    if (latencies.length < minBaselineLatencies) return undefined;
    const sorted = Float64Array.from(latencies).sort();
    const getQuantile = (quantile: number) => sorted[Math.floor(quantile * (sorted.length - 1))]!;
    return Math.max(getQuantile(slowQuantile), slowMedianRatio * getQuantile(0.5));
}

function countSlow(latencies: readonly number[], limit: number): EventCount {
    return { responses: latencies.length, events: latencies.filter(latency => latency > limit).length };
}

/** The old version's failure rate; 0 if one failure or none is known. */
function computeLocalFailureRate(intervals: readonly Interval[]): number {
    const responses = intervals.reduce((sum, { old }) => sum + old.responses, 0);
    const failures = intervals.reduce((sum, { old }) => sum + old.failures, 0);
    // One failure is no sign of a fault that hits both versions; its rate among few responses would hide all else.
    return failures >= 2 ? (failures + 1) / (responses + 2) : 0;
}

/** The failure domain in which almost all recent failures were, if there are several: a version fails in all of them. */
function findFailingDomain(recent: readonly VersionInterval[]): string | undefined {
    const failures = new Map<string, number>();
    for (const { domains } of recent)
        for (const [name, { events }] of domains) failures.set(name, (failures.get(name) ?? 0) + events);
    if (failures.size < 2) return undefined;
    const [name, worst] = [...failures].reduce((left, right) => right[1] > left[1] ? right : left);
    const total = recent.reduce((sum, sample) => sum + sample.failures, 0);
    return worst >= minDomainFailures && worst >= minDomainFailureRatio * total ? name : undefined;
}

function countOutside({ responses, failures, domains }: VersionInterval, domain: string | undefined): EventCount {
    const excluded = domain === undefined ? noEvents : domains.get(domain) ?? noEvents;
    return { responses: responses - excluded.responses, events: failures - excluded.events };
}

function recordDomain(domains: Map<string, EventCount>, failureDomain: string, isFailure: boolean): void {
    const { responses, events } = domains.get(failureDomain) ?? noEvents;
    domains.set(failureDomain, { responses: responses + 1, events: events + (isFailure ? 1 : 0) });
}

export function createRouteEvidence(opts: RouteEvidenceOptions): RouteEvidence {
    const intervals: Interval[] = [];

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

    /** Latencies of the old version about the time of an interval. */
    const listBaselineLatencies = (index: number): readonly number[] => {
        const latencies = listNeighbours(index).flatMap(({ old }) => old.latencies);
        for (let distance = baselineNeighbours + 1; latencies.length < baselineLatencies; distance++) {
            if (distance > index && distance >= intervals.length - index) break;
            latencies.push(...intervals[index - distance]?.old.latencies ?? []);
            latencies.push(...intervals[index + distance]?.old.latencies ?? []);
        }
        return latencies;
    };

    const updateFailureRatio = (interval: Interval, index: number, total: EventCount): void => {
        interval.failureRatio = undefined;
        if (interval.new.responses === 0) return;
        const neighbours = listNeighbours(index);
        const rateIfCompared = Math.max(computeLocalFailureRate([interval]), computeLocalFailureRate(neighbours));
        const isCompared = index < opts.getUncomparedFrom();
        const localRate = Math.max(rateIfCompared, isCompared ? 0 : minUncomparedFailureRate);
        const rate = computeBaselineRate(total, localRate, failureTest);
        // Without the old version beside it, only other failure domains tell a fault of the version from one of hosts.
        const excluded = isCompared ? undefined : findFailingDomain(neighbours.map(neighbour => neighbour.new));
        const count = countOutside(interval.new, excluded);
        interval.failureRatio = computeLogRatio(count, rate, failureTest);
    };

    const updateSlowRatio = (interval: Interval, index: number, total: EventCount): void => {
        interval.slowRatio = undefined;
        interval.slowOld = interval.slowNew = noEvents;
        if (interval.new.latencies.length === 0) return;
        const baseline = listBaselineLatencies(index);
        const limit = computeSlowLimit(baseline);
        if (limit === undefined) return;
        // Of n latencies, those above the k-th greatest are k - 1, but of further ones the expected fraction is k / (n + 1).
        const localRate = (countSlow(baseline, limit).events + 1) / (baseline.length + 1);
        const isCompared = index < opts.getUncomparedFrom();
        interval.slowKnownFromMs = isCompared ? 0 : (index + 1) * intervalMs + slowKnownRatio * limit;
        interval.slowOld = countSlow(interval.old.latencies, limit);
        interval.slowNew = countSlow(interval.new.latencies, limit);
        interval.slowRatio = computeLogRatio(
            interval.slowNew,
            computeBaselineRate(total, localRate, slownessTest),
            slownessTest,
        );
    };

    const updateChanged = (): void => {
        const totals = countTotals("old");
        const failureTotal = { responses: totals.responses, events: totals.failures };
        const slowTotal = {
            responses: intervals.reduce((sum, { slowOld }) => sum + slowOld.responses, 0),
            events: totals.slow,
        };
        for (const [index, interval] of intervals.entries()) {
            if (!interval.hasChanged) continue;
            interval.hasChanged = false;
            updateFailureRatio(interval, index, failureTotal);
            updateSlowRatio(interval, index, slowTotal);
        }
    };

    const recordLatency = (latencyMs: number, isNewVersion: boolean, interval: Interval): void => {
        const sample = isNewVersion ? interval.new : interval.old;
        sample.latencies[sample.latencyCount % maxLatenciesPerInterval] = latencyMs;
        sample.latencyCount++;
    };

    return {
        record: ({ isNewVersion, isFailure, failureDomain, latencyMs, hasLatency }, index) => {
            const interval = getOrCreateInterval(index);
            const sample = isNewVersion ? interval.new : interval.old;
            sample.responses++;
            if (isFailure) sample.failures++;
            if (failureDomain !== undefined) recordDomain(sample.domains, failureDomain, isFailure);
            if (hasLatency) recordLatency(latencyMs, isNewVersion, interval);
            for (const neighbour of listNeighbours(index)) neighbour.hasChanged = true;
        },
        computeRatios: elapsedMs => {
            updateChanged();
            // After the shift the baseline is complete, but fast responses of a recent interval are known before slow ones.
            const isKnown = (interval: Interval) => elapsedMs >= interval.slowKnownFromMs;
            return {
                failures: intervals.map(interval => interval.failureRatio),
                slowness: intervals.map(interval => isKnown(interval) ? interval.slowRatio : undefined),
            };
        },
        getTotals: () => ({ old: countTotals("old"), new: countTotals("new") }),
    };
}
