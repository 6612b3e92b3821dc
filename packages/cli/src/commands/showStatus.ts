/** `status`: routers, targets and backlogged workspaces on one screen. */
import type { CommandContext } from "../cliContext.js";
import { checkPositionalCount } from "../cliContext.js";
import { renderTable } from "../renderTable.js";
import type { PoolStatus, RouterStatus } from "../routerStatus.js";

/** Keeps the output on one screen; the least-served workspaces come first. */
const maxWorkspacesPerPool = 10;

export async function showStatus(context: CommandContext): Promise<void> {
    checkPositionalCount(context, 0);
    const statuses = await context.client.readAllStatuses();
    if (context.output === "json") context.io.writeOutput(`${JSON.stringify(statuses, undefined, 2)}\n`);
    else if (context.output === "names") context.io.writeOutput(listRouterNames(statuses));
    else context.io.writeOutput(renderStatus(statuses));
}

function listRouterNames(statuses: readonly RouterStatus[]): string {
    return (statuses[0]?.members ?? []).map(member => `${member.router}\n`).join("");
}

/** Members as the first router sees them; pools as their coordinators see them, if they were asked. */
export function renderStatus(statuses: readonly RouterStatus[]): string {
    const [first] = statuses;
    if (first === undefined) return "";
    const asked = new Map(statuses.map(status => [status.router, status]));
    // Slots and backlog of a pool are known to its coordinator only.
    const pools = first.pools.map(pool =>
        asked.get(pool.coordinator)?.pools.find(known => known.pool === pool.pool) ?? pool
    );
    const sections = [
        renderRouters(first, asked),
        renderTargets(pools),
        ...renderBacklog(pools, asked),
        `Seen by ${first.router}: ${first.traffic.messages} control messages, ${first.traffic.bytes} bytes, `
        + `${first.platformCalls} platform calls\n`,
    ];
    return sections.join("\n");
}

function renderRouters(first: RouterStatus, asked: ReadonlyMap<string, RouterStatus>): string {
    const known = first.members.some(member => member.router === first.router);
    const self = { ...first, state: "alive" as const };
    const members = [...(known ? [] : [self]), ...first.members]
        .sort((one, other) => one.router < other.router ? -1 : 1);
    const rows = members.map(member => {
        const status = asked.get(member.router);
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

function renderBacklog(pools: readonly PoolStatus[], asked: ReadonlyMap<string, RouterStatus>): string[] {
    return pools.map(pool => {
        if (!asked.has(pool.coordinator))
            return `Pool ${pool.pool}: name ${pool.coordinator} in --router to see its slots and backlog\n`;
        const backlogged = pool.workspaces.filter(workspace => workspace.queued > 0)
            .sort((one, other) => one.virtualTime - other.virtualTime);
        const rows = backlogged.slice(0, maxWorkspacesPerPool)
            .map(workspace => [workspace.workspace, workspace.virtualTime.toFixed(1), workspace.queued]);
        const hidden = backlogged.length - rows.length;
        const title = `Pool ${pool.pool}: gap ${pool.gap.toFixed(1)}, ${backlogged.length} backlogged workspaces\n`;
        if (rows.length === 0) return title;
        const more = hidden > 0 ? `and ${hidden} more\n` : "";
        return `${title}${renderTable(["WORKSPACE", "VIRTUAL-TIME", "QUEUED"], rows)}${more}`;
    });
}
