/** Maintenance of the pools of an entry router: configuration, coordinator, timeouts and drain. */
import { coordinatorTimeoutMs, defaultQueueTimeoutMs } from "./constants.js";
import { dispatchRequests } from "./dispatchRequests.js";
import { releaseDelayedSlots, updateResumptions } from "./endAttempt.js";
import { endQueuedRequest, type EntryContext, logEntryEvent } from "./entryContext.js";
import { computeVirtualTime, createEntryPool, type EntryPool, setVirtualTime } from "./entryPool.js";
import { isReportDue } from "./reportPool.js";

/** Queues are in order of arrival: a request that is requeued at the head is older than those behind it. */
function endTimedOutRequests(context: EntryContext, pool: EntryPool): void {
    const timeoutMs = pool.service.spec.queueTimeoutMs ?? defaultQueueTimeoutMs;
    for (const queue of [...pool.backloggedQueues]) {
        for (let item = queue.waiting[0]; item !== undefined; item = queue.waiting[0]) {
            const tracked = context.requests.get(item.request.id);
            if (tracked === undefined || context.now - item.arrivedAt < timeoutMs) break;
            endQueuedRequest(context, tracked, "QUEUE_TIMEOUT");
        }
    }
}

function endAllQueuedRequests(context: EntryContext, pool: EntryPool, code: "DRAINING" | "SERVICE_UNKNOWN"): void {
    for (const queue of [...pool.backloggedQueues]) {
        for (const item of [...queue.waiting]) {
            const tracked = context.requests.get(item.request.id);
            if (tracked !== undefined) endQueuedRequest(context, tracked, code);
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
        removeUnlistedTargets(pool);
        for (const queue of pool.workspaces.values()) {
            const share = context.configuration.getWorkspace(queue.workspace)?.share ?? queue.share;
            if (share === queue.share) continue;
            setVirtualTime(queue, computeVirtualTime(queue));
            queue.share = share;
        }
    }
}

/** Removes targets that are no longer part of the service and hold no slots. */
function removeUnlistedTargets(pool: EntryPool): void {
    const listed = new Set(pool.service.spec.targets.map(target => target.name));
    for (const held of pool.targets.values())
        if (!listed.has(held.target) && held.free === 0 && held.inUse.size === 0) pool.targets.delete(held.target);
}

function removePool(context: EntryContext, pool: EntryPool): void {
    endAllQueuedRequests(context, pool, "SERVICE_UNKNOWN");
    // Ticks do not reach a removed pool, so streams that wait for resumption must end now.
    updateResumptions(context, pool);
    // Requests in progress keep their reference to the pool until they end.
    context.pools.delete(pool.name);
}

/** Follows the coordinator given by membership; a new one is sent a complete report in the same step. */
export function updateCoordinator(context: EntryContext, pool: EntryPool): void {
    const member = context.membership.findCoordinator(pool.name);
    const coordinator = `${member.router}/${member.incarnation}`;
    if (pool.coordinator === coordinator) return;
    pool.coordinator = coordinator;
    pool.sendCopy = true;
    pool.reportDue = true;
    logEntryEvent(context, "coordinatorChanged", { service: pool.name, router: member.router });
}

/** Reports an unresponsive coordinator: a paused process keeps its connections open, so no connection error occurs. */
function checkCoordinatorTimeout(context: EntryContext, pool: EntryPool): void {
    const elapsedMs = context.now - pool.lastAnnouncementAt;
    if (pool.timeoutReported || !pool.contended || pool.ackedSequence >= pool.reportSequence) return;
    if (elapsedMs < coordinatorTimeoutMs || elapsedMs === Infinity) return;
    const { router } = context.membership.findCoordinator(pool.name);
    if (router === context.identity.router) return;
    pool.timeoutReported = true;
    context.effects.push({ type: "raise", event: { type: "peerUnreachable", now: context.now, router } });
}

export function handleTick(context: EntryContext): void {
    for (const pool of context.pools.values()) {
        updateCoordinator(context, pool);
        checkCoordinatorTimeout(context, pool);
        endTimedOutRequests(context, pool);
        updateResumptions(context, pool);
        releaseDelayedSlots(context, pool);
        dispatchRequests(context, pool);
        if (isReportDue(pool, context.now)) pool.reportDue = true;
    }
}

export function startDrain(context: EntryContext): void {
    context.draining = true;
    for (const pool of context.pools.values()) {
        endAllQueuedRequests(context, pool, "DRAINING");
        dispatchRequests(context, pool);
    }
}
