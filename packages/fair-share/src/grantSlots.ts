/** Grants free slots to the least-served workspaces, and distributes a reserve while the pool is uncontended. */
import { contendedBelowRatio, uncontendedAboveRatio } from "./constants.js";
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
import { computeAvailable, computeLimit, countUnreportedRequests } from "./targetLimits.js";

/** Computes the virtual time including the estimated cost of unconfirmed grants. */
export function computeEffectiveTime(workspace: CoordinatedWorkspace): number {
    return workspace.virtualTime + workspace.pendingCost / workspace.share;
}

function countUnserved(usage: WorkspaceRecord): number {
    return Math.max(0, usage.queued - usage.pending);
}

/** Whether the workspace has queued requests without a granted slot. */
export function isUnserved(workspace: CoordinatedWorkspace): boolean {
    for (const usage of workspace.queuedByRouter.values()) if (countUnserved(usage) > 0) return true;
    return false;
}

export function listUnserved(pool: CoordinatorPool): CoordinatedWorkspace[] {
    return [...pool.workspaces.values()].filter(isUnserved);
}

function findLeastServed(workspaces: readonly CoordinatedWorkspace[]): CoordinatedWorkspace | undefined {
    let lowest: CoordinatedWorkspace | undefined;
    for (const workspace of workspaces) {
        if (lowest === undefined || computeEffectiveTime(workspace) < computeEffectiveTime(lowest))
            lowest = workspace;
    }
    return lowest;
}

/** Finds the router with the most queued requests of the workspace without a grant. */
function findRouter(pool: CoordinatorPool, workspace: CoordinatedWorkspace): RouterRecord | undefined {
    let name: string | undefined;
    let maxUnserved = 0;
    for (const [router, usage] of workspace.queuedByRouter) {
        if (countUnserved(usage) <= maxUnserved) continue;
        maxUnserved = countUnserved(usage);
        name = router;
    }
    return name === undefined ? undefined : pool.routers.get(name);
}

/** Finds the target with the highest available fraction of its limit, preferring the router's failure domain. */
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
        const localityBonus = target.spec.failureDomain === domain ? 0.5 : 0;
        const rank = (available + localityBonus) / Math.max(1, computeLimit(pool, target));
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
    if (pool.takeoverDeadlineAt !== undefined) target.returned -= 1;
    record.announcementDue = true;
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
        const usage = workspace.queuedByRouter.get(record.router);
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

/** Distributes up to half of the spare slots to the routers; a target has at most its cold limit of unused slots. */
function grantReserve(context: CoordinatorContext, pool: CoordinatorPool): number {
    const { coldLimit } = pool.service.spec;
    const mayUse = (target: CoordinatedTarget) =>
        target.condition === "warm" && target.unused < coldLimit && computeAvailable(pool, target) > target.unused;
    const records = [...pool.routers.values()].filter(record => record.hasReported);
    let granted = 0;
    for (;;) {
        let fewest: RouterRecord | undefined;
        for (const record of records)
            if (fewest === undefined || countUnused(record) < countUnused(fewest)) fewest = record;
        const target = fewest && findTarget(context, pool, fewest, mayUse);
        if (fewest === undefined || target === undefined) return granted;
        grantSlot(pool, fewest, target);
        updateCount(fewest, target, context.now);
        granted += 1;
    }
}

/** Whether spare capacity is so low that slots in reserve would delay requests at other routers. */
function isCapacityScarce(pool: CoordinatorPool): boolean {
    let capacity = 0;
    let spare = 0;
    for (const target of pool.targets.values()) {
        const limit = computeLimit(pool, target);
        capacity += limit;
        spare += Math.max(0, limit - target.allocated + target.unused - countUnreportedRequests(target));
    }
    return spare < capacity * (pool.contended ? uncontendedAboveRatio : contendedBelowRatio);
}

function updatePoolVirtualTime(pool: CoordinatorPool): void {
    let minTime = Infinity;
    let maxTime = pool.poolVirtualTime;
    for (const workspace of pool.workspaces.values()) {
        maxTime = Math.max(maxTime, workspace.virtualTime);
        if (workspace.queuedByRouter.size > 0) minTime = Math.min(minTime, workspace.virtualTime);
    }
    // While nothing is queued, no workspace is held back, so service received then does not affect later priority.
    if (minTime === Infinity) minTime = maxTime;
    pool.poolVirtualTime = Math.max(pool.poolVirtualTime, minTime);
    for (const workspace of pool.workspaces.values()) {
        if (
            workspace.queuedByRouter.size === 0 && workspace.pendingCost === 0
            && workspace.virtualTime <= pool.poolVirtualTime
        ) {
            pool.workspaces.delete(workspace.workspace);
        }
    }
}

/** Grants available slots, and marks the routers that must receive an announcement in this step. */
export function updateGrants(context: CoordinatorContext, pool: CoordinatorPool, isTick: boolean): void {
    updatePoolVirtualTime(pool);
    const granted = grantWaiting(context, pool);
    const contended = listUnserved(pool).length > 0 || isCapacityScarce(pool);
    const reserve = isTick && !contended && pool.takeoverDeadlineAt === undefined ? grantReserve(context, pool) : 0;
    if (contended !== pool.contended && (contended || isTick)) {
        pool.contended = contended;
        for (const record of pool.routers.values()) record.announcementDue = true;
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
