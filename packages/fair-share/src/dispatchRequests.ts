/** Dispatch on held slots: the least-served workspace first, and unused slots go back when requests wait elsewhere. */
import type { TargetSpec } from "@rhubarbwheel/types/resources";
import { defaultAnswerTimeoutMs } from "./constants.js";
import { type EntryContext, isActive, logEntryEvent, type TrackedRequest } from "./entryContext.js";
import {
    chargeCost,
    computeVirtualTime,
    type EntryPool,
    estimateCost,
    isConfirmed,
    isCoordinatorHeard,
    removeWaiting,
    type RunningRequest,
    type WorkspaceQueue,
} from "./entryPool.js";
import { type HeldTarget, takeSlot } from "./slotTable.js";

/** Prefix entries kept per pool; older ones are dropped first. */
const prefixTargetsMax = 10_000;

function findLeastServed(pool: EntryPool): WorkspaceQueue | undefined {
    let least: WorkspaceQueue | undefined;
    let leastTime = Infinity;
    for (const queue of pool.backlogged) {
        const time = computeVirtualTime(queue);
        if (time < leastTime || (time === leastTime && least !== undefined && queue.workspace < least.workspace)) {
            least = queue;
            leastTime = time;
        }
    }
    return least;
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
    const { request, avoidTarget } = tracked.waiting;
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
    if (pool.prefixTargets.size <= prefixTargetsMax) return;
    for (const oldest of pool.prefixTargets.keys()) {
        pool.prefixTargets.delete(oldest);
        return;
    }
}

function startAttempt(context: EntryContext, tracked: TrackedRequest, { held, spec }: Candidate): void {
    const { pool, queue, waiting } = tracked;
    removeWaiting(pool, queue, waiting);
    // The coordinator grants an idle target only its cold limit until it learns that requests run there.
    if (held.newlyGranted && held.inUse.size === 0) pool.urgent = true;
    waiting.attempts += 1;
    const running: RunningRequest = {
        target: held.target,
        generation: takeSlot(held),
        dispatchedAt: context.now,
        attempt: waiting.attempts,
        charged: estimateCost(pool, queue, waiting.request),
        accepted: false,
        resumed: false,
        cancelled: false,
    };
    tracked.running = running;
    queue.inProgress += 1;
    chargeCost(pool, queue, running.charged);
    recordPrefix(pool, waiting.request.prefixHash, held.target);
    sendAttempt(context, tracked, spec);
    logEntryEvent(context, "dispatched", {
        requestId: waiting.request.id,
        workspace: queue.workspace,
        service: pool.name,
        target: held.target,
        attempt: running.attempt,
        virtualTime: Math.round(computeVirtualTime(queue)),
        waitedMs: Math.round(context.now - waiting.arrivedAt),
    });
}

/** Sends the attempt that is described by `tracked.running`. */
export function sendAttempt(context: EntryContext, tracked: TrackedRequest, spec: TargetSpec): void {
    const { running, pool, waiting } = tracked;
    if (running === undefined) return;
    context.effects.push({
        type: "sendToTarget",
        requestId: waiting.request.id,
        attempt: running.attempt,
        service: pool.name,
        target: spec.name,
        address: spec.address,
        answerTimeoutMs: pool.service.spec.answerTimeoutMs ?? defaultAnswerTimeoutMs,
        ...(running.resumed ? { resume: true } : {}),
    });
}

/**
 * Returns unused slots. Slots of a target that only this router considers closed go back with the next tick: an immediate
 * return would be answered by the same grant until the coordinator has the same configuration.
 */
function returnSlots(context: EntryContext, pool: EntryPool, all: boolean): void {
    let returned = 0;
    for (const held of pool.targets.values()) {
        if (held.free === 0) continue;
        const usable = isUsable(context, pool, held);
        if (!all && usable) continue;
        if (usable) pool.urgent = true;
        returned += held.free;
        held.free = 0;
    }
    if (returned === 0) return;
    pool.changed = true;
    logEntryEvent(context, "slotsReturned", { service: pool.name, slots: returned });
}

/** Dispatches as many waiting requests of the pool as slots and ceiling allow, then returns slots that are in demand. */
export function dispatchRequests(context: EntryContext, pool: EntryPool): void {
    const active = isActive(context);
    if (!active) {
        returnSlots(context, pool, true);
        return;
    }
    if (!isConfirmed(pool, context.now)) return;
    const heard = isCoordinatorHeard(pool, context.now);
    while (pool.backlogged.size > 0) {
        const queue = findLeastServed(pool);
        const first = queue?.waiting[0];
        if (queue === undefined || first === undefined) break;
        if (heard && computeVirtualTime(queue) > pool.ceiling) break;
        const tracked = context.requests.get(first.request.id);
        const candidate = tracked && chooseTarget(context, pool, tracked, listCandidates(context, pool));
        if (tracked === undefined || candidate === undefined) break;
        startAttempt(context, tracked, candidate);
    }
    returnSlots(context, pool, pool.contended);
}
