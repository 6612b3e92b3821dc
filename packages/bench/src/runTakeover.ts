/** Benchmark `takeover`: under full load, a pool's coordinator is killed and the next one is paused and resumed. */
import { announcementExpiryMs } from "@rhubarbwheel/fair-share/constants";
import { setTimeout as sleep } from "node:timers/promises";
import { computeGap } from "./createServiceMeter.js";
import { computeBound, createLoops, plan, targetLimit, tickStalenessMs, workspaces } from "./fairnessPlan.js";
import { findCoordinator } from "./findCoordinator.js";
import { runFairLoad } from "./runFairLoad.js";
import { computeMean, computeQuantile, readTargetStats } from "./sampleTargets.js";
import { startFleet } from "./startFleet.js";
import type { Fleet, RunningRouter } from "./startFleet.js";

const warmUpMs = 6_000;
const measurementMs = 24_000;
const initialDelayMs = 2_000;
const faultIntervalMs = 7_000;
const pauseMs = 5_000;

async function runFaults(fleet: Fleet): Promise<readonly RunningRouter[]> {
    await sleep(initialDelayMs);
    const firstCoordinator = await findCoordinator(fleet.routers, "assistant");
    firstCoordinator.process.sendSignal("SIGKILL");
    await sleep(faultIntervalMs);
    const remaining = fleet.routers.filter(router => router !== firstCoordinator);
    const secondCoordinator = await findCoordinator(remaining, "assistant");
    secondCoordinator.process.sendSignal("SIGSTOP");
    await sleep(pauseMs);
    secondCoordinator.process.sendSignal("SIGCONT");
    return [firstCoordinator, secondCoordinator];
}

/** Workspaces with callers at a faulty router are not backlogged throughout, and are excluded from the gap. */
function listUnaffectedIndexes(routers: readonly string[], faulty: readonly RunningRouter[]): readonly number[] {
    const faultyUrls = new Set(faulty.map(router => router.url));
    const affected = new Set(
        createLoops(routers).filter(loop => faultyUrls.has(loop.router)).map(loop => loop.workspace),
    );
    return workspaces.map((_, index) => index)
        .filter(index => workspaces[index]!.name === "flood" || !affected.has(workspaces[index]!.name));
}

export async function runTakeover(): Promise<object> {
    const fleet = await startFleet(plan);
    try {
        let faulty: readonly RunningRouter[] = [];
        const urls = fleet.routers.map(router => router.url);
        const measured = await runFairLoad(urls, fleet, {
            warmUpMs,
            measurementMs,
            onBegin: async () => {
                faulty = await runFaults(fleet);
            },
        });
        const unaffectedIndexes = listUnaffectedIndexes(urls, faulty);
        const samples = measured.samples.map(sample => ({
            ...sample,
            normalized: unaffectedIndexes.map(index => sample.normalized[index]!),
        }));
        const stats = await readTargetStats(fleet.targets);
        return {
            overLimit: Math.max(...stats.map(entry => entry.maxConcurrency - targetLimit)),
            fellOver: stats.reduce((sum, entry) => sum + entry.fellOver, 0),
            utilisation: Number(computeMean(measured.utilisation).toFixed(3)),
            utilisationP5: Number(computeQuantile(measured.utilisation, 0.05).toFixed(3)),
            gap: Math.round(computeGap(samples)),
            bound: Math.round(computeBound(tickStalenessMs + announcementExpiryMs)),
            comparedWorkspaces: unaffectedIndexes.length,
            requests: measured.results.length,
            crossed: measured.results.filter(result => result.crossed).length,
        };
    }
    finally {
        await fleet.stop();
    }
}
