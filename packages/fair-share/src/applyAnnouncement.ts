/** Applies a coordinator's announcement to the pool of an entry router. */
import type { PoolAnnouncementMessage } from "@rhubarbwheel/types/peer-messages";
import { type EntryPool, getOrCreateHeldTarget, type WorkspaceQueue } from "./entryPool.js";
import { removeOlderReported } from "./reportPool.js";
import { applyGrant, applyTargetState } from "./slotTable.js";

function applyVirtualTime(queue: WorkspaceQueue, virtualTime: number, ackedSequence: number): void {
    const firstReported = queue.reported[0];
    queue.baseVirtualTime = virtualTime;
    // If no acknowledged report included the workspace, the announced time includes none of its cost at this router.
    queue.baseCost = firstReported !== undefined && firstReported.sequence <= ackedSequence
        ? firstReported.totalCost
        : 0;
}

/** Replaces the entries that a partial announcement contains, by name, and keeps the others. */
function mergeEntries<T>(before: readonly T[] | undefined, changed: readonly T[], getName: (entry: T) => string) {
    if (before === undefined || before.length === 0) return changed;
    if (changed.length === 0) return before;
    const merged = new Map(before.map(entry => [getName(entry), entry]));
    for (const entry of changed) merged.set(getName(entry), entry);
    return [...merged.values()];
}

function applyTimes(pool: EntryPool, message: PoolAnnouncementMessage): void {
    pool.ackedSequence = Math.max(pool.ackedSequence, message.reportSequence);
    pool.poolVirtualTime = message.poolVirtualTime;
    pool.ceiling = message.ceiling;
    for (const queue of pool.workspaces.values()) removeOlderReported(queue, pool.ackedSequence);
    for (const entry of message.virtualTimes) {
        const queue = pool.workspaces.get(entry.workspace);
        if (queue !== undefined) applyVirtualTime(queue, entry.virtualTime, pool.ackedSequence);
    }
    const before = message.partial === true ? pool.copy : undefined;
    pool.copy = {
        version: message.version,
        poolVirtualTime: message.poolVirtualTime,
        entries: mergeEntries(before?.entries, message.virtualTimes, entry => entry.workspace),
        targets: mergeEntries(before?.targets, message.targets, state => state.target),
    };
}

/** Applies the announcement. Returns false if it is older than one that was applied before. */
export function applyAnnouncement(pool: EntryPool, message: PoolAnnouncementMessage, now: number): boolean {
    if (message.version <= (pool.copy?.version ?? 0)) {
        // A coordinator that lost its state starts at a low version until a report contains the last one.
        if (message.reportSequence > pool.ackedSequence) {
            pool.sendCopy = true;
            pool.reportDue = true;
        }
        return false;
    }
    applyTimes(pool, message);
    while ((pool.sentReports[0]?.sequence ?? Infinity) <= message.reportSequence)
        pool.confirmedAt = pool.sentReports.shift()?.at ?? pool.confirmedAt;
    pool.lastAnnouncementAt = now;
    pool.timeoutReported = false;
    pool.sendCopy = false;
    for (const state of message.targets)
        if (applyTargetState(getOrCreateHeldTarget(pool, state.target), state) > 0) pool.reportDue = true;

    for (const grant of message.granted)
        if (applyGrant(getOrCreateHeldTarget(pool, grant.target), grant) > 0) pool.changed = true;

    // Requests that have not been reported yet may be waiting while slots are free at other routers.
    if (pool.contended && !message.contended && pool.backloggedQueues.size > 0) pool.reportDue = true;
    pool.contended = message.contended;
    return true;
}
