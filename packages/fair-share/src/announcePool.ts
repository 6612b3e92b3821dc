/** Builds and sends the coordinator's announcements to entry routers. */
import type {
    GrantTotal,
    PoolAnnouncementMessage,
    TargetState,
    WorkspaceVirtualTime,
} from "@rhubarbwheel/types/peer-messages";
import { announceAllIntervalMs, announceIntervalContendedMs, announceIntervalUncontendedMs } from "./constants.js";
import {
    type AnnouncedEntries,
    type CoordinatedWorkspace,
    type CoordinatorContext,
    type CoordinatorPool,
    type RouterRecord,
} from "./coordinatorPool.js";
import { computeEffectiveTime, listUnserved } from "./grantSlots.js";
import { computeLimit } from "./targetLimits.js";

function listTargetStates(pool: CoordinatorPool): TargetState[] {
    return [...pool.targets.values()].filter(target => target.known).map(target => ({
        target: target.spec.name,
        generation: target.generation,
        condition: target.condition,
        limit: target.condition === "cold" ? target.coldLimit : computeLimit(pool, target),
        ...(target.suspect === undefined ? {} : { suspect: true }),
        ...(target.startId === undefined ? {} : { startId: target.startId }),
    }));
}

/** Virtual time by which a workspace may be ahead: the highest estimated cost per share of a waiting request. */
export function computeAllowance(waiting: readonly CoordinatedWorkspace[]): number {
    let allowance = 0;
    for (const workspace of waiting) allowance = Math.max(allowance, workspace.estimatedCost / workspace.share);
    return allowance;
}

/**
 * A router serves its own queues in order of virtual time, so only workspaces that wait at other routers limit its
 * reuse of slots. `waiting` is sorted by effective time. The ceiling includes unconfirmed grants, as the order of
 * grants does: otherwise a router could repeatedly be granted a slot for a workspace above its ceiling and return it.
 */
function computeCeiling(record: RouterRecord, waiting: readonly CoordinatedWorkspace[], allowance: number): number {
    const elsewhere = waiting.find(workspace => !workspace.queuedByRouter.has(record.router));
    return elsewhere === undefined ? Number.MAX_VALUE : computeEffectiveTime(elsewhere) + allowance;
}

function listVirtualTimes(pool: CoordinatorPool, record: RouterRecord): WorkspaceVirtualTime[] {
    const times: WorkspaceVirtualTime[] = [];
    for (const workspace of pool.workspaces.values()) {
        if (record.usage.has(workspace.workspace))
            times.push({ workspace: workspace.workspace, virtualTime: workspace.virtualTime });
    }
    return times;
}

function listGranted(pool: CoordinatorPool, record: RouterRecord): GrantTotal[] {
    const granted: GrantTotal[] = [];
    for (const [target, { generation, total }] of record.issued) {
        if (total > 0 && pool.targets.get(target)?.generation === generation)
            granted.push({ target, generation, total });
    }
    return granted;
}

type Entries = Pick<PoolAnnouncementMessage, "granted" | "virtualTimes" | "targets">;

function hasStateChanged(before: TargetState | undefined, state: TargetState): boolean {
    return before === undefined || before.generation !== state.generation || before.condition !== state.condition
        || before.limit !== state.limit || before.suspect !== state.suspect || before.startId !== state.startId;
}

/** Omits entries that have not changed since they were last sent, except in one complete announcement per interval. */
function chooseEntries(announced: AnnouncedEntries, entries: Entries, now: number): Entries & { partial?: boolean; } {
    const partial = now - announced.lastCompleteAt < announceAllIntervalMs;
    if (!partial) announced.lastCompleteAt = now;
    const granted = entries.granted.filter(grant => {
        const before = announced.granted.get(grant.target);
        announced.granted.set(grant.target, grant);
        return !partial || before?.generation !== grant.generation || before.total !== grant.total;
    });
    const virtualTimes = entries.virtualTimes.filter(({ workspace, virtualTime }) => {
        const before = announced.virtualTimes.get(workspace);
        announced.virtualTimes.set(workspace, virtualTime);
        return !partial || before !== virtualTime;
    });
    const targets = entries.targets.filter(state => {
        const before = announced.targets.get(state.target);
        announced.targets.set(state.target, state);
        return !partial || hasStateChanged(before, state);
    });
    return { granted, virtualTimes, targets, ...(partial ? { partial } : {}) };
}

/** Sends the announcements that are due. */
export function announcePool(context: CoordinatorContext, pool: CoordinatorPool, isTick: boolean): void {
    const { now } = context;
    const interval = pool.contended ? announceIntervalContendedMs : announceIntervalUncontendedMs;
    const due = [...pool.routers.values()].filter(record =>
        record.copyNeeded
        || (record.hasReported && (record.announcementDue || (isTick && now - record.lastAnnouncedAt >= interval)))
    );
    if (due.length === 0) return;
    const waiting = listUnserved(pool).sort((a, b) => computeEffectiveTime(a) - computeEffectiveTime(b));
    const allowance = computeAllowance(waiting);
    const targets = listTargetStates(pool);
    for (const record of due) {
        const member = context.membership.getMember(record.router);
        if (member === undefined) continue;
        record.announcementDue = false;
        record.copyNeeded = false;
        record.lastAnnouncedAt = now;
        pool.version += 1;
        const message: PoolAnnouncementMessage = {
            type: "poolAnnouncement",
            pool: pool.name,
            incarnation: record.incarnation,
            version: pool.version,
            reportSequence: record.sequence,
            poolVirtualTime: pool.poolVirtualTime,
            ceiling: computeCeiling(record, waiting, allowance),
            contended: pool.contended,
            ...chooseEntries(record.announced, {
                granted: listGranted(pool, record),
                virtualTimes: listVirtualTimes(pool, record),
                targets,
            }, now),
        };
        context.effects.push({ type: "sendToPeer", router: record.router, address: member.address, message });
    }
}
