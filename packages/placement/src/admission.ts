/** Admission control: maximum queueing time of requests at a target, and their cost. */
import type { FleetView } from "@rhubarbwheel/fleet-view/createFleetView";
import type { FleetConfiguration } from "@rhubarbwheel/types/fleet";
import type { PromptSize } from "@rhubarbwheel/types/placement";
import {
    defaultMinReserveRatio,
    firstEventMs,
    fullBatchQueueMs,
    fullShareRatio,
    lateRetryRatio,
    maxFullBatchQueueRatio,
    maxQueueingRatio,
    overShareMinReserveRatio,
    overShareRatio,
} from "./placementSettings.js";

/** Cost of a generated token relative to a prompt token. */
const outputTokenCost = 2;

/** Assumed prefill rate of an engine if the configuration has no throughput, in tokens per millisecond. */
const defaultPrefillRate = 50;

/** Assumed latency target of services without routes. */
const defaultLatencyTargetMs = 500;

/** Cost of a request: prompt tokens plus twice the output tokens, or 1 for a plain call. */
export function computeCost(prompt: Pick<PromptSize, "promptTokens" | "outputTokens"> | undefined): number {
    return prompt === undefined ? 1 : prompt.promptTokens + outputTokenCost * prompt.outputTokens;
}

/** Cost of a request of which only the sizes are known; a plain call has none. */
export function computeAttemptCost(sizes: Pick<PromptSize, "promptTokens" | "outputTokens">): number {
    return computeCost(sizes.promptTokens === 0 ? undefined : sizes);
}

/** Expected prefill rate of one engine of the service, in tokens per millisecond. */
export function computePriorPrefillRate(view: FleetView, service: string): number {
    const tokensPerSecond = view.getConfiguration()?.tokensPerSecond;
    const count = view.listUsableTargets(service).length;
    return tokensPerSecond === undefined || count === 0 ? defaultPrefillRate : tokensPerSecond / 1_000 / count;
}

/** Properties of a request that limit its queueing time. */
export interface AdmissionInput {
    /** Fraction of its share that the workspace has used. */
    readonly usedRatio: number;
    /** Whether the request was refused before and can no longer meet its latency target. */
    readonly isLateRetry: boolean;
    /** Prefill time of the whole prompt. */
    readonly prefillMs: number;
}

/** Input that allows the maximum queueing time. */
export const defaultAdmissionInput: AdmissionInput = { usedRatio: 0, isLateRetry: false, prefillMs: 0 };

const minLatencyTargets = new WeakMap<FleetConfiguration, ReadonlyMap<string, number>>();

/** Shortest latency target of the routes to each service; computed once per configuration. */
function getMinLatencyTargets(configuration: FleetConfiguration): ReadonlyMap<string, number> {
    const existing = minLatencyTargets.get(configuration);
    if (existing !== undefined) return existing;
    const minByService = new Map<string, number>();
    for (const route of configuration.routes) {
        for (const { service } of route.destinations)
            minByService.set(service, Math.min(minByService.get(service) ?? Infinity, route.latencyTargetMs));
    }
    minLatencyTargets.set(configuration, minByService);
    return minByService;
}

function getMinLatencyTargetMs(view: FleetView, service: string): number {
    const configuration = view.getConfiguration();
    const minMs = configuration === undefined ? undefined : getMinLatencyTargets(configuration).get(service);
    return minMs ?? defaultLatencyTargetMs;
}

/**
 * Maximum queueing time of a request at a target. It depends on the share that the workspace has used and not on the
 * route: targets run requests in order of arrival, so a longer queue for one route would make routes with a shorter
 * latency target miss it. Capacity is reserved for workspaces that have used little of their share: their few requests
 * must not find a full queue.
 */
export function computeMaxWaitMs(view: FleetView, service: string, input: AdmissionInput): number {
    const maxWaitMs = Math.max(0, getMinLatencyTargetMs(view, service) * maxQueueingRatio - firstEventMs);
    const { usedRatio, isLateRetry, prefillMs } = input;
    // Workspaces that have used little must still be admitted behind a long prompt.
    const fullBatchMs = Math.min(fullBatchQueueMs, maxWaitMs * maxFullBatchQueueRatio, maxWaitMs - prefillMs);
    const overShareMs = Math.max(maxWaitMs * overShareRatio, fullBatchMs);
    const fullShareMs = Math.max(maxWaitMs * fullShareRatio, (maxWaitMs + overShareMs) / 2);
    const waitMs = usedRatio > 1 ? overShareMs : maxWaitMs - usedRatio * (maxWaitMs - fullShareMs);
    return waitMs * (isLateRetry ? lateRetryRatio : 1);
}

/** Minimum reserve of the responses at an engine for a request of a workspace that has used this fraction of its share. */
export function computeMinReserveRatio(usedRatio: number): number {
    const usedShare = Math.min(1, usedRatio);
    return usedRatio > 1
        ? overShareMinReserveRatio
        : defaultMinReserveRatio + usedShare * (overShareMinReserveRatio - defaultMinReserveRatio) / 2;
}
