/** Slice of the entry router: queues requests per workspace and dispatches them on the slots that coordinators grant. */
import type { Effect } from "@rhubarbwheel/types/effects";
import type { RequestArrivedEvent, RouterEvent } from "@rhubarbwheel/types/events";
import type { PoolAnnouncementMessage, TargetState } from "@rhubarbwheel/types/peer-messages";
import type { ConfigurationQueries, MembershipQueries, RouterIdentity, Slice } from "@rhubarbwheel/types/slices";
import { applyAnnouncement } from "./applyAnnouncement.js";
import { coordinatorSilenceMs, defaultMaxQueued, defaultQueueTimeoutMs } from "./constants.js";
import { dispatchRequests } from "./dispatchRequests.js";
import { handleTargetAccepted, handleTargetEnded, handleTargetProgress, updateResumptions } from "./endAttempt.js";
import {
    closeRequest,
    endRequest,
    endWaiting,
    type EntryContext,
    isActive,
    logEntryEvent,
    type TrackedRequest,
} from "./entryContext.js";
import {
    addWaiting,
    computeVirtualTime,
    createEntryPool,
    type EntryPool,
    getWorkspaceQueue,
    isConfirmed,
    removeWaiting,
    setVirtualTime,
} from "./entryPool.js";
import { isReportDue, sendReport } from "./reportPool.js";

export interface EntryQueueOptions {
    readonly identity: RouterIdentity;
    readonly membership: MembershipQueries;
    readonly configuration: ConfigurationQueries;
}

export interface QueueStatus {
    readonly workspace: string;
    readonly service: string;
    readonly queued: number;
    readonly inProgress: number;
    /** Virtual time as this router sees it. */
    readonly virtualTime: number;
}

export interface HeldSlots {
    readonly service: string;
    readonly target: string;
    readonly generation: number;
    readonly free: number;
    readonly inUse: number;
}

export interface EntryQueue extends Slice {
    readonly listQueues: () => readonly QueueStatus[];
    readonly listSlots: () => readonly HeldSlots[];
    /** Targets of a pool as its coordinator announced them last. */
    readonly listAnnouncedTargets: (service: string) => readonly TargetState[];
    readonly countQueued: () => number;
    readonly countInProgress: () => number;
    /** Whether the request waits or is in progress here. */
    readonly hasRequest: (requestId: string) => boolean;
}

function findRefusal(context: EntryContext, pool: EntryPool | undefined) {
    if (context.draining) return "DRAINING";
    const freshness = context.configuration.getFreshness();
    if (freshness === "empty") return "CONFIGURATION_EMPTY";
    if (freshness === "stale") return "CONFIGURATION_STALE";
    if (pool === undefined) return "SERVICE_UNKNOWN";
    const open = pool.service.spec.targets.some(target => context.configuration.isTargetOpen(pool.name, target.name));
    return open ? undefined : "NO_TARGET";
}

function handleArrival(context: EntryContext, { request }: RequestArrivedEvent): void {
    const known = context.pools.get(request.service);
    const pool = known ?? createEntryPool({
        name: request.service,
        version: 0,
        spec: { kind: "plain", targets: [], targetLimit: 0, coldLimit: 0 },
    });
    const workspace = context.configuration.getWorkspace(request.workspace);
    const queue = getWorkspaceQueue(pool, request.workspace, workspace?.share ?? 1);
    const tracked: TrackedRequest = {
        pool,
        queue,
        waiting: { request, arrivedAt: context.now, attempts: 0, sent: false, answered: false, chargedBefore: 0 },
    };
    const full = queue.waiting.length >= (workspace?.maxQueuedPerRouter ?? defaultMaxQueued);
    const refusal = findRefusal(context, known) ?? (full ? "QUEUE_FULL" : undefined);
    if (refusal !== undefined) {
        endRequest(context, tracked, refusal);
        return;
    }
    context.requests.set(request.id, tracked);
    pool.budget.addRequest();
    const startsToWait = queue.waiting.length === 0;
    addWaiting(pool, queue, tracked.waiting, false);
    dispatchRequests(context, pool);
    if (!context.requests.has(request.id) || tracked.running !== undefined) return;
    if (isConfirmed(pool, context.now) && (startsToWait || !pool.contended)) pool.urgent = true;
    logEntryEvent(context, "queued", {
        requestId: request.id,
        workspace: request.workspace,
        service: pool.name,
        queued: queue.waiting.length,
    });
}

function handleCancellation(context: EntryContext, requestId: string): void {
    const tracked = context.requests.get(requestId);
    if (tracked === undefined) return;
    const { running, waiting } = tracked;
    if (running === undefined) {
        removeWaiting(tracked.pool, tracked.queue, waiting);
        closeRequest(context, tracked, waiting.sent ? "unknown" : "notRun");
    }
    else if (waiting.request.idempotent && !running.cancelled) {
        running.cancelled = true;
        if (running.resumption === undefined)
            context.effects.push({ type: "cancelAtTarget", requestId, attempt: running.attempt });
        else updateResumptions(context, tracked.pool);
    }
    logEntryEvent(context, "cancelled", {
        requestId,
        workspace: tracked.queue.workspace,
        service: tracked.pool.name,
        inProgress: running !== undefined,
        continues: running !== undefined && !waiting.request.idempotent,
    });
}

/** Queues are in order of arrival, and a request that is put back at the head is older than those behind it. */
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

function updatePools(context: EntryContext): void {
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
    // Requests in progress keep their reference to the pool until they end.
    context.pools.delete(pool.name);
}

/** Reports go to the router that membership names; a new one is told everything at once. */
function updateCoordinator(context: EntryContext, pool: EntryPool): void {
    const member = context.membership.findCoordinator(pool.name);
    const coordinator = `${member.router}/${member.incarnation}`;
    if (pool.coordinator === coordinator) return;
    pool.coordinator = coordinator;
    pool.sendCopy = true;
    pool.urgent = true;
    logEntryEvent(context, "coordinatorChanged", { service: pool.name, router: member.router });
}

function handleAnnouncement(context: EntryContext, from: string, message: PoolAnnouncementMessage): void {
    const pool = context.pools.get(message.pool);
    if (pool === undefined || message.incarnation !== context.identity.incarnation) return;
    // Grants of a router that is no longer the coordinator are not counted by the new one.
    if (context.membership.findCoordinator(pool.name).router !== from) return;
    if (!applyAnnouncement(pool, message, context.now)) return;
    updateResumptions(context, pool);
    dispatchRequests(context, pool);
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

function handleTick(context: EntryContext): void {
    for (const pool of context.pools.values()) {
        updateCoordinator(context, pool);
        checkSilence(context, pool);
        endExpired(context, pool);
        updateResumptions(context, pool);
        dispatchRequests(context, pool);
        if (isReportDue(pool, context.now)) pool.urgent = true;
    }
}

function startDrain(context: EntryContext): void {
    context.draining = true;
    for (const pool of context.pools.values()) {
        endAllWaiting(context, pool, "DRAINING");
        dispatchRequests(context, pool);
    }
}

function handleEvent(context: EntryContext, event: RouterEvent): void {
    if (event.type === "requestArrived") handleArrival(context, event);
    else if (event.type === "requestCancelled") handleCancellation(context, event.requestId);
    else if (event.type === "targetAccepted") handleTargetAccepted(context, event);
    else if (event.type === "targetProgress") handleTargetProgress(context, event);
    else if (event.type === "targetEnded") handleTargetEnded(context, event);
    else if (event.type === "drainRequested") startDrain(context);
    else if (event.type === "tick") handleTick(context);
    else if (event.type === "configurationApplied") updatePools(context);
    else if (event.type === "peerMessage" && event.message.type === "poolAnnouncement")
        handleAnnouncement(context, event.from, event.message);
    else if (event.type === "freshnessChanged") {
        for (const pool of context.pools.values()) pool.urgent = pool.backlogged.size > 0;
    }
    else if (event.type === "membershipChanged") {
        for (const pool of context.pools.values()) updateCoordinator(context, pool);
    }
}

const dispatchingEvents: readonly RouterEvent["type"][] = [
    "configurationApplied",
    "freshnessChanged",
    "membershipChanged",
];

function sendReports(context: EntryContext): void {
    for (const pool of context.pools.values()) {
        if (!pool.urgent) continue;
        const coordinator = context.membership.findCoordinator(pool.name);
        const { identity, now } = context;
        context.effects.push(sendReport(pool, { identity, coordinator, now, active: isActive(context) }));
    }
}

/** Creates the slice. It holds no resources outside memory. */
export function createEntryQueue(opts: EntryQueueOptions): EntryQueue {
    const context: EntryContext = {
        ...opts,
        pools: new Map(),
        requests: new Map(),
        draining: false,
        stopped: false,
        now: 0,
        effects: [],
    };
    updatePools(context);
    const listPools = () => [...context.pools.values()];
    const countInProgress = () =>
        [...context.requests.values()].filter(tracked => tracked.running !== undefined).length;
    return {
        reduce: event => {
            context.now = event.now;
            context.effects = [];
            handleEvent(context, event);
            if (dispatchingEvents.includes(event.type)) {
                for (const pool of context.pools.values()) dispatchRequests(context, pool);
            }

            sendReports(context);
            if (context.draining && !context.stopped && context.requests.size === 0) {
                context.stopped = true;
                context.effects.push({ type: "stop" });
            }
            return context.effects as readonly Effect[];
        },
        countInProgress,
        hasRequest: requestId => context.requests.has(requestId),
        countQueued: () => context.requests.size - countInProgress(),
        listQueues: () =>
            listPools().flatMap(pool =>
                [...pool.workspaces.values()].map(queue => ({
                    workspace: queue.workspace,
                    service: pool.name,
                    queued: queue.waiting.length,
                    inProgress: queue.inProgress,
                    virtualTime: computeVirtualTime(queue),
                }))
            ),
        listAnnouncedTargets: service => context.pools.get(service)?.copy?.targets ?? [],
        listSlots: () =>
            listPools().flatMap(pool =>
                [...pool.targets.values()].map(held => ({
                    service: pool.name,
                    target: held.target,
                    generation: held.generation,
                    free: held.free,
                    inUse: [...held.inUse.values()].reduce((sum, count) => sum + count, 0),
                }))
            ),
    };
}
