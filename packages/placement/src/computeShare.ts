/** Divides a whole number of requests among the routers. */
import type { EntryRouterOptions } from "./entryState.js";

/**
 * This router's share of the limit. The shares of all routers add up to it, so that it holds while routers cannot reach
 * each other.
 */
export function computeShare({ view, router }: Pick<EntryRouterOptions, "view" | "router">, limit: number): number {
    const routerNames = view.listRouters().map(entry => entry.router).sort();
    const count = Math.max(1, routerNames.length);
    const rank = Math.max(0, routerNames.indexOf(router));
    return Math.floor(limit / count) + (rank < limit % count ? 1 : 0);
}
