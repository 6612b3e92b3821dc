/** Benchmark `cold`: targets restart cold without notice while the coordinator is killed and the store is down. */
import { setTimeout as sleep } from "node:timers/promises";
import type { CallerResult } from "./createCaller.js";
import { findCoordinator } from "./findCoordinator.js";
import { assignDomains } from "./fleetPlan.js";
import type { FleetPlan } from "./fleetPlan.js";
import type { ClosedLoop } from "./runClosedLoop.js";
import { readTargetStats, sampleUtilisation } from "./sampleTargets.js";
import { startClosedLoops } from "./startClosedLoops.js";
import { sendControl, startFleet } from "./startFleet.js";
import type { Fleet, RunningTarget } from "./startFleet.js";

const domains = ["khomas-a", "khomas-b", "khomas-c", "khomas-d"] as const;
const routerCount = 8;
const targetCount = 8;
const targetLimit = 8;
const coldLimit = 2;

const warmUpMs = 9_000;
const faultIntervalMs = 4_000;
const recoveryTimeoutMs = 15_000;
const recoveredUtilisation = 0.95;
const pollIntervalMs = 100;

const plan: FleetPlan = {
    failureDomains: domains,
    routerDomains: assignDomains(domains, routerCount),
    services: [{
        name: "assistant",
        kind: "model",
        failureDomains: assignDomains(domains, targetCount),
        targetLimit,
        coldLimit,
        flags: ["--tokenBaseMs=10", "--tokenSlopeMs=0", "--warmAfterCompleted=20", "--warmAfterMs=60000"],
    }],
    workspaces: Array.from({ length: 8 }, (_, index) => ({ name: `plant-${index}`, share: 1 })),
};

const restartTarget = (target: RunningTarget) => sendControl(`${target.url}/control/restart`, {}, "POST");

/** Returns whether utilisation recovered before the timeout. */
async function waitForUtilisation(fleet: Fleet): Promise<boolean> {
    const startedAt = Date.now();
    while (Date.now() - startedAt < recoveryTimeoutMs) {
        if (await sampleUtilisation(fleet.targets, targetLimit) >= recoveredUtilisation) return true;
        await sleep(pollIntervalMs);
    }
    return false;
}

/**
 * Restarts one target alone, one after killing the coordinator, one while the store is down, and two with both faults.
 * Returns the time from the last fault to recovery, or infinity, which JSON encodes as null.
 */
async function runFaults(fleet: Fleet): Promise<number> {
    await sleep(warmUpMs);
    await restartTarget(fleet.targets[0]!);
    await sleep(faultIntervalMs);
    const firstCoordinator = await findCoordinator(fleet.routers, "assistant");
    firstCoordinator.process.sendSignal("SIGKILL");
    await restartTarget(fleet.targets[1]!);
    await sleep(faultIntervalMs);
    await firstCoordinator.restart();
    await sendControl(`${fleet.platformUrl}/control/faults`, { down: true });
    await restartTarget(fleet.targets[2]!);
    await sleep(faultIntervalMs);
    const secondCoordinator = await findCoordinator(fleet.routers, "assistant");
    secondCoordinator.process.sendSignal("SIGKILL");
    await Promise.all([restartTarget(fleet.targets[3]!), restartTarget(fleet.targets[4]!)]);
    const lastFaultAt = Date.now();
    await sleep(faultIntervalMs);
    await sendControl(`${fleet.platformUrl}/control/faults`, { down: false });
    return await waitForUtilisation(fleet) ? Date.now() - lastFaultAt : Infinity;
}

/** Counts incomplete results by error code; killed routers and restarted targets also cause connection errors. */
function countErrorCodes(results: readonly CallerResult[]): Readonly<Record<string, number>> {
    const counts: Record<string, number> = {};
    for (const { outcome, code } of results) {
        if (outcome === "complete") continue;
        const key = code ?? outcome;
        counts[key] = (counts[key] ?? 0) + 1;
    }
    return counts;
}

function createLoops(fleet: Fleet): readonly ClosedLoop[] {
    return plan.workspaces.flatMap((workspace, index) =>
        [0, 1, 2].map((offset): ClosedLoop => ({
            workspace: workspace.name,
            router: fleet.routers[(index + offset) % routerCount]!.url,
            concurrency: 8,
            seed: index * 3 + offset,
            outputTokens: [10, 40],
            promptCharacters: 100,
        }))
    );
}

export async function runCold(): Promise<object> {
    const fleet = await startFleet(plan);
    try {
        const loops = startClosedLoops(createLoops(fleet));
        const recoveryMs = await runFaults(fleet);
        await loops.stop();
        const stats = await readTargetStats(fleet.targets);
        return {
            overCold: stats.reduce((sum, entry) => sum + Math.max(0, entry.maxColdConcurrency - coldLimit), 0),
            fellOver: stats.reduce((sum, entry) => sum + entry.fellOver, 0),
            recoveryMs,
            requests: loops.results.length,
            incomplete: countErrorCodes(loops.results),
            crossed: loops.results.filter(result => result.crossed).length,
        };
    }
    finally {
        await fleet.stop();
    }
}
