/** Benchmark `fairness`: uneven arrivals and one flooding workspace, against routers with fixed limits. */
import { fileURLToPath } from "node:url";
import { createCaller } from "./createCaller.js";
import type { CallerResult } from "./createCaller.js";
import { computeGap, createServiceMeter } from "./createServiceMeter.js";
import type { FleetPlan } from "./fleetPlan.js";
import { buildServiceSpec, buildWorkspaceSpec } from "./fleetPlan.js";
import { readProcessCpuMs } from "./readProcessCpu.js";
import { runClosedLoop } from "./runClosedLoop.js";
import type { ClosedLoop } from "./runClosedLoop.js";
import { computeMean, sampleUtilisation } from "./sampleTargets.js";
import { readJson, startFleet } from "./startFleet.js";
import type { Fleet } from "./startFleet.js";
import { startProcess } from "./startProcess.js";
import type { RunningProcess } from "./startProcess.js";

const routerCount = 15;
const targetCount = 12;
const targetLimit = 8;
const coldLimit = 4;
const smallWorkspaces = 13;
const domains = ["khomas-a", "khomas-b", "khomas-c", "khomas-d"] as const;
const outputTokens = [10, 60] as const;
const promptCharacters = 200;
const largestRequestCost = promptCharacters / 4 + 2 * outputTokens[1];
const smallestShare = 1;

const warmUpMs = 5_000;
const measureMs = 12_000;
const sampleMs = 200;

const pickDomain = (index: number) => domains[index % domains.length]!;

const workspaces = [
    { name: "flood", share: 1 },
    { name: "large-0", share: 4 },
    { name: "large-1", share: 4 },
    ...Array.from({ length: smallWorkspaces }, (_, index) => ({ name: `small-${index}`, share: 1 })),
];

const plan: FleetPlan = {
    failureDomains: domains,
    routerDomains: Array.from({ length: routerCount }, (_, index) => pickDomain(index)),
    services: [{
        name: "assistant",
        kind: "model",
        failureDomains: Array.from({ length: targetCount }, (_, index) => pickDomain(index)),
        targetLimit,
        coldLimit,
        flags: ["--tokenBaseMs=20", "--tokenSlopeMs=0.2"],
        queueTimeoutMs: 60_000,
    }],
    workspaces,
};

/** The flood arrives everywhere; the others at one to three routers each, mostly at the first few. */
function buildLoops(routerUrls: readonly string[]): readonly ClosedLoop[] {
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
    for (let index = 0; index < smallWorkspaces; index++) addLoop(`small-${index}`, (index * index) % 6, 14);
    return loops;
}

interface LoadResult {
    readonly gap: number;
    readonly utilisation: number;
    readonly results: readonly CallerResult[];
}

async function runLoad(urls: readonly string[], fleet: Fleet, onMeasure: () => Promise<void>): Promise<LoadResult> {
    const caller = createCaller();
    const meter = createServiceMeter(workspaces);
    const results: CallerResult[] = [];
    const utilisation: number[] = [];
    let running = true;
    const loops = buildLoops(urls).map(loop =>
        runClosedLoop(caller, loop, {
            isRunning: () => running,
            // Requests that are open at the end are abandoned, and do not count.
            onResult: (_workspace, result) => running && results.push(result),
            onService: meter.add,
        })
    );
    const startedAt = Date.now();
    const wait = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));
    await wait(warmUpMs);
    await onMeasure();
    while (Date.now() - startedAt < warmUpMs + measureMs) {
        meter.sample(Date.now() - startedAt);
        utilisation.push(await sampleUtilisation(fleet.targets, targetLimit));
        await wait(sampleMs);
    }
    await onMeasure();
    running = false;
    await caller.close();
    await Promise.all(loops);
    const received = [...meter.getReceived()].map(([name, cost]) => `${name} ${cost}`);
    console.log(`service received: ${received.join(", ")}`);
    return { gap: computeGap(meter.listSamples()), utilisation: computeMean(utilisation), results };
}

interface RouterUsage {
    readonly bytes: number;
    readonly messages: number;
    readonly cpuMs: number;
    readonly atMs: number;
}

async function readUsage(fleet: Fleet): Promise<readonly RouterUsage[]> {
    return Promise.all(fleet.routers.map(async router => {
        const { traffic } = await readJson<{ traffic: { messages: number; bytes: number; }; }>(
            `${router.url}/api/v1/status`,
        );
        return { ...traffic, cpuMs: readProcessCpuMs(router.process.pid), atMs: Date.now() };
    }));
}

async function startNaiveRouters(fleet: Fleet): Promise<readonly RunningProcess[]> {
    const ports = fleet.targets.map(target => target.process.port);
    const naivePlan = {
        service: { name: "assistant", version: 1, spec: buildServiceSpec(plan.services[0]!, ports) },
        workspaces: Object.fromEntries(workspaces.map(entry => [entry.name, buildWorkspaceSpec(entry)])),
    };
    const script = fileURLToPath(new URL("./runNaiveRouter.js", import.meta.url));
    const indices = Array.from({ length: routerCount }, (_, index) => index);
    return Promise.all(indices.map(index => {
        const planOfRouter = JSON.stringify({ ...naivePlan, slots: listFixedSlots(index) });
        return startProcess({ name: `naive-${index}`, script, arguments: [`--plan=${planOfRouter}`] });
    }));
}

/** Deals the slots of all targets out to the routers, one after the other. */
function listFixedSlots(router: number): readonly string[] {
    const slots = Array.from({ length: targetCount * targetLimit }, (_, slot) => slot);
    return slots.filter(slot => slot % routerCount === router).map(slot => `assistant-${slot % targetCount}`);
}

async function runBaseline(fleet: Fleet): Promise<LoadResult> {
    const routers = await startNaiveRouters(fleet);
    try {
        const urls = routers.map(router => `http://127.0.0.1:${router.port}`);
        return await runLoad(urls, fleet, () => Promise.resolve());
    }
    finally {
        await Promise.all(routers.map(router => router.stop()));
    }
}

function computeRates(before: readonly RouterUsage[], after: readonly RouterUsage[]) {
    const rate = (key: "bytes" | "messages" | "cpuMs") =>
        after.map((entry, index) => (entry[key] - before[index]![key]) / (entry.atMs - before[index]!.atMs));
    return {
        bytesPerSecond: rate("bytes").map(value => value * 1000),
        messagesPerSecond: rate("messages").map(value => value * 1000),
        cpuPercent: rate("cpuMs").map(value => value * 100),
    };
}

export async function runFairness(): Promise<object> {
    const fleet = await startFleet(plan);
    try {
        const usage: (readonly RouterUsage[])[] = [];
        const urls = fleet.routers.map(router => router.url);
        const measured = await runLoad(urls, fleet, async () => {
            usage.push(await readUsage(fleet));
        });
        const rates = computeRates(usage[0]!, usage[1]!);
        const baseline = await runBaseline(fleet);
        const incomplete = measured.results.filter(result => result.outcome !== "complete").length;
        return {
            gap: Math.round(measured.gap),
            bound: Math.round(computeBound()),
            baselineGap: Math.round(baseline.gap),
            utilisation: Number(measured.utilisation.toFixed(3)),
            baselineUtilisation: Number(baseline.utilisation.toFixed(3)),
            controlBytesPerSecond: Math.round(computeMean(rates.bytesPerSecond)),
            maxControlBytesPerSecond: Math.round(Math.max(...rates.bytesPerSecond)),
            controlMessagesPerSecond: Math.round(computeMean(rates.messagesPerSecond)),
            maxControlMessagesPerSecond: Math.round(Math.max(...rates.messagesPerSecond)),
            routerCpuPercent: Number(computeMean(rates.cpuPercent).toFixed(2)),
            requests: measured.results.length,
            incomplete,
            crossed: measured.results.filter(result => result.crossed).length,
        };
    }
    finally {
        await fleet.stop();
    }
}

/**
 * Bound of docs/fairness.md for this load, in cost per share. The workspaces are served at most at the rate of the
 * whole pool, which is the greatest rate any of them can have during the staleness.
 */
function computeBound(): number {
    const stalenessSeconds = 0.1 + 0.1;
    const tokensPerSecond = targetCount * targetLimit * (1000 / 20);
    const allowance = largestRequestCost / smallestShare;
    return 2 * tokensPerSecond * stalenessSeconds / smallestShare + largestRequestCost / smallestShare + allowance;
}
