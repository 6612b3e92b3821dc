/** Dispatches requests on held slots, least-served workspace first, and returns unused slots of contended pools. */
import type { TargetSpec } from "@rhubarbwheel/types/resources";
import { defaultAnswerTimeoutMs } from "./constants.js";
import { type EntryContext, isActive, logEntryEvent, type TrackedRequest } from "./entryContext.js";
import {
    chargeCost,
    computeVirtualTime,
    type EntryPool,
    estimateCost,
    type InFlightAttempt,
    isCeilingValid,
    isConfirmed,
    removeFromQueue,
    type WorkspaceQueue,
} from "./entryPool.js";
import { type HeldTarget, takeSlot } from "./slotTable.js";

/** Maximum number of prefix entries per pool; the oldest is evicted first. */
const maxPrefixTargets = 10_000;

function findLeastServedQueue(pool: EntryPool): WorkspaceQueue | undefined {
    let lowest: WorkspaceQueue | undefined;
    let lowestTime = Infinity;
    for (const queue of pool.backloggedQueues) {
        const time = computeVirtualTime(queue);
        if (time < lowestTime || (time === lowestTime && lowest !== undefined && queue.workspace < lowest.workspace)) {
            lowest = queue;
            lowestTime = time;
        }
    }
    return lowest;
}

function isUsable(context: EntryContext, pool: EntryPool, held: HeldTarget): boolean {
    return held.free > 0 && held.suspended === undefined && held.condition !== "closed"
        && context.configuration.isTargetOpen(pool.name, held.target);
}

interface Candidate {
    readonly held: HeldTarget;
    readonly spec: TargetSpec;
}

function listCandidates(context: EntryContext, pool: EntryPool): Candidate[] {
    const candidates: Candidate[] = [];
    for (const spec of pool.service.spec.targets) {
        const held = pool.targets.get(spec.name);
        if (held !== undefined && isUsable(context, pool, held)) candidates.push({ held, spec });
    }
    return candidates;
}

/** Prefers the target that has the prompt prefix cached, then the same failure domain, then the most free slots. */
function chooseTarget(
    context: EntryContext,
    pool: EntryPool,
    tracked: TrackedRequest,
    candidates: readonly Candidate[],
): Candidate | undefined {
    const { request, avoidTarget } = tracked.item;
    const prefixTarget = request.prefixHash === undefined ? undefined : pool.prefixTargets.get(request.prefixHash);
    const computeRank = ({ held, spec }: Candidate): number =>
        (spec.name === avoidTarget ? 0 : 1_000_000)
        + (spec.name === prefixTarget ? 100_000 : 0)
        + (spec.failureDomain === context.identity.failureDomain ? 10_000 : 0)
        + Math.min(held.free, 9_999);
    let best: Candidate | undefined;
    for (const candidate of candidates)
        if (best === undefined || computeRank(candidate) > computeRank(best)) best = candidate;
    return best;
}

function recordPrefix(pool: EntryPool, prefixHash: number | undefined, target: string): void {
    if (prefixHash === undefined) return;
    pool.prefixTargets.delete(prefixHash);
    pool.prefixTargets.set(prefixHash, target);
    if (pool.prefixTargets.size <= maxPrefixTargets) return;
    for (const oldest of pool.prefixTargets.keys()) {
        pool.prefixTargets.delete(oldest);
        return;
    }
}

function startAttempt(context: EntryContext, tracked: TrackedRequest, { held, spec }: Candidate): void {
    const { pool, queue, item } = tracked;
    removeFromQueue(pool, queue, item);
    // Until requests are reported in use at an idle target, the coordinator grants only its cold limit.
    if (held.newlyGranted && held.inUse.size === 0) pool.reportDue = true;
    item.attempts += 1;
    const attempt: InFlightAttempt = {
        target: held.target,
        generation: takeSlot(held),
        dispatchedAt: context.now,
        number: item.attempts,
        charged: estimateCost(pool, queue, item.request),
        accepted: false,
        resumed: false,
        cancelled: false,
    };
    tracked.attempt = attempt;
    queue.inProgress += 1;
    chargeCost(pool, queue, attempt.charged);
    recordPrefix(pool, item.request.prefixHash, held.target);
    sendAttempt(context, tracked, spec);
    logEntryEvent(context, "dispatched", {
        requestId: item.request.id,
        workspace: queue.workspace,
        service: pool.name,
        target: held.target,
        attempt: attempt.number,
        virtualTime: Math.round(computeVirtualTime(queue)),
        waitedMs: Math.round(context.now - item.arrivedAt),
    });
}

/** Sends the attempt that is described by `tracked.attempt`. */
export function sendAttempt(context: EntryContext, tracked: TrackedRequest, spec: TargetSpec): void {
    const { attempt, pool, item } = tracked;
    if (attempt === undefined) return;
    context.effects.push({
        type: "sendToTarget",
        requestId: item.request.id,
        attempt: attempt.number,
        service: pool.name,
        target: spec.name,
        address: spec.address,
        answerTimeoutMs: pool.service.spec.answerTimeoutMs ?? defaultAnswerTimeoutMs,
        ...(attempt.resumed ? { resume: true } : {}),
    });
}

/**
 * Returns unused slots. Those of a target that is closed only according to this router are returned with the next tick:
 * until the coordinator has the same configuration, it would respond to an immediate return with the same grant.
 */
function returnSlots(context: EntryContext, pool: EntryPool, all: boolean): void {
    let returned = 0;
    for (const held of pool.targets.values()) {
        if (held.free === 0) continue;
        const usable = isUsable(context, pool, held);
        if (!all && usable) continue;
        if (usable) pool.reportDue = true;
        returned += held.free;
        held.free = 0;
    }
    if (returned === 0) return;
    pool.changed = true;
    logEntryEvent(context, "slotsReturned", { service: pool.name, slots: returned });
}

/** Dispatches waiting requests as far as slots and ceiling allow, then returns slots if the pool is contended. */
export function dispatchRequests(context: EntryContext, pool: EntryPool): void {
    const active = isActive(context);
    if (!active) {
        returnSlots(context, pool, true);
        return;
    }
    if (!isConfirmed(pool, context.now)) return;
    const ceilingValid = isCeilingValid(pool, context.now);
    while (pool.backloggedQueues.size > 0) {
        const queue = findLeastServedQueue(pool);
        const first = queue?.waiting[0];
        if (queue === undefined || first === undefined) break;
        if (ceilingValid && computeVirtualTime(queue) > pool.ceiling) break;
        const tracked = context.requests.get(first.request.id);
        const candidate = tracked && chooseTarget(context, pool, tracked, listCandidates(context, pool));
        if (tracked === undefined || candidate === undefined) break;
        startAttempt(context, tracked, candidate);
    }
    returnSlots(context, pool, pool.contended);
}
