import type { RunningRouter } from "./startFleet.js";
import { readJson } from "./startFleet.js";

/** Finds the coordinator of a pool in the status of the first router. */
export async function findCoordinator(routers: readonly RunningRouter[], pool: string): Promise<RunningRouter> {
    const status = await readJson<{ pools: readonly { pool: string; coordinator: string; }[]; }>(
        `${routers[0]!.url}/api/v1/status`,
    );
    const name = status.pools.find(entry => entry.pool === pool)?.coordinator;
    const coordinator = routers.find(router => router.name === name);
    if (coordinator === undefined) throw new Error(`the coordinator of pool ${pool} is not among the given routers`);
    return coordinator;
}
