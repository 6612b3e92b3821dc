/** Upkeep of the pools of an entry router: configuration, coordinator, timeouts and drain. */
import { coordinatorSilenceMs, defaultQueueTimeoutMs } from "./constants.js";
import { dispatchRequests } from "./dispatchRequests.js";
import { freeSettledSlots, updateResumptions } from "./endAttempt.js";
import { endWaiting, type EntryContext, logEntryEvent } from "./entryContext.js";
import { computeVirtualTime, createEntryPool, type EntryPool, setVirtualTime } from "./entryPool.js";
import { isReportDue } from "./reportPool.js";

function endExpired(context: EntryContext, pool: EntryPool): void {
    const timeoutMs = pool.service.spec.queueTimeoutMs ?? defaultQueueTimeoutMs;
    for (const queue of [...pool.backlogged]) {
        for (let item = queue.waiting[0]; item !== undefined; item = queue.waiting[0]) {
            const tracked = context.requests.get(item.request.id);
            if (tracked === undefined || context.now - item.arrivedAt < timeoutMs) break;
            endWaiting(context, tracked, "QUEUE_TIMEOUT");
        }
    }
}

function endAllWaiting(context: EntryContext, pool: EntryPool, code: "DRAINING" | "SERVICE_UNKNOWN"): void {
    for (const queue of [...pool.backlogged]) {
        for (const item of [...queue.waiting]) {
            const tracked = context.requests.get(item.request.id);
            if (tracked !== undefined) endWaiting(context, tracked, code);
        }
    }
}

export function updatePools(context: EntryContext): void {
    const services = context.configuration.listServices();
    for (const service of services) {
        const pool = context.pools.get(service.name);
        if (pool === undefined) context.pools.set(service.name, createEntryPool(service));
        else pool.service = service;
    }
    for (const pool of context.pools.values()) {
        if (context.configuration.getService(pool.name) === undefined) removePool(context, pool);
        removeTargets(pool);
        for (const queue of pool.workspaces.values()) {
            const share = context.configuration.getWorkspace(queue.workspace)?.share ?? queue.share;
            if (share === queue.share) continue;
            setVirtualTime(queue, computeVirtualTime(queue));
            queue.share = share;
        }
    }
}

/** Forgets targets that the service no longer has once their last request has ended. */
function removeTargets(pool: EntryPool): void {
    const listed = new Set(pool.service.spec.targets.map(target => target.name));
    for (const held of pool.targets.values())
        if (!listed.has(held.target) && held.free === 0 && held.inUse.size === 0) pool.targets.delete(held.target);
}

function removePool(context: EntryContext, pool: EntryPool): void {
    endAllWaiting(context, pool, "SERVICE_UNKNOWN");
    // No tick reaches a pool that is gone, so streams that wait to be resumed must end now.
    updateResumptions(context, pool);
    // Requests in progress keep their reference to the pool until they end.
    context.pools.delete(pool.name);
}

/** Reports go to the router that membership names; a new one is told everything at once. */
export function updateCoordinator(context: EntryContext, pool: EntryPool): void {
    const member = context.membership.findCoordinator(pool.name);
    const coordinator = `${member.router}/${member.incarnation}`;
    if (pool.coordinator === coordinator) return;
    pool.coordinator = coordinator;
    pool.sendCopy = true;
    pool.urgent = true;
    logEntryEvent(context, "coordinatorChanged", { service: pool.name, router: member.router });
}

/** A paused process keeps its connections, so silence is the first sign that the coordinator is gone. */
function checkSilence(context: EntryContext, pool: EntryPool): void {
    const silentMs = context.now - pool.lastAnnouncementAt;
    if (pool.silenceReported || !pool.contended || pool.ackedSequence >= pool.reportSequence) return;
    if (silentMs < coordinatorSilenceMs || silentMs === Infinity) return;
    const { router } = context.membership.findCoordinator(pool.name);
    if (router === context.identity.router) return;
    pool.silenceReported = true;
    context.effects.push({ type: "raise", event: { type: "peerUnreachable", now: context.now, router } });
}

export function handleTick(context: EntryContext): void {
    for (const pool of context.pools.values()) {
        updateCoordinator(context, pool);
        checkSilence(context, pool);
        endExpired(context, pool);
        updateResumptions(context, pool);
        freeSettledSlots(context, pool);
        dispatchRequests(context, pool);
        if (isReportDue(pool, context.now)) pool.urgent = true;
    }
}

export function startDrain(context: EntryContext): void {
    context.draining = true;
    for (const pool of context.pools.values()) {
        endAllWaiting(context, pool, "DRAINING");
        dispatchRequests(context, pool);
    }
}
