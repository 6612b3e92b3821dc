/** How long requests may wait at a target, and what they cost. */
import type { FleetView } from "@rhubarbwheel/fleet-view/createFleetView";
import type { FleetConfiguration } from "@rhubarbwheel/types/fleet";
import type { PromptSize } from "@rhubarbwheel/types/placement";
import {
    busyRatio,
    busyWaitMs,
    firstEventMs,
    fullShareRatio,
    lateRatio,
    overShareRatio,
    waitRatio,
} from "./placementSettings.js";

/** Cost of a generated token, in prompt tokens. */
const outputTokenCost = 2;

/** Reading rate that is assumed of an engine if the operators give no figure, in tokens per millisecond. */
const defaultPrefillRate = 50;

/** Latency target that is assumed of services without routes. */
const defaultLatencyTargetMs = 500;

/** Cost of a request: prompt tokens and twice the generated ones, or 1 for a plain call. */
export function countCost(prompt: PromptSize | undefined): number {
    return prompt === undefined ? 1 : prompt.promptTokens + outputTokenCost * prompt.outputTokens;
}

/** Tokens per millisecond that one engine of the service is expected to read. */
export function computePriorPrefillRate(view: FleetView, service: string): number {
    const tokensPerSecond = view.getConfiguration()?.tokensPerSecond;
    const count = view.listUsableTargets(service).length;
    return tokensPerSecond === undefined || count === 0 ? defaultPrefillRate : tokensPerSecond / 1_000 / count;
}

/** How much a request may ask of a pool that is in demand. */
export interface Claim {
    /** Part of its share that the workspace has used. */
    readonly usedRatio: number;
    /** Whether the request came back after it was refused, too late for its latency target. */
    readonly isLate: boolean;
    /** Time in which a target reads the whole prompt. */
    readonly prefillMs: number;
}

export const fullClaim: Claim = { usedRatio: 0, isLate: false, prefillMs: 0 };

const shortestTargets = new WeakMap<FleetConfiguration, ReadonlyMap<string, number>>();

/** Shortest latency target of the routes to each service; computed once for each configuration. */
function listShortestTargets(configuration: FleetConfiguration): ReadonlyMap<string, number> {
    const known = shortestTargets.get(configuration);
    if (known !== undefined) return known;
    const shortest = new Map<string, number>();
    for (const route of configuration.routes) {
        for (const { service } of route.destinations)
            shortest.set(service, Math.min(shortest.get(service) ?? Infinity, route.latencyTargetMs));
    }
    shortestTargets.set(configuration, shortest);
    return shortest;
}

function findShortestTarget(view: FleetView, service: string): number {
    const configuration = view.getConfiguration();
    const shortest = configuration === undefined ? undefined : listShortestTargets(configuration).get(service);
    return shortest ?? defaultLatencyTargetMs;
}

/**
 * Longest time that a request may wait at a target. It depends on the share that its workspace has used, and not on the
 * route: targets serve in order of arrival, so a longer wait for one route would make those with a shorter latency target
 * miss theirs. Room is kept for workspaces that have used little: their few requests must not meet a full queue.
 */
export function computeAdmissionWait(view: FleetView, service: string, claim: Claim): number {
    const longestMs = Math.max(0, findShortestTarget(view, service) * waitRatio - firstEventMs);
    const { usedRatio, isLate, prefillMs } = claim;
    // Behind a long prompt there must still be room for workspaces that have used little.
    const busyMs = Math.min(busyWaitMs, longestMs * busyRatio, longestMs - prefillMs);
    const overShareMs = Math.max(longestMs * overShareRatio, busyMs);
    const fullShareMs = Math.max(longestMs * fullShareRatio, (longestMs + overShareMs) / 2);
    const waitMs = usedRatio > 1 ? overShareMs : longestMs - usedRatio * (longestMs - fullShareMs);
    return waitMs * (isLate ? lateRatio : 1);
}
