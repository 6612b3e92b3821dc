/** Entry router slice: queues requests per workspace and dispatches them on slots granted by pool coordinators. */
import type { Effect } from "@rhubarbwheel/types/effects";
import type { RequestArrivedEvent, RouterEvent } from "@rhubarbwheel/types/events";
import type { PoolAnnouncementMessage, TargetState } from "@rhubarbwheel/types/peer-messages";
import type { ConfigurationQueries, MembershipQueries, RouterIdentity, Slice } from "@rhubarbwheel/types/slices";
import { applyAnnouncement } from "./applyAnnouncement.js";
import { defaultMaxQueued } from "./constants.js";
import { dispatchRequests } from "./dispatchRequests.js";
import { handleTargetAccepted, handleTargetEnded, handleTargetProgress, updateResumptions } from "./endAttempt.js";
import {
    closeRequest,
    endRequest,
    type EntryContext,
    isActive,
    logEntryEvent,
    type TrackedRequest,
} from "./entryContext.js";
import {
    addToQueue,
    computeVirtualTime,
    createEntryPool,
    type EntryPool,
    getOrCreateWorkspaceQueue,
    isConfirmed,
    removeFromQueue,
} from "./entryPool.js";
import { handleTick, startDrain, updateCoordinator, updatePools } from "./maintainPools.js";
import { createReportEffect } from "./reportPool.js";

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
    /** Virtual time according to this router. */
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
    /** Target states in the last announcement of the pool's coordinator. */
    readonly listAnnouncedTargets: (service: string) => readonly TargetState[];
    readonly countQueued: () => number;
    readonly countInProgress: () => number;
    /** Whether the request is queued or in progress at this router. */
    readonly hasRequest: (requestId: string) => boolean;
}

function findRefusalCode(context: EntryContext, pool: EntryPool | undefined) {
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
    const queue = getOrCreateWorkspaceQueue(pool, request.workspace, workspace?.share ?? 1);
    const tracked: TrackedRequest = {
        pool,
        queue,
        item: {
            request,
            arrivedAt: context.now,
            attempts: 0,
            sent: false,
            responseStarted: false,
            chargedBefore: 0,
        },
    };
    const isFull = queue.waiting.length >= (workspace?.maxQueuedPerRouter ?? defaultMaxQueued);
    const refusal = findRefusalCode(context, known) ?? (isFull ? "QUEUE_FULL" : undefined);
    if (refusal !== undefined) {
        endRequest(context, tracked, refusal);
        return;
    }
    context.requests.set(request.id, tracked);
    pool.retryBudget.addRequest();
    const wasQueueEmpty = queue.waiting.length === 0;
    addToQueue(pool, queue, tracked.item, false);
    dispatchRequests(context, pool);
    if (!context.requests.has(request.id) || tracked.attempt !== undefined) return;
    if (isConfirmed(pool, context.now) && (wasQueueEmpty || !pool.contended)) pool.reportDue = true;
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
    const { attempt, item } = tracked;
    if (attempt === undefined) {
        removeFromQueue(tracked.pool, tracked.queue, item);
        closeRequest(context, tracked, item.sent ? "unknown" : "notRun");
    }
    else if (item.request.idempotent && !attempt.cancelled) {
        attempt.cancelled = true;
        if (attempt.resumption === undefined)
            context.effects.push({ type: "cancelAtTarget", requestId, attempt: attempt.number });
        else updateResumptions(context, tracked.pool);
    }
    logEntryEvent(context, "cancelled", {
        requestId,
        workspace: tracked.queue.workspace,
        service: tracked.pool.name,
        inProgress: attempt !== undefined,
        continues: attempt !== undefined && !item.request.idempotent,
    });
}

function handleAnnouncement(context: EntryContext, from: string, message: PoolAnnouncementMessage): void {
    const pool = context.pools.get(message.pool);
    if (pool === undefined || message.incarnation !== context.identity.incarnation) return;
    // Ignores grants of a previous coordinator: the current one does not count them.
    if (context.membership.findCoordinator(pool.name).router !== from) return;
    if (!applyAnnouncement(pool, message, context.now)) return;
    updateResumptions(context, pool);
    dispatchRequests(context, pool);
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
        for (const pool of context.pools.values()) pool.reportDue = pool.backloggedQueues.size > 0;
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
        if (!pool.reportDue) continue;
        const coordinator = context.membership.findCoordinator(pool.name);
        const { identity, now } = context;
        context.effects.push(createReportEffect(pool, { identity, coordinator, now, active: isActive(context) }));
    }
}

/** Creates the slice. It holds no resources other than memory. */
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
        [...context.requests.values()].filter(tracked => tracked.attempt !== undefined).length;
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
