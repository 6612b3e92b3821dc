/** `status`: prints routers, targets and backlogged workspaces on one screen. */
import type { CommandContext } from "../cliContext.js";
import { checkPositionalCount } from "../cliContext.js";
import { renderTable } from "../renderTable.js";
import type { PoolStatus, RouterStatus } from "../routerStatus.js";

/** Limits the output to one screen. The least-served workspaces come first. */
const maxWorkspacesPerPool = 10;

export async function printStatus(context: CommandContext): Promise<void> {
    checkPositionalCount(context, 0);
    const statuses = await context.client.readAllStatuses();
    if (context.output === "json") context.io.writeOutput(`${JSON.stringify(statuses, undefined, 2)}\n`);
    else if (context.output === "names") context.io.writeOutput(listRouterNames(statuses));
    else context.io.writeOutput(renderStatus(statuses));
}

function listRouterNames(statuses: readonly RouterStatus[]): string {
    return (statuses[0]?.members ?? []).map(member => `${member.router}\n`).join("");
}

/** Shows the members that the first router reports, and each pool as reported by its coordinator if possible. */
export function renderStatus(statuses: readonly RouterStatus[]): string {
    const [first] = statuses;
    if (first === undefined) return "";
    const statusByRouter = new Map(statuses.map(status => [status.router, status]));
    // Only the coordinator of a pool knows its slots and backlog.
    const pools = first.pools.map(pool =>
        statusByRouter.get(pool.coordinator)?.pools.find(known => known.pool === pool.pool) ?? pool
    );
    const sections = [
        renderRouters(first, statusByRouter),
        renderTargets(pools),
        ...renderBacklog(pools, statusByRouter),
        `Reported by ${first.router}: ${first.traffic.messages} control messages, ${first.traffic.bytes} bytes, `
        + `${first.platformCalls} platform calls\n`,
    ];
    return sections.join("\n");
}

function renderRouters(first: RouterStatus, statusByRouter: ReadonlyMap<string, RouterStatus>): string {
    const known = first.members.some(member => member.router === first.router);
    const self = { ...first, state: "alive" as const };
    const members = [...(known ? [] : [self]), ...first.members]
        .sort((one, other) => one.router < other.router ? -1 : 1);
    const rows = members.map(member => {
        const status = statusByRouter.get(member.router);
        const age = status?.configurationAgeMs;
        return [
            member.router,
            member.failureDomain,
            status?.draining ? "draining" : member.state,
            status?.freshness,
            age === undefined ? undefined : `${(age / 1_000).toFixed(1)}s`,
            status?.revision ?? member.revision,
        ];
    });
    return renderTable(["ROUTER", "FAILURE-DOMAIN", "STATE", "FRESHNESS", "CONFIRMED", "REVISION"], rows);
}

function renderTargets(pools: readonly PoolStatus[]): string {
    const rows = pools.flatMap(pool =>
        pool.targets.map(target => [
            pool.pool,
            pool.coordinator,
            target.target,
            target.condition,
            target.limit,
            target.held,
            target.running,
        ])
    );
    return renderTable(["POOL", "COORDINATOR", "TARGET", "CONDITION", "LIMIT", "HELD", "RUNNING"], rows);
}

function renderBacklog(pools: readonly PoolStatus[], statusByRouter: ReadonlyMap<string, RouterStatus>): string[] {
    return pools.map(pool => {
        if (!statusByRouter.has(pool.coordinator))
            return `Pool ${pool.pool}: name ${pool.coordinator} in --router to see its slots and backlog\n`;
        const backlogged = pool.workspaces.filter(workspace => workspace.queued > 0)
            .sort((one, other) => one.virtualTime - other.virtualTime);
        const rows = backlogged.slice(0, maxWorkspacesPerPool)
            .map(workspace => [workspace.workspace, workspace.virtualTime.toFixed(1), workspace.queued]);
        const hiddenCount = backlogged.length - rows.length;
        const title = `Pool ${pool.pool}: gap ${pool.gap.toFixed(1)}, ${backlogged.length} backlogged workspaces\n`;
        if (rows.length === 0) return title;
        const more = hiddenCount > 0 ? `and ${hiddenCount} more\n` : "";
        return `${title}${renderTable(["WORKSPACE", "VIRTUAL-TIME", "QUEUED"], rows)}${more}`;
    });
}
