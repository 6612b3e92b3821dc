/** Grants free slots to the least-served workspaces, and spreads a reserve while nothing waits. */
import { relaxedRatio, tightRatio } from "./constants.js";
import {
    type CoordinatedTarget,
    type CoordinatedWorkspace,
    type CoordinatorContext,
    type CoordinatorPool,
    logCoordinatorEvent,
    type RouterRecord,
    type WorkspaceRecord,
} from "./coordinatorPool.js";
import { updateCount } from "./countSlots.js";
import { computeAvailable, computeLimit, countOutside } from "./targetLimits.js";

/** Virtual time including the cost of grants that no report has confirmed. */
export function computeEffectiveTime(workspace: CoordinatedWorkspace): number {
    return workspace.virtualTime + workspace.pendingCost / workspace.share;
}

function countUnserved(usage: WorkspaceRecord): number {
    return Math.max(0, usage.queued - usage.pending);
}

/** Whether a request of the workspace waits for which no slot has been granted. */
export function isUnserved(workspace: CoordinatedWorkspace): boolean {
    for (const usage of workspace.queuedAt.values()) if (countUnserved(usage) > 0) return true;
    return false;
}

export function listUnserved(pool: CoordinatorPool): CoordinatedWorkspace[] {
    return [...pool.workspaces.values()].filter(isUnserved);
}

function findLeastServed(workspaces: readonly CoordinatedWorkspace[]): CoordinatedWorkspace | undefined {
    let least: CoordinatedWorkspace | undefined;
    for (const workspace of workspaces) {
        if (least === undefined || computeEffectiveTime(workspace) < computeEffectiveTime(least))
            least = workspace;
    }
    return least;
}

/** Finds the router at which most requests of the workspace wait without a grant. */
function findRouter(pool: CoordinatorPool, workspace: CoordinatedWorkspace): RouterRecord | undefined {
    let name: string | undefined;
    let most = 0;
    for (const [router, usage] of workspace.queuedAt) {
        if (countUnserved(usage) <= most) continue;
        most = countUnserved(usage);
        name = router;
    }
    return name === undefined ? undefined : pool.routers.get(name);
}

/** Finds the target with the greatest free part of its limit, preferring the failure domain of the router. */
function findTarget(
    context: CoordinatorContext,
    pool: CoordinatorPool,
    record: RouterRecord,
    mayUse: (target: CoordinatedTarget) => boolean,
): CoordinatedTarget | undefined {
    const domain = context.membership.getMember(record.router)?.failureDomain;
    let best: CoordinatedTarget | undefined;
    let bestRank = 0;
    for (const target of pool.targets.values()) {
        const available = computeAvailable(pool, target);
        if (available === 0 || !mayUse(target)) continue;
        const near = target.spec.failureDomain === domain ? 0.5 : 0;
        const rank = (available + near) / Math.max(1, computeLimit(pool, target));
        if (rank <= bestRank) continue;
        best = target;
        bestRank = rank;
    }
    return best;
}

function grantSlot(pool: CoordinatorPool, record: RouterRecord, target: CoordinatedTarget) {
    const name = target.spec.name;
    let issued = record.issued.get(name);
    if (issued === undefined || issued.generation !== target.generation) {
        issued = { generation: target.generation, total: 0 };
        record.issued.set(name, issued);
    }
    issued.total += 1;
    if (pool.takeoverUntil !== undefined) target.returned -= 1;
    record.announce = true;
    return { target: name, generation: issued.generation, total: issued.total };
}

function grantWaiting(context: CoordinatorContext, pool: CoordinatorPool): Map<string, number> {
    const granted = new Map<string, number>();
    let unserved = listUnserved(pool);
    while (unserved.length > 0) {
        const workspace = findLeastServed(unserved);
        const record = workspace && findRouter(pool, workspace);
        if (workspace === undefined || record === undefined) break;
        const target = findTarget(context, pool, record, () => true);
        if (target === undefined) break;
        const cost = workspace.estimatedCost;
        const usage = workspace.queuedAt.get(record.router);
        const grant = grantSlot(pool, record, target);
        record.pending.push({ ...grant, workspace: workspace.workspace, cost });
        workspace.pendingCost += cost;
        if (usage !== undefined) usage.pending += 1;
        updateCount(record, target, context.now);
        granted.set(workspace.workspace, (granted.get(workspace.workspace) ?? 0) + 1);
        if (!isUnserved(workspace)) unserved = unserved.filter(other => other !== workspace);
    }
    return granted;
}

function countUnused(record: RouterRecord): number {
    let unused = 0;
    for (const counted of record.counted.values()) unused += counted.unused;
    return unused;
}

/** Spreads at most half of the spare slots over the routers; per target never more unused ones than its cold limit. */
function grantReserve(context: CoordinatorContext, pool: CoordinatorPool): number {
    const { coldLimit } = pool.service.spec;
    const mayUse = (target: CoordinatedTarget) =>
        target.condition === "warm" && target.unused < coldLimit && computeAvailable(pool, target) > target.unused;
    const records = [...pool.routers.values()].filter(record => record.inTenure);
    let granted = 0;
    for (;;) {
        let least: RouterRecord | undefined;
        for (const record of records)
            if (least === undefined || countUnused(record) < countUnused(least)) least = record;
        const target = least && findTarget(context, pool, least, mayUse);
        if (least === undefined || target === undefined) return granted;
        grantSlot(pool, least, target);
        updateCount(least, target, context.now);
        granted += 1;
    }
}

/** Whether so little capacity is spare that slots held in reserve would make requests wait elsewhere. */
function isTight(pool: CoordinatorPool): boolean {
    let capacity = 0;
    let spare = 0;
    for (const target of pool.targets.values()) {
        const limit = computeLimit(pool, target);
        capacity += limit;
        spare += Math.max(0, limit - target.taken + target.unused - countOutside(target));
    }
    return spare < capacity * (pool.contended ? relaxedRatio : tightRatio);
}

function updatePoolTime(pool: CoordinatorPool): void {
    let least = Infinity;
    let greatest = pool.poolVirtualTime;
    for (const workspace of pool.workspaces.values()) {
        greatest = Math.max(greatest, workspace.virtualTime);
        if (workspace.queuedAt.size > 0) least = Math.min(least, workspace.virtualTime);
    }
    // While nothing waits, each workspace gets all it asks for, so that service received then gives no priority later.
    if (least === Infinity) least = greatest;
    pool.poolVirtualTime = Math.max(pool.poolVirtualTime, least);
    for (const workspace of pool.workspaces.values()) {
        if (
            workspace.queuedAt.size === 0 && workspace.pendingCost === 0
            && workspace.virtualTime <= pool.poolVirtualTime
        ) {
            pool.workspaces.delete(workspace.workspace);
        }
    }
}

/** Grants what can be granted, and marks the routers that must be told at once. */
export function updateGrants(context: CoordinatorContext, pool: CoordinatorPool, onTick: boolean): void {
    updatePoolTime(pool);
    const granted = grantWaiting(context, pool);
    const contended = listUnserved(pool).length > 0 || isTight(pool);
    const reserve = onTick && !contended && pool.takeoverUntil === undefined ? grantReserve(context, pool) : 0;
    if (contended !== pool.contended && (contended || onTick)) {
        pool.contended = contended;
        for (const record of pool.routers.values()) record.announce = true;
        logCoordinatorEvent(context, "contentionChanged", { service: pool.name, contended });
    }
    if (granted.size === 0 && reserve === 0) return;
    let slots = 0;
    for (const count of granted.values()) slots += count;
    logCoordinatorEvent(context, "slotsGranted", {
        service: pool.name,
        slots,
        workspaces: [...granted].map(([workspace, count]) => `${workspace}:${count}`).join(","),
        reserve,
    });
}
