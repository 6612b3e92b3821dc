/** Benchmark `domain`: an operator takes a failure domain out of service under full load and returns it. */
import { setTimeout as sleep } from "node:timers/promises";
import { createRateMeter } from "./createRateMeter.js";
import { assignDomains } from "./fleetPlan.js";
import type { FleetPlan } from "./fleetPlan.js";
import type { ClosedLoop } from "./runClosedLoop.js";
import { computeMean, readTargetStats } from "./sampleTargets.js";
import { startClosedLoops } from "./startClosedLoops.js";
import { putResource, sendControl, startFleet } from "./startFleet.js";
import type { Fleet, RunningTarget } from "./startFleet.js";

const domains = ["pnw-a", "pnw-b", "pnw-c"] as const;
const outDomain = "pnw-b";
const routerCount = 15;
const targetCount = 6;
const targetLimit = 8;
const workspaceCount = 16;
const concurrencyPerLoop = 6;

const warmUpMs = 8_000;
const steadyPeriodMs = 6_000;
const outPeriodMs = 10_000;
const inPeriodMs = 8_000;
const leavingPeriodMs = 6_000;
const hostListLagMs = 500;
const rateIntervalMs = 1_000;
const pollIntervalMs = 100;

const plan: FleetPlan = {
    failureDomains: domains,
    routerDomains: assignDomains(domains, routerCount),
    services: [{
        name: "assistant",
        kind: "model",
        failureDomains: assignDomains(domains, targetCount),
        targetLimit,
        coldLimit: 4,
        flags: ["--tokenBaseMs=20", "--tokenSlopeMs=0", "--warmAfterCompleted=20"],
    }],
    workspaces: Array.from({ length: workspaceCount }, (_, index) => ({
        name: `branch-${index}`,
        share: index < 3 ? 4 : 1,
    })),
};

interface DomainTimings {
    readonly outAt: number;
    readonly inAt: number;
    readonly lastNewWorkMs: number;
    readonly returnMs: number;
    readonly leavingLastNewWorkMs: number;
}

/** Writes the state of the failure domain through one router and returns the time of acceptance. */
async function setDomainState(fleet: Fleet, state: "in" | "out", version: number): Promise<number> {
    const resource = { kind: "failuredomains" as const, name: outDomain, spec: { state }, version };
    const response = await putResource(fleet.routers[1]!.url, resource);
    if (response.status >= 300)
        throw new Error(`could not write the state of the failure domain: ${JSON.stringify(response)}`);
    return Date.now();
}

const listOutTargets = (fleet: Fleet) => fleet.targets.filter(target => target.failureDomain === outDomain);

/** Returns the time at which the last request started at any of the targets. */
async function readLastStartAt(targets: readonly RunningTarget[]): Promise<number> {
    const stats = await readTargetStats(targets);
    return Math.max(...stats.map(entry => Date.now() - (entry.lastEnteredAgeMs ?? Infinity)));
}

async function waitForFullLoad(fleet: Fleet, inAt: number): Promise<number> {
    while (Date.now() - inAt < inPeriodMs) {
        const stats = await readTargetStats(listOutTargets(fleet));
        if (stats.every(entry => entry.concurrency >= targetLimit)) return Date.now() - inAt;
        await sleep(pollIntervalMs);
    }
    return Infinity;
}

/** Marks the first target as leaving; returns the time from when the host list shows this to its last request start. */
async function runLeaving(fleet: Fleet): Promise<number> {
    const leaving = fleet.targets[0]!;
    const routers = fleet.routers.map(({ name, peerAddress, failureDomain }) => ({
        name,
        role: "router",
        address: peerAddress,
        failureDomain,
        state: "live",
    }));
    const targets = fleet.targets.map(({ name, url, failureDomain }) => ({
        name,
        role: "target",
        address: url,
        failureDomain,
        state: name === leaving.name ? "leaving" : "live",
    }));
    const list = { lagMs: hostListLagMs, hosts: [...routers, ...targets] };
    await sendControl(`${fleet.platformUrl}/control/hosts`, list);
    const visibleAt = Date.now() + hostListLagMs;
    await sleep(leavingPeriodMs);
    return Math.max(0, await readLastStartAt([leaving]) - visibleAt);
}

async function runPeriods(fleet: Fleet): Promise<DomainTimings> {
    await sleep(warmUpMs + steadyPeriodMs);
    const outAt = await setDomainState(fleet, "out", 1);
    await sleep(outPeriodMs);
    const lastStartAt = await readLastStartAt(listOutTargets(fleet));
    const inAt = await setDomainState(fleet, "in", 2);
    const returnMs = await waitForFullLoad(fleet, inAt);
    await sleep(Math.max(0, inAt + inPeriodMs - Date.now()));
    const leavingLastNewWorkMs = await runLeaving(fleet);
    return { outAt, inAt, lastNewWorkMs: Math.max(0, lastStartAt - outAt), returnMs, leavingLastNewWorkMs };
}

function createLoops(fleet: Fleet): readonly ClosedLoop[] {
    return plan.workspaces.flatMap((workspace, index) =>
        [0, 1].map((offset): ClosedLoop => ({
            workspace: workspace.name,
            router: fleet.routers[(index * 2 + offset) % routerCount]!.url,
            concurrency: concurrencyPerLoop * workspace.share,
            seed: index * 2 + offset,
            outputTokens: [10, 60],
            promptCharacters: 200,
        }))
    );
}

export async function runDomain(): Promise<object> {
    const fleet = await startFleet(plan);
    try {
        const meter = createRateMeter(rateIntervalMs, Date.now);
        const loops = startClosedLoops(createLoops(fleet), (_workspace, cost) => meter.add(cost));
        const startedAt = Date.now();
        const timings = await runPeriods(fleet);
        await loops.stop();
        const steadyRate = computeMean(meter.listBetween(startedAt + warmUpMs, timings.outAt));
        const remainingRate = steadyRate * (domains.length - 1) / domains.length;
        const outRates = meter.listBetween(timings.outAt, timings.inAt);
        const incomplete = loops.results.filter(result => result.outcome !== "complete");
        return {
            lastNewWorkMs: timings.lastNewWorkMs,
            cutOff: incomplete.filter(result => result.outputTokens > 0).length,
            failed: incomplete.length,
            servedRatio: Number((Math.min(...outRates) / remainingRate).toFixed(3)),
            returnMs: timings.returnMs,
            leavingLastNewWorkMs: timings.leavingLastNewWorkMs,
            requests: loops.results.length,
            crossed: loops.results.filter(result => result.crossed).length,
        };
    }
    finally {
        await fleet.stop();
    }
}
