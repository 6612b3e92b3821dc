/** Pool coordinator slice: grants the slots of targets to entry routers in order of fleet-wide virtual time. */
import type { RouterEvent } from "@rhubarbwheel/types/events";
import type { PoolReportMessage, TargetCondition } from "@rhubarbwheel/types/peer-messages";
import type { ConfigurationQueries, MembershipQueries, RouterIdentity, Slice } from "@rhubarbwheel/types/slices";
import { announcePool } from "./announcePool.js";
import { applyReport, removeRouter } from "./applyReport.js";
import { getLeaseName, handleLeaseResult } from "./coldLeases.js";
import { announceOnRequestAfterMs, pauseThresholdMs } from "./constants.js";
import { type CoordinatorContext, type CoordinatorPool, createCoordinatorPool } from "./coordinatorPool.js";
import { updateGrants } from "./grantSlots.js";
import { startTakeover, stopCoordination, updatePartition, updateTakeover } from "./takeover.js";
import { computeLimit } from "./targetLimits.js";
import { handleLoadReport, handleLoadUnavailable, pollTargets, updateLimits, updateTargets } from "./targetStates.js";

export interface PoolCoordinatorOptions {
    readonly identity: RouterIdentity;
    readonly membership: MembershipQueries;
    readonly configuration: ConfigurationQueries;
}

export interface TargetStatus {
    readonly service: string;
    readonly target: string;
    readonly condition: TargetCondition;
    /** Current limit; 0 while the target is not known to be running. */
    readonly limit: number;
    readonly generation: number;
    /** Slots held by entry routers or granted to them. */
    readonly held: number;
    /** Running and queued requests in the last load report. */
    readonly running: number | undefined;
}

export interface WorkspaceStatus {
    readonly service: string;
    readonly workspace: string;
    readonly virtualTime: number;
    readonly queued: number;
}

export interface PoolCoordinator extends Slice {
    /** Targets of the pools that this router coordinates. */
    readonly listTargets: () => readonly TargetStatus[];
    /** Workspaces with waiting requests or recently charged cost in the pools that this router coordinates. */
    readonly listWorkspaces: () => readonly WorkspaceStatus[];
}

function isCoordinator(context: CoordinatorContext, pool: CoordinatorPool): boolean {
    return context.membership.findCoordinator(pool.name).router === context.identity.router;
}

function updateCoordination(context: CoordinatorContext, pool: CoordinatorPool): void {
    const coordinates = isCoordinator(context, pool);
    if (coordinates && pool.coordinatorSince === undefined) {
        updateTargets(context, pool);
        startTakeover(context, pool, "coordinator");
    }
    else if (!coordinates && pool.coordinatorSince !== undefined) { stopCoordination(context, pool); }
}

function updatePools(context: CoordinatorContext): void {
    const { configuration } = context;
    for (const service of configuration.listServices()) {
        const known = context.pools.get(service.name);
        const pool = known ?? createCoordinatorPool(service);
        pool.service = service;
        context.pools.set(service.name, pool);
    }
    for (const pool of [...context.pools.values()]) {
        if (configuration.getService(pool.name) === undefined) context.pools.delete(pool.name);
        else updateTargets(context, pool);
        for (const workspace of pool.workspaces.values())
            workspace.share = configuration.getWorkspace(workspace.workspace)?.share ?? workspace.share;
    }
}

function handleMembershipChange(
    context: CoordinatorContext,
    event: RouterEvent & { type: "membershipChanged"; },
): void {
    for (const pool of context.pools.values()) {
        updatePartition(context, pool);
        updateCoordination(context, pool);
        const record = pool.routers.get(event.router);
        if (record !== undefined && (event.state === "dead" || event.state === "left"))
            removeRouter(context, pool, record);
    }
}

function handleReport(
    context: CoordinatorContext,
    from: string,
    message: PoolReportMessage,
): CoordinatorPool | undefined {
    const pool = context.pools.get(message.pool);
    if (pool === undefined || !applyReport(context, pool, from, message)) return undefined;
    const record = pool.routers.get(from);
    const hasQueuedRequests = message.usage.some(entry => entry.queued > 0);
    if (record !== undefined && hasQueuedRequests && context.now - record.lastAnnouncedAt >= announceOnRequestAfterMs)
        record.announcementDue = true;
    return pool;
}

/** Applies the event; returns the pools that it affects. */
function handleEvent(context: CoordinatorContext, event: RouterEvent): readonly CoordinatorPool[] {
    const listPools = (name: string) => [context.pools.get(name)].filter(pool => pool !== undefined);
    if (event.type === "peerMessage" && event.message.type === "poolReport")
        return [handleReport(context, event.from, event.message)].filter(pool => pool !== undefined);
    if (event.type === "loadReported" || event.type === "loadUnavailable") {
        const pools = listPools(event.service);
        for (const pool of pools) {
            if (event.type === "loadReported") handleLoadReport(context, pool, event.report);
            else handleLoadUnavailable(context, pool, event.target, event.refused);
        }
        return pools;
    }
    if (event.type === "leaseAnswered") {
        for (const pool of context.pools.values()) {
            const target = [...pool.targets.values()].find(other => getLeaseName(pool, other) === event.lease);
            if (target === undefined) continue;
            handleLeaseResult(context, pool, target, event);
            return [pool];
        }
        return [];
    }
    if (event.type === "membershipChanged") handleMembershipChange(context, event);
    else if (event.type === "configurationApplied") updatePools(context);
    else if (event.type !== "tick") return [];
    return [...context.pools.values()];
}

/** Restarts the takeover after a pause: reports were missed, and other routers may have taken over the pools. */
function checkPause(context: CoordinatorContext, elapsedMs: number): void {
    if (elapsedMs < pauseThresholdMs) return;
    for (const pool of context.pools.values())
        if (pool.coordinatorSince !== undefined) startTakeover(context, pool, "pause");
}

function updatePool(context: CoordinatorContext, pool: CoordinatorPool, isTick: boolean): void {
    if (isTick) {
        updatePartition(context, pool);
        updateCoordination(context, pool);
        updateTargets(context, pool);
    }
    if (pool.coordinatorSince === undefined || context.configuration.getFreshness() !== "fresh") return;
    updateTakeover(context, pool);
    updateLimits(context, pool);
    pollTargets(context, pool);
    updateGrants(context, pool, isTick);
    announcePool(context, pool, isTick);
}

/** Creates the slice. It holds no resources other than memory. */
export function createPoolCoordinator(opts: PoolCoordinatorOptions): PoolCoordinator {
    const context: CoordinatorContext = { ...opts, pools: new Map(), now: -Infinity, effects: [] };
    updatePools(context);
    const listCoordinatedPools = () => [...context.pools.values()].filter(pool => pool.coordinatorSince !== undefined);
    return {
        reduce: event => {
            const elapsedMs = context.now === -Infinity ? 0 : event.now - context.now;
            context.now = event.now;
            context.effects = [];
            checkPause(context, elapsedMs);
            for (const pool of handleEvent(context, event)) updatePool(context, pool, event.type === "tick");
            return context.effects;
        },
        listTargets: () =>
            listCoordinatedPools().flatMap(pool =>
                [...pool.targets.values()].map(target => ({
                    service: pool.name,
                    target: target.spec.name,
                    condition: target.condition,
                    limit: computeLimit(pool, target),
                    generation: target.generation,
                    held: target.allocated,
                    running: target.running,
                }))
            ),
        listWorkspaces: () =>
            listCoordinatedPools().flatMap(pool =>
                [...pool.workspaces.values()].map(workspace => ({
                    service: pool.name,
                    workspace: workspace.workspace,
                    virtualTime: workspace.virtualTime,
                    queued: [...workspace.queuedByRouter.values()].reduce((sum, usage) => sum + usage.queued, 0),
                }))
            ),
    };
}
