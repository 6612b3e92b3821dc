/** Fleet and load of the benchmarks `fairness` and `takeover`: uneven load with one flooding workspace. */
import { assignDomains } from "./fleetPlan.js";
import type { FleetPlan } from "./fleetPlan.js";
import type { ClosedLoop } from "./runClosedLoop.js";

export const routerCount = 15;
export const targetCount = 12;
export const targetLimit = 8;
const coldLimit = 4;
const smallWorkspaceCount = 13;
const tokenMs = 20;
const domains = ["khomas-a", "khomas-b", "khomas-c", "khomas-d"] as const;
const outputTokens: readonly [number, number] = [10, 60];
const promptCharacters = 200;
export const maxRequestCost = promptCharacters / 4 + 2 * outputTokens[1];
export const minShare = 1;

export const workspaces = [
    { name: "flood", share: 1 },
    { name: "large-0", share: 4 },
    { name: "large-1", share: 4 },
    ...Array.from({ length: smallWorkspaceCount }, (_, index) => ({ name: `small-${index}`, share: 1 })),
];

export const plan: FleetPlan = {
    failureDomains: domains,
    routerDomains: assignDomains(domains, routerCount),
    services: [{
        name: "assistant",
        kind: "model",
        failureDomains: assignDomains(domains, targetCount),
        targetLimit,
        coldLimit,
        flags: [`--tokenBaseMs=${tokenMs}`, "--tokenSlopeMs=0.2"],
        queueTimeoutMs: 60_000,
    }],
    workspaces,
};

/** The workspace `flood` sends to all routers; the others send to one or two each, mostly among the first ones. */
export function createLoops(routerUrls: readonly string[]): readonly ClosedLoop[] {
    const loops: ClosedLoop[] = [];
    const addLoop = (workspace: string, router: number, concurrency: number) => {
        const seed = loops.length + 1;
        loops.push({ workspace, router: routerUrls[router]!, concurrency, seed, outputTokens, promptCharacters });
    };
    for (let router = 0; router < routerCount; router++) addLoop("flood", router, 10);
    for (let index = 0; index < 2; index++) {
        addLoop(`large-${index}`, index, 30);
        addLoop(`large-${index}`, 7 + index, 10);
    }
    for (let index = 0; index < smallWorkspaceCount; index++) addLoop(`small-${index}`, (index * index) % 6, 14);
    return loops;
}

/** One tick of the entry router and one of the coordinator, 100 ms each. */
export const tickStalenessMs = 200;

/**
 * Upper bound of the gap for this load, in cost per share; see docs/fairness.md. While information is stale, a
 * workspace receives at most the service rate of the whole pool. The last term is the allowance that the coordinator
 * adds to a router's ceiling: the highest cost per share of one request.
 */
export function computeBound(stalenessMs: number): number {
    const costPerSecond = 2 * targetCount * targetLimit * (1000 / tokenMs);
    const ceilingAllowance = maxRequestCost / minShare;
    return costPerSecond * (stalenessMs / 1000) / minShare + maxRequestCost / minShare + ceilingAllowance;
}
