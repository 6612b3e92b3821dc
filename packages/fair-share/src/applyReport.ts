/** Applies the report of an entry router to the coordinator's state. */
import type { PoolReportMessage, SlotCount, TargetState } from "@rhubarbwheel/types/peer-messages";
import {
    type CoordinatedTarget,
    type CoordinatorContext,
    type CoordinatorPool,
    createRouterRecord,
    getOrCreateCoordinatedWorkspace,
    logCoordinatorEvent,
    type RouterRecord,
} from "./coordinatorPool.js";
import { advanceGeneration, removeCounts, removePending, updateCount } from "./countSlots.js";
import { handleObservation } from "./targetStates.js";

/** Removes a router that has left, failed or restarted; its slots become unaccounted for. */
export function removeRouter(context: CoordinatorContext, pool: CoordinatorPool, record: RouterRecord): void {
    removePending(pool, record, () => true);
    removeCounts(pool, record, context.now);
    for (const workspace of pool.workspaces.values()) workspace.queuedByRouter.delete(record.router);
    pool.routers.delete(record.router);
    logCoordinatorEvent(context, "routerLost", { service: pool.name, router: record.router });
}

function getOrCreateRecord(
    context: CoordinatorContext,
    pool: CoordinatorPool,
    from: string,
    message: PoolReportMessage,
): RouterRecord | undefined {
    const known = pool.routers.get(from);
    if (known?.incarnation === message.incarnation) return message.sequence > known.sequence ? known : undefined;
    if (known !== undefined) {
        if (message.incarnation < known.incarnation) return undefined;
        removeRouter(context, pool, known);
    }
    const record = createRouterRecord(from, message.incarnation);
    for (const target of pool.targets.values())
        record.issued.set(target.spec.name, { generation: target.generation, total: 0 });
    pool.routers.set(from, record);
    return record;
}

/** Restores state from the previous coordinator's last announcement to the router. */
function applyCopy(context: CoordinatorContext, pool: CoordinatorPool, message: PoolReportMessage): void {
    const { copy } = message;
    if (copy === undefined) return;
    pool.version = Math.max(pool.version, copy.version);
    pool.poolVirtualTime = Math.max(pool.poolVirtualTime, copy.poolVirtualTime);
    for (const entry of copy.entries) {
        const workspace = getOrCreateCoordinatedWorkspace(context, pool, entry.workspace);
        workspace.virtualTime = Math.max(workspace.virtualTime, entry.virtualTime);
    }
    // Outside a takeover, the coordinator's own target states are the latest.
    if (pool.coordinatorSince !== undefined && pool.takeoverDeadlineAt === undefined) return;
    for (const state of copy.targets) {
        const target = pool.targets.get(state.target);
        if (target !== undefined && (!target.known || copy.version > target.stateVersion))
            applyTargetCopy(context, pool, target, state, copy.version);
    }
}

function applyTargetCopy(
    context: CoordinatorContext,
    pool: CoordinatorPool,
    target: CoordinatedTarget,
    state: TargetState,
    version: number,
): void {
    target.stateVersion = version;
    target.known = true;
    if (state.generation > target.generation) advanceGeneration(pool, target, state.generation, context.now);
    const restarted = target.startId !== undefined && state.startId !== undefined && target.startId !== state.startId;
    target.condition = restarted ? "cold" : state.condition;
    target.coldLimit = restarted ? pool.service.spec.coldLimit : state.limit;
    target.startId ??= state.startId;
}

/** Sets the totals of the router's cost that are already included in the virtual times. */
function setBaseline(record: RouterRecord, message: PoolReportMessage): void {
    const setTotal = (workspace: string, totalCost: number) => {
        const usage = record.usage.get(workspace);
        if (usage === undefined) record.usage.set(workspace, { totalCost, queued: 0, pending: 0 });
        else usage.totalCost = totalCost;
    };
    if (message.copy !== undefined) {
        for (const entry of message.totalsInCopy) setTotal(entry.workspace, entry.totalCost);
    }
    // A router that reports grants has received announcements: a previous coordinator has already counted its cost.
    else if (message.granted.length > 0 && record.usage.size === 0) {
        for (const entry of message.usage) setTotal(entry.workspace, entry.totalCost);
    }
}

function applyUsage(
    context: CoordinatorContext,
    pool: CoordinatorPool,
    record: RouterRecord,
    message: PoolReportMessage,
): void {
    const listed = new Set<string>();
    for (const entry of message.usage) {
        listed.add(entry.workspace);
        const workspace = getOrCreateCoordinatedWorkspace(context, pool, entry.workspace);
        let usage = record.usage.get(entry.workspace);
        if (usage === undefined) {
            usage = { totalCost: 0, queued: 0, pending: 0 };
            record.usage.set(entry.workspace, usage);
        }
        workspace.virtualTime += (entry.totalCost - usage.totalCost) / workspace.share;
        usage.totalCost = entry.totalCost;
        usage.queued = entry.queued;
        if (entry.queued === 0) {
            workspace.queuedByRouter.delete(record.router);
            continue;
        }
        // A workspace gains no credit while it has no queued requests.
        if (workspace.queuedByRouter.size === 0)
            workspace.virtualTime = Math.max(workspace.virtualTime, pool.poolVirtualTime);
        workspace.estimatedCost = entry.estimatedCost;
        workspace.queuedByRouter.set(record.router, usage);
    }
    // Workspaces that the report omits have no queued requests.
    for (const [name, usage] of record.usage) {
        if (usage.queued === 0 || listed.has(name)) continue;
        usage.queued = 0;
        pool.workspaces.get(name)?.queuedByRouter.delete(record.router);
    }
}

function applyGranted(
    pool: CoordinatorPool,
    record: RouterRecord,
    message: PoolReportMessage,
    isFirst: boolean,
    now: number,
): void {
    for (const grant of message.granted) {
        const target = pool.targets.get(grant.target);
        if (target === undefined) continue;
        if (grant.generation > target.generation) advanceGeneration(pool, target, grant.generation, now);
        const before = record.confirmed.get(grant.target);
        // Completions in a first report were already counted by the previous coordinator.
        if (!isFirst && grant.generation === target.generation && grant.completed !== undefined) {
            const counted = before?.generation === grant.generation ? before.completed ?? 0 : 0;
            target.completed += Math.max(0, grant.completed - counted);
        }
        record.confirmed.set(grant.target, grant);
        if (grant.generation >= (record.carriedOver.get(grant.target)?.untilGeneration ?? Infinity))
            record.carriedOver.delete(grant.target);
        const issued = record.issued.get(grant.target);
        if (issued === undefined || grant.generation > issued.generation)
            record.issued.set(grant.target, { generation: grant.generation, total: grant.total });
        else if (grant.generation === issued.generation) issued.total = Math.max(issued.total, grant.total);
    }
    removePending(pool, record, grant => {
        const confirmed = record.confirmed.get(grant.target);
        return confirmed !== undefined
            && (confirmed.generation > grant.generation
                || (confirmed.generation === grant.generation && confirmed.total >= grant.total));
    });
}

/** Whether this coordinator lost its state in a restart that the router has not detected, so that it sends no copy. */
function isCopyNeeded(pool: CoordinatorPool, message: PoolReportMessage): boolean {
    return pool.version === 0 && message.copy === undefined && message.granted.length > 0;
}

/** Groups slots by target: counting scans the slots of one target, which keeps reports of large pools cheap. */
function groupSlots(slots: readonly SlotCount[]): ReadonlyMap<string, readonly SlotCount[]> {
    const groups = new Map<string, SlotCount[]>();
    for (const slot of slots) {
        const group = groups.get(slot.target);
        if (group === undefined) groups.set(slot.target, [slot]);
        else group.push(slot);
    }
    return groups;
}

/** Applies the report. Returns false if it is outdated. */
export function applyReport(
    context: CoordinatorContext,
    pool: CoordinatorPool,
    from: string,
    message: PoolReportMessage,
): boolean {
    const record = getOrCreateRecord(context, pool, from, message);
    if (record === undefined) return false;
    const isFirst = !record.hasReported;
    record.sequence = message.sequence;
    if (isFirst && isCopyNeeded(pool, message)) {
        // The router rejects the low version of this announcement and sends its copy.
        record.copyNeeded = true;
        return true;
    }
    record.hasReported = context.now >= pool.takeoverReportsFrom;
    if (message.copy !== undefined) record.announced.lastCompleteAt = -Infinity;
    applyCopy(context, pool, message);
    if (isFirst) setBaseline(record, message);
    applyUsage(context, pool, record, message);
    record.slots = groupSlots(message.slots);
    applyGranted(pool, record, message, isFirst, context.now);
    for (const target of pool.targets.values()) {
        const change = updateCount(record, target, context.now);
        if (!isFirst && change < 0) target.returned -= change;
    }
    for (const observation of message.observations) handleObservation(context, pool, observation);
    if (isFirst && record.hasReported) record.announcementDue = true;
    return true;
}
