/** Evidence about a new version, per route and over all routes, and the sums of its sequential tests. */
import type { PlacedAttemptResult } from "@rhubarbwheel/types/placement";
import { createRouteEvidence, type RouteEvidence, type RouteRatios, type RouteTotals } from "./createRouteEvidence.js";
import { intervalMs } from "./rolloutSettings.js";
import { runSequentialTest, type SequentialTestResult } from "./runSequentialTest.js";

export interface RolloutOutcome {
    readonly route: string;
    readonly isNewVersion: boolean;
    readonly result: PlacedAttemptResult;
    /** Time from the send to the first part of the response, or to the end without one. */
    readonly latencyMs: number;
    /** Whether the target was cold or had just started, so that its latency says nothing. */
    readonly isWarmingUp: boolean;
    /** Of the target. If given, failures of a single failure domain after the shift are not the version's. */
    readonly failureDomain?: string;
}

/** Results of the tests for one route, or for all together. */
export interface RolloutTests {
    readonly failures: SequentialTestResult;
    readonly slowness: SequentialTestResult;
}

export interface RolloutEvidenceStore {
    /** `elapsedMs`: time since the order. */
    readonly record: (outcome: RolloutOutcome, elapsedMs: number) => void;
    /** Tests per route. */
    readonly computeRouteTests: (elapsedMs: number) => ReadonlyMap<string, RolloutTests>;
    /** Tests over all routes, from the last `computeRouteTests`. */
    readonly getPooled: () => RolloutTests;
    readonly listTotals: () => ReadonlyMap<string, RouteTotals>;
    /** From here on the old version gets nothing to compare with. */
    readonly setShifted: (elapsedMs: number) => void;
    /** Responses of the new version, failures among them. */
    readonly countNewResponses: () => number;
}

type Ratios = readonly (number | undefined)[];

function addRatios(all: readonly Ratios[]): Ratios {
    const sums: (number | undefined)[] = [];
    for (const ratios of all) {
        for (const [index, ratio] of ratios.entries())
            sums[index] = ratio === undefined ? sums[index] : (sums[index] ?? 0) + ratio;
    }
    return sums;
}

export function createRolloutEvidence(): RolloutEvidenceStore {
    const routes = new Map<string, RouteEvidence>();
    let newResponses = 0;
    let uncomparedFrom = Infinity;
    let hasFailureDomains = false;

    const runTests = ({ failures, slowness }: RouteRatios): RolloutTests => {
        // Requests after the shift go to the new version only; if the test excludes faults of hosts, it does not wait.
        const unlimitedFrom = hasFailureDomains ? uncomparedFrom : Infinity;
        return {
            failures: runSequentialTest(failures, unlimitedFrom),
            slowness: runSequentialTest(slowness, Infinity),
        };
    };
    let pooled = runTests({ failures: [], slowness: [] });

    const getOrCreateRoute = (name: string): RouteEvidence => {
        const known = routes.get(name);
        if (known !== undefined) return known;
        const created = createRouteEvidence({ getUncomparedFrom: () => uncomparedFrom });
        routes.set(name, created);
        return created;
    };

    return {
        record: ({ route, isNewVersion, result, latencyMs, isWarmingUp, failureDomain }, elapsedMs) => {
            const isFailure = result === "failed" || result === "broken";
            // Other results say nothing about the version: the call did not run, or its caller ended it.
            if (!isFailure && result !== "complete") return;
            if (isNewVersion) newResponses++;
            if (failureDomain !== undefined) hasFailureDomains = true;
            const interval = Math.floor(Math.max(0, elapsedMs - latencyMs) / intervalMs);
            const hasLatency = !isFailure && !isWarmingUp;
            const response = { isNewVersion, isFailure, failureDomain, latencyMs, hasLatency };
            getOrCreateRoute(route).record(response, interval);
        },
        computeRouteTests: elapsedMs => {
            const ratios = [...routes].map(([name, evidence]) => [name, evidence.computeRatios(elapsedMs)] as const);
            pooled = runTests({
                failures: addRatios(ratios.map(([, { failures }]) => failures)),
                slowness: addRatios(ratios.map(([, { slowness }]) => slowness)),
            });
            return new Map(ratios.map(([name, routeRatios]) => [name, runTests(routeRatios)]));
        },
        getPooled: () => pooled,
        listTotals: () => new Map([...routes].map(([name, evidence]) => [name, evidence.getTotals()])),
        setShifted: elapsedMs => {
            // The interval before the shift is compared with few responses, since its later neighbours have none.
            uncomparedFrom = Math.floor(elapsedMs / intervalMs) - 1;
        },
        countNewResponses: () => newResponses,
    };
}
