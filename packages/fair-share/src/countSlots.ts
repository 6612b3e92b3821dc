/** Counts the allocated slots of each target, from reports and from unconfirmed grants. */
import type { CoordinatedTarget, CoordinatorPool, CountedSlots, RouterRecord } from "./coordinatorPool.js";

/** Values of `allocated` are kept for the maximum delay of a load report. */
const historyMs = 3000;

/** Counts the grants of the current generation that the router has not confirmed. */
function countInTransit(record: RouterRecord, target: string): number {
    const issued = record.issued.get(target);
    if (issued === undefined) return 0;
    const confirmed = record.confirmed.get(target);
    const received = confirmed?.generation === issued.generation ? confirmed.total : 0;
    return Math.max(0, issued.total - received);
}

function countRouterSlots(record: RouterRecord, target: CoordinatedTarget): CountedSlots {
    const name = target.spec.name;
    const inTransit = countInTransit(record, name);
    let allocated = inTransit + (record.carriedOver.get(name)?.count ?? 0);
    let unused = inTransit;
    let reusable = inTransit;
    let inUse = 0;
    for (const slot of record.slots.get(name) ?? []) {
        allocated += slot.held;
        unused += slot.held - slot.inUse;
        inUse += slot.inUse;
        if (slot.generation === target.generation) reusable += slot.held;
    }
    for (const grant of record.pending)
        if (grant.target === name) unused -= 1;
    return { allocated, unused: Math.max(0, unused), reusable, inUse };
}

function recordAllocated(target: CoordinatedTarget, now: number): void {
    target.history.push({ at: now, allocated: target.allocated });
    while (target.history.length > 1 && (target.history[1]?.at ?? now) < now - historyMs) target.history.shift();
}

/** Updates the sums of a target after a change of a router's record. Returns the change of `allocated`. */
export function updateCount(record: RouterRecord, target: CoordinatedTarget, now: number): number {
    const before = record.counted.get(target.spec.name) ?? { allocated: 0, unused: 0, reusable: 0, inUse: 0 };
    const after = countRouterSlots(record, target);
    record.counted.set(target.spec.name, after);
    target.unused += after.unused - before.unused;
    target.reusable += after.reusable - before.reusable;
    target.inUse += after.inUse - before.inUse;
    const change = after.allocated - before.allocated;
    if (change === 0) return 0;
    target.allocated += change;
    recordAllocated(target, now);
    return change;
}

/** Sets the number of slots that count as in use until two load reports sampled from now on show fewer requests. */
export function setUnaccountedSlots(target: CoordinatedTarget, count: number, now: number): void {
    target.unaccountedSlots = { count, since: now, lastUnreported: Infinity };
    target.polledAt = -Infinity;
    target.pollPending = false;
}

/** Removes a router from the sums; its slots count as in use until load reports show otherwise. */
export function removeCounts(pool: CoordinatorPool, record: RouterRecord, now: number): void {
    for (const target of pool.targets.values()) {
        const counted = record.counted.get(target.spec.name);
        if (counted === undefined) continue;
        target.allocated -= counted.allocated;
        target.unused -= counted.unused;
        target.reusable -= counted.reusable;
        target.inUse -= counted.inUse;
        recordAllocated(target, now);
        if (counted.allocated > 0) setUnaccountedSlots(target, target.unaccountedSlots.count + counted.allocated, now);
    }
    record.counted.clear();
}

/** Number of slots allocated at `time`. Later grants are excluded: they would hide requests of lost routers. */
export function computeAllocatedAt(target: CoordinatedTarget, time: number): number {
    const { history } = target;
    for (let index = history.length - 1; index >= 0; index -= 1) {
        const entry = history[index];
        if (entry !== undefined && entry.at < time) return entry.allocated;
    }
    return 0;
}

/** Withdraws the slots of a target: slots of older generations expire when their requests end. */
export function advanceGeneration(
    pool: CoordinatorPool,
    target: CoordinatedTarget,
    generation: number,
    now: number,
): void {
    const name = target.spec.name;
    target.generation = generation;
    target.completed = 0;
    target.returned = 0;
    for (const record of pool.routers.values()) {
        const inTransit = countInTransit(record, name);
        const carried = record.carriedOver.get(name)?.count ?? 0;
        if (inTransit + carried > 0)
            record.carriedOver.set(name, { untilGeneration: generation, count: inTransit + carried });
        record.issued.set(name, { generation, total: 0 });
        removePending(pool, record, grant => grant.target === name);
        updateCount(record, target, now);
        record.announcementDue = true;
    }
}

/** Removes matching unconfirmed grants and their estimated cost. */
export function removePending(
    pool: CoordinatorPool,
    record: RouterRecord,
    matches: (grant: RouterRecord["pending"][number]) => boolean,
): void {
    record.pending = record.pending.filter(grant => {
        if (!matches(grant)) return true;
        const workspace = pool.workspaces.get(grant.workspace);
        if (workspace !== undefined) workspace.pendingCost = Math.max(0, workspace.pendingCost - grant.cost);
        const usage = record.usage.get(grant.workspace);
        if (usage !== undefined) usage.pending = Math.max(0, usage.pending - 1);
        return false;
    });
}
