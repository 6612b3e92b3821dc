/** Pools, targets and requests of typical sizes. */
import type { PoolSpec, RouterEntry, TargetEntry } from "@rhubarbwheel/types/fleet";
import type { PlacementRequest, PromptPart } from "@rhubarbwheel/types/placement";

export const enginePool: PoolSpec = {
    service: "assistant",
    maxConnections: 1330,
    coldRequestsPerSecond: 22,
    engine: {
        maxBatchSize: 128,
        kvCacheTokens: 1_077_556,
        prefixTransfer: { kvBytesPerToken: 18_432, linkBytesPerMs: 11_000_000 },
    },
};

export const plainPool: PoolSpec = { service: "orders", maxConnections: 232, coldRequestsPerSecond: 0 };

export function createTargets(count: number, more: Partial<TargetEntry> = {}): TargetEntry[] {
    return Array.from({ length: count }, (_, index) => ({
        target: `target-${index + 1}`,
        service: "assistant",
        address: `10.0.0.${index + 1}:8080`,
        failureDomain: index % 2 === 0 ? "a" : "b",
        slots: 128,
        state: "ready" as const,
        coldForMs: 0,
        ...more,
    }));
}

export function createRouterEntries(count: number): RouterEntry[] {
    return Array.from({ length: count }, (_, index) => ({
        router: `r${index + 1}`,
        incarnation: 1,
        address: `10.0.0.${index + 1}:7400`,
        failureDomain: "a",
    }));
}

let lastRequestNumber = 0;

/** A request whose prompt consists of a common part, the part `sharedPartId`, and a part of its own. */
export function createRequest(sharedPartId: string, more: Partial<PlacementRequest> = {}): PlacementRequest {
    const id = `request-${++lastRequestNumber}`;
    const parts: PromptPart[] = [
        { id: "common", tokens: 512 },
        { id: sharedPartId, tokens: 4_870 },
        { id: `own-${id}`, tokens: 6_610 },
    ];
    return {
        requestId: id,
        service: "assistant",
        workspace: "ada",
        prompt: { promptTokens: 11_992, outputTokens: 384, parts },
        latencyTargetMs: 600,
        waitedMs: 1,
        timeLeftMs: 15_000,
        failureDomain: "a",
        excluded: [],
        ...more,
    };
}
