/** Builds the reports of an entry router to the coordinator of a pool. */
import type { Effect } from "@rhubarbwheel/types/effects";
import type {
    GrantTotal,
    PoolReportMessage,
    SlotCount,
    TargetObservation,
    WorkspaceUsage,
} from "@rhubarbwheel/types/peer-messages";
import type { Member, RouterIdentity } from "@rhubarbwheel/types/slices";
import { copyResendAfterMs, maxSentReports, reportIntervalMs } from "./constants.js";
import { type EntryPool, estimateCost, type WorkspaceQueue } from "./entryPool.js";
import { type HeldTarget, listSlotCounts } from "./slotTable.js";

export interface ReportOptions {
    readonly identity: RouterIdentity;
    readonly coordinator: Member;
    readonly now: number;
    /** Whether this router may dispatch requests; otherwise it reports none as queued and so requests no slots. */
    readonly active: boolean;
}

/** Whether a report is due on this tick. */
export function isReportDue(pool: EntryPool, now: number): boolean {
    return pool.changed || pool.ackedSequence < pool.reportSequence || now - pool.lastReportAt >= reportIntervalMs;
}

function listUsage(pool: EntryPool, opts: ReportOptions, complete: boolean): WorkspaceUsage[] {
    const usage: WorkspaceUsage[] = [];
    for (const queue of pool.workspaces.values()) {
        const queued = opts.active ? queue.waiting.length : 0;
        if (queued !== queue.reportedQueued) queue.changed = true;
        const lastReported = queue.reported.at(-1);
        const first = queue.waiting[0];
        if (first !== undefined) queue.estimatedCost = estimateCost(pool, queue, first.request);
        const acked = lastReported === undefined || lastReported.sequence <= pool.ackedSequence;
        if (!complete && !queue.changed && queued === 0 && acked) continue;
        usage.push({
            workspace: queue.workspace,
            totalCost: queue.totalCost,
            queued,
            estimatedCost: queue.estimatedCost,
        });
        if (queue.changed || lastReported === undefined) {
            queue.reported.push({ sequence: pool.reportSequence, totalCost: queue.totalCost });
            queue.changed = false;
            queue.reportedQueued = queued;
        }
    }
    return usage;
}

/** Removes reported totals that are older than the one included in the last announcement. */
export function removeOlderReported(queue: WorkspaceQueue, ackedSequence: number): void {
    while (queue.reported.length > 1 && (queue.reported[1]?.sequence ?? Infinity) <= ackedSequence)
        queue.reported.shift();
}

function listTotalsInCopy(pool: EntryPool): { workspace: string; totalCost: number; }[] {
    const totals: { workspace: string; totalCost: number; }[] = [];
    for (const queue of pool.workspaces.values()) {
        const firstReported = queue.reported[0];
        if (firstReported !== undefined && firstReported.sequence <= pool.ackedSequence)
            totals.push({ workspace: queue.workspace, totalCost: firstReported.totalCost });
    }
    return totals;
}

function createGrantTotal(held: HeldTarget): GrantTotal {
    const { target, generation, received: total, completed } = held;
    return { target, generation, total, ...(held.condition === "cold" ? { completed } : {}) };
}

/** Builds the next report and the effect that sends it. */
export function createReportEffect(pool: EntryPool, opts: ReportOptions): Effect {
    const complete = pool.sendCopy || opts.now - pool.lastAnnouncementAt > copyResendAfterMs;
    const slots: SlotCount[] = [];
    const granted: GrantTotal[] = [];
    const observations: TargetObservation[] = [];
    for (const held of pool.targets.values()) {
        slots.push(...listSlotCounts(held));
        if (held.generation > 0)
            granted.push(createGrantTotal(held));
        if (held.suspended !== undefined) observations.push(held.suspended);
    }
    pool.reportSequence += 1;
    pool.lastReportAt = opts.now;
    pool.sentReports.push({ sequence: pool.reportSequence, at: opts.now });
    // Without a coordinator, no report is acknowledged and the list would grow without bound.
    if (pool.sentReports.length > maxSentReports) pool.sentReports.shift();
    pool.changed = false;
    pool.reportDue = false;
    const message: PoolReportMessage = {
        type: "poolReport",
        pool: pool.name,
        incarnation: opts.identity.incarnation,
        sequence: pool.reportSequence,
        usage: listUsage(pool, opts, complete),
        slots,
        granted,
        observations,
        totalsInCopy: complete && pool.copy !== undefined ? listTotalsInCopy(pool) : [],
        ...(complete && pool.copy !== undefined ? { copy: pool.copy } : {}),
    };
    return { type: "sendToPeer", router: opts.coordinator.router, address: opts.coordinator.address, message };
}
