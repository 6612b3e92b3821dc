/** Benchmark `cold`: targets restart cold without warning while the coordinator dies and the store is down. */
import { setTimeout as sleep } from "node:timers/promises";
import type { CallerResult } from "./createCaller.js";
import { findCoordinator } from "./findCoordinator.js";
import { chooseDomains } from "./fleetPlan.js";
import type { FleetPlan } from "./fleetPlan.js";
import type { ClosedLoop } from "./runClosedLoop.js";
import { readTargetStats, sampleUtilisation } from "./sampleTargets.js";
import { startClosedLoops } from "./startClosedLoops.js";
import { putControl, startFleet } from "./startFleet.js";
import type { Fleet, RunningTarget } from "./startFleet.js";

const domains = ["khomas-a", "khomas-b", "khomas-c", "khomas-d"] as const;
const routerCount = 8;
const targetCount = 8;
const targetLimit = 8;
const coldLimit = 2;

const warmUpMs = 9_000;
const betweenFaultsMs = 4_000;
const recoveryLimitMs = 15_000;
const recoveredUtilisation = 0.95;
const pollMs = 100;

const plan: FleetPlan = {
    failureDomains: domains,
    routerDomains: chooseDomains(domains, routerCount),
    services: [{
        name: "assistant",
        kind: "model",
        failureDomains: chooseDomains(domains, targetCount),
        targetLimit,
        coldLimit,
        flags: ["--tokenBaseMs=10", "--tokenSlopeMs=0", "--warmAfterCompleted=20", "--warmAfterMs=60000"],
    }],
    workspaces: Array.from({ length: 8 }, (_, index) => ({ name: `plant-${index}`, share: 1 })),
};

const restart = (target: RunningTarget) => putControl(`${target.url}/control/restart`, {}, "POST");

/** Returns whether the targets were busy again within the limit. */
async function waitForUtilisation(fleet: Fleet): Promise<boolean> {
    const startedAt = Date.now();
    while (Date.now() - startedAt < recoveryLimitMs) {
        if (await sampleUtilisation(fleet.targets, targetLimit) >= recoveredUtilisation) return true;
        await sleep(pollMs);
    }
    return false;
}

/**
 * Restarts a target alone, one with the coordinator's death, one with the store down, and two with both. Returns the
 * time from the last fault to the recovery, or infinity, which JSON shows as null.
 */
async function runFaults(fleet: Fleet): Promise<number> {
    await sleep(warmUpMs);
    await restart(fleet.targets[0]!);
    await sleep(betweenFaultsMs);
    const first = await findCoordinator(fleet.routers, "assistant");
    first.process.signal("SIGKILL");
    await restart(fleet.targets[1]!);
    await sleep(betweenFaultsMs);
    await first.restart();
    await putControl(`${fleet.platformUrl}/control/faults`, { down: true });
    await restart(fleet.targets[2]!);
    await sleep(betweenFaultsMs);
    const second = await findCoordinator(fleet.routers, "assistant");
    second.process.signal("SIGKILL");
    await Promise.all([restart(fleet.targets[3]!), restart(fleet.targets[4]!)]);
    const lastFaultAt = Date.now();
    await sleep(betweenFaultsMs);
    await putControl(`${fleet.platformUrl}/control/faults`, { down: false });
    return await waitForUtilisation(fleet) ? Date.now() - lastFaultAt : Infinity;
}

/** Counts the results that are not complete by their code; killed routers and restarted targets break connections. */
function countCodes(results: readonly CallerResult[]): Readonly<Record<string, number>> {
    const counts: Record<string, number> = {};
    for (const { outcome, code } of results) {
        if (outcome === "complete") continue;
        const key = code ?? outcome;
        counts[key] = (counts[key] ?? 0) + 1;
    }
    return counts;
}

function buildLoops(fleet: Fleet): readonly ClosedLoop[] {
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
        const loops = startClosedLoops(buildLoops(fleet));
        const recoveryMs = await runFaults(fleet);
        await loops.stop();
        const stats = await readTargetStats(fleet.targets);
        return {
            overCold: stats.reduce((sum, entry) => sum + Math.max(0, entry.maxColdConcurrency - coldLimit), 0),
            fellOver: stats.reduce((sum, entry) => sum + entry.fellOver, 0),
            recoveryMs,
            requests: loops.results.length,
            incomplete: countCodes(loops.results),
            crossed: loops.results.filter(result => result.crossed).length,
        };
    }
    finally {
        await fleet.stop();
    }
}
