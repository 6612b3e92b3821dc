/** Counts the slots that are taken at each target, from reports and from grants that reports have not confirmed. */
import type { CoordinatedTarget, CoordinatorPool, CountedSlots, RouterRecord } from "./coordinatorPool.js";

/** Values of `taken` are kept as long as a load report may be on its way. */
const historyMs = 3000;

/** Grants of the current generation that the router has not confirmed. */
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
    let taken = inTransit + (record.carried.get(name)?.count ?? 0);
    let unused = inTransit;
    let reusable = inTransit;
    let inUse = 0;
    for (const slot of record.slots.get(name) ?? []) {
        taken += slot.held;
        unused += slot.held - slot.inUse;
        inUse += slot.inUse;
        if (slot.generation === target.generation) reusable += slot.held;
    }
    for (const grant of record.pending)
        if (grant.target === name) unused -= 1;
    return { taken, unused: Math.max(0, unused), reusable, inUse };
}

function recordTaken(target: CoordinatedTarget, now: number): void {
    target.history.push({ at: now, taken: target.taken });
    while (target.history.length > 1 && (target.history[1]?.at ?? now) < now - historyMs) target.history.shift();
}

/** Brings the sums of a target up to date after the record of a router has changed. Returns the change of `taken`. */
export function updateCount(record: RouterRecord, target: CoordinatedTarget, now: number): number {
    const before = record.counted.get(target.spec.name) ?? { taken: 0, unused: 0, reusable: 0, inUse: 0 };
    const after = countRouterSlots(record, target);
    record.counted.set(target.spec.name, after);
    target.unused += after.unused - before.unused;
    target.reusable += after.reusable - before.reusable;
    target.inUse += after.inUse - before.inUse;
    const change = after.taken - before.taken;
    if (change === 0) return 0;
    target.taken += change;
    recordTaken(target, now);
    return change;
}

/** Counts slots as taken until two load reports that are sampled from now on show fewer requests. */
export function markUnaccounted(target: CoordinatedTarget, count: number, now: number): void {
    target.unaccounted = { count, since: now, seen: Infinity };
    target.polledAt = -Infinity;
    target.pollPending = false;
}

/** Removes a router from the sums; what it held counts as taken until a load report shows otherwise. */
export function removeCounts(pool: CoordinatorPool, record: RouterRecord, now: number): void {
    for (const target of pool.targets.values()) {
        const counted = record.counted.get(target.spec.name);
        if (counted === undefined) continue;
        target.taken -= counted.taken;
        target.unused -= counted.unused;
        target.reusable -= counted.reusable;
        target.inUse -= counted.inUse;
        recordTaken(target, now);
        if (counted.taken > 0) markUnaccounted(target, target.unaccounted.count + counted.taken, now);
    }
    record.counted.clear();
}

/** Number of slots that were taken at `time`. Later grants do not count: they would hide requests of lost routers. */
export function computeTakenAt(target: CoordinatedTarget, time: number): number {
    const { history } = target;
    for (let index = history.length - 1; index >= 0; index -= 1) {
        const entry = history[index];
        if (entry !== undefined && entry.at < time) return entry.taken;
    }
    return 0;
}

/** Withdraws the slots of a target: slots of older generations expire when their request ends. */
export function raiseGeneration(
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
        const carried = record.carried.get(name)?.count ?? 0;
        if (inTransit + carried > 0)
            record.carried.set(name, { untilGeneration: generation, count: inTransit + carried });
        record.issued.set(name, { generation, total: 0 });
        removePending(pool, record, grant => grant.target === name);
        updateCount(record, target, now);
        record.announce = true;
    }
}

/** Forgets unconfirmed grants that match, together with their estimated cost. */
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
