/** Benchmark `fairness`: uneven load with one flooding workspace, compared with routers that have fixed limits. */
import { fileURLToPath } from "node:url";
import { computeGap } from "./createServiceMeter.js";
import {
    computeBound,
    plan,
    routerCount,
    targetCount,
    targetLimit,
    tickStalenessMs,
    workspaces,
} from "./fairnessPlan.js";
import { createServiceSpec, createWorkspaceSpec } from "./fleetPlan.js";
import { readProcessCpuMs } from "./readProcessCpu.js";
import { runFairLoad } from "./runFairLoad.js";
import type { FairLoadResult } from "./runFairLoad.js";
import { computeMean } from "./sampleTargets.js";
import { readJson, startFleet } from "./startFleet.js";
import type { Fleet } from "./startFleet.js";
import { startProcess } from "./startProcess.js";
import type { RunningProcess } from "./startProcess.js";

const warmUpMs = 5_000;
const measurementMs = 12_000;

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
        service: { name: "assistant", version: 1, spec: createServiceSpec(plan.services[0]!, ports) },
        workspaces: Object.fromEntries(workspaces.map(entry => [entry.name, createWorkspaceSpec(entry)])),
    };
    const script = fileURLToPath(new URL("./runNaiveRouter.js", import.meta.url));
    const indices = Array.from({ length: routerCount }, (_, index) => index);
    return Promise.all(indices.map(index => {
        const routerPlan = JSON.stringify({ ...naivePlan, slots: listFixedSlots(index) });
        return startProcess({ name: `naive-${index}`, script, arguments: [`--plan=${routerPlan}`] });
    }));
}

/** Lists the slots of one router when the slots of all targets are assigned to the routers in round-robin order. */
function listFixedSlots(router: number): readonly string[] {
    const slots = Array.from({ length: targetCount * targetLimit }, (_, slot) => slot);
    return slots.filter(slot => slot % routerCount === router).map(slot => `assistant-${slot % targetCount}`);
}

async function runBaseline(fleet: Fleet): Promise<FairLoadResult> {
    const routers = await startNaiveRouters(fleet);
    try {
        const urls = routers.map(router => `http://127.0.0.1:${router.port}`);
        return await runFairLoad(urls, fleet, { warmUpMs, measurementMs });
    }
    finally {
        await Promise.all(routers.map(router => router.stop()));
    }
}

function computeRates(before: readonly RouterUsage[], after: readonly RouterUsage[]) {
    const computeRate = (key: "bytes" | "messages" | "cpuMs") =>
        after.map((entry, index) => (entry[key] - before[index]![key]) / (entry.atMs - before[index]!.atMs));
    return {
        bytesPerSecond: computeRate("bytes").map(value => value * 1000),
        messagesPerSecond: computeRate("messages").map(value => value * 1000),
        cpuPercent: computeRate("cpuMs").map(value => value * 100),
    };
}

export async function runFairness(): Promise<object> {
    const fleet = await startFleet(plan);
    try {
        const usage: (readonly RouterUsage[])[] = [];
        const urls = fleet.routers.map(router => router.url);
        const recordUsage = async () => void usage.push(await readUsage(fleet));
        const measured = await runFairLoad(urls, fleet, {
            warmUpMs,
            measurementMs,
            onBegin: recordUsage,
            onEnd: recordUsage,
        });
        const rates = computeRates(usage[0]!, usage[1]!);
        const baseline = await runBaseline(fleet);
        const incomplete = measured.results.filter(result => result.outcome !== "complete").length;
        return {
            gap: Math.round(computeGap(measured.samples)),
            bound: Math.round(computeBound(tickStalenessMs)),
            baselineGap: Math.round(computeGap(baseline.samples)),
            utilisation: Number(computeMean(measured.utilisation).toFixed(3)),
            baselineUtilisation: Number(computeMean(baseline.utilisation).toFixed(3)),
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
