import type { RunningRouter } from "./startFleet.js";
import { readJson } from "./startFleet.js";

/** Finds the coordinator of a pool as the first of the routers sees it. */
export async function findCoordinator(routers: readonly RunningRouter[], pool: string): Promise<RunningRouter> {
    const status = await readJson<{ pools: readonly { pool: string; coordinator: string; }[]; }>(
        `${routers[0]!.url}/api/v1/status`,
    );
    const name = status.pools.find(entry => entry.pool === pool)?.coordinator;
    const coordinator = routers.find(router => router.name === name);
    if (coordinator === undefined) throw new Error(`The coordinator of pool ${pool} is not among the routers.`);
    return coordinator;
}
