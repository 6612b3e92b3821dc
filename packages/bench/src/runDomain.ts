/** Benchmark `domain`: operators take a failure domain out under full load and bring it back. */
import { setTimeout as sleep } from "node:timers/promises";
import { createRateMeter } from "./createRateMeter.js";
import { chooseDomains } from "./fleetPlan.js";
import type { FleetPlan } from "./fleetPlan.js";
import type { ClosedLoop } from "./runClosedLoop.js";
import { computeMean, readTargetStats } from "./sampleTargets.js";
import { startClosedLoops } from "./startClosedLoops.js";
import { putControl, putResource, startFleet } from "./startFleet.js";
import type { Fleet, RunningTarget } from "./startFleet.js";

const domains = ["pnw-a", "pnw-b", "pnw-c"] as const;
const takenOut = "pnw-b";
const routerCount = 15;
const targetCount = 6;
const targetLimit = 8;
const workspaceCount = 16;
const concurrencyPerLoop = 6;

const warmUpMs = 8_000;
const steadyMs = 6_000;
const outMs = 10_000;
const backMs = 8_000;
const leavingMs = 6_000;
const hostListLagMs = 500;
const intervalMs = 1_000;
const pollMs = 100;

const plan: FleetPlan = {
    failureDomains: domains,
    routerDomains: chooseDomains(domains, routerCount),
    services: [{
        name: "assistant",
        kind: "model",
        failureDomains: chooseDomains(domains, targetCount),
        targetLimit,
        coldLimit: 4,
        flags: ["--tokenBaseMs=20", "--tokenSlopeMs=0", "--warmAfterCompleted=20"],
    }],
    workspaces: Array.from({ length: workspaceCount }, (_, index) => ({
        name: `branch-${index}`,
        share: index < 3 ? 4 : 1,
    })),
};

interface Periods {
    readonly outAt: number;
    readonly backAt: number;
    readonly lastNewWorkMs: number;
    readonly returnMs: number;
    readonly leavingLastNewWorkMs: number;
}

/** Writes the state of the failure domain through one router; returns when the change was accepted. */
async function setDomainState(fleet: Fleet, state: "in" | "out", version: number): Promise<number> {
    const resource = { kind: "failuredomains" as const, name: takenOut, spec: { state }, version };
    const answer = await putResource(fleet.routers[1]!.url, resource);
    if (answer.status >= 300) throw new Error(`The failure domain was not set: ${JSON.stringify(answer)}`);
    return Date.now();
}

const listTakenOut = (fleet: Fleet) => fleet.targets.filter(target => target.failureDomain === takenOut);

/** Time at which the last request began at the targets. */
async function findLastEntry(targets: readonly RunningTarget[]): Promise<number> {
    const stats = await readTargetStats(targets);
    return Math.max(...stats.map(entry => Date.now() - (entry.lastEnteredAgeMs ?? Infinity)));
}

async function waitForReturn(fleet: Fleet, backAt: number): Promise<number> {
    while (Date.now() - backAt < backMs) {
        const stats = await readTargetStats(listTakenOut(fleet));
        if (stats.every(entry => entry.concurrency >= targetLimit)) return Date.now() - backAt;
        await sleep(pollMs);
    }
    return Infinity;
}

/** Puts the first target on the host list as leaving; returns when its last request began after the list showed it. */
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
    await putControl(`${fleet.platformUrl}/control/hosts`, list);
    const visibleAt = Date.now() + hostListLagMs;
    await sleep(leavingMs);
    return Math.max(0, await findLastEntry([leaving]) - visibleAt);
}

async function runPeriods(fleet: Fleet): Promise<Periods> {
    await sleep(warmUpMs + steadyMs);
    const outAt = await setDomainState(fleet, "out", 1);
    await sleep(outMs);
    const lastEntry = await findLastEntry(listTakenOut(fleet));
    const backAt = await setDomainState(fleet, "in", 2);
    const returnMs = await waitForReturn(fleet, backAt);
    await sleep(Math.max(0, backAt + backMs - Date.now()));
    const leavingLastNewWorkMs = await runLeaving(fleet);
    return { outAt, backAt, lastNewWorkMs: Math.max(0, lastEntry - outAt), returnMs, leavingLastNewWorkMs };
}

function buildLoops(fleet: Fleet): readonly ClosedLoop[] {
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
        const meter = createRateMeter(intervalMs, Date.now);
        const loops = startClosedLoops(buildLoops(fleet), (_workspace, cost) => meter.add(cost));
        const startedAt = Date.now();
        const periods = await runPeriods(fleet);
        await loops.stop();
        const steady = computeMean(meter.listBetween(startedAt + warmUpMs, periods.outAt));
        const remaining = steady * (domains.length - 1) / domains.length;
        const whileOut = meter.listBetween(periods.outAt, periods.backAt);
        const incomplete = loops.results.filter(result => result.outcome !== "complete");
        return {
            lastNewWorkMs: periods.lastNewWorkMs,
            cutOff: incomplete.filter(result => result.outputTokens > 0).length,
            failed: incomplete.length,
            servedRatio: Number((Math.min(...whileOut) / remaining).toFixed(3)),
            returnMs: periods.returnMs,
            leavingLastNewWorkMs: periods.leavingLastNewWorkMs,
            requests: loops.results.length,
            crossed: loops.results.filter(result => result.crossed).length,
        };
    }
    finally {
        await fleet.stop();
    }
}
