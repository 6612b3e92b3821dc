/**
 * Slice that carries out the orders to roll out versions of the services that this router coordinates: it selects the
 * requests for the new version, collects the evidence from attempt notices, and writes the status of the orders.
 */
import { getVersion } from "@rhubarbwheel/fleet-view/createVersionFilter";
import { isSameOrder } from "@rhubarbwheel/fleet-view/rolloutOrders";
import { computeCanaryTargets } from "@rhubarbwheel/rollout/computeCanaryTargets";
import { canaryBurstShare } from "@rhubarbwheel/rollout/rolloutSettings";
import type { LogEffect } from "@rhubarbwheel/types/effects";
import type { TargetEntry } from "@rhubarbwheel/types/fleet";
import type { AttemptNoticeMessage, PlacementRequest } from "@rhubarbwheel/types/placement";
import type { PlacementEffect, PlacementSlice } from "@rhubarbwheel/types/placement-events";
import type { RolloutEntry, RolloutStatusWrittenEvent } from "@rhubarbwheel/types/rollout";
import { coordinatorLogEvents } from "./coordinatorLogEvents.js";
import { createActiveRollout } from "./createActiveRollout.js";
import type { ActiveRollout, RolloutBounds, RolloutExecutionOptions } from "./createActiveRollout.js";
import type { CoordinatorSelector } from "./createCoordinatorSelector.js";
import type { Choice } from "./createPoolModel.js";

export interface RolloutCoordinatorOptions extends RolloutExecutionOptions {
    /** Name of this router. */
    readonly router: string;
    /** Router that this one regards as the coordinator of a service. */
    readonly findCoordinator: CoordinatorSelector["find"];
    readonly getBounds: () => RolloutBounds | undefined;
}

/** What the placement coordinator needs to know of rollouts. */
export interface CanarySelector {
    /** Targets of the new version for a request that is to be a canary; none for any other request. */
    readonly takeCanaryTargets: (request: PlacementRequest, now: number) => readonly TargetEntry[];
    /** Takes back a canary for which no target had room. */
    readonly returnCanary: (service: string) => void;
    readonly recordPlacement: (request: PlacementRequest, target: TargetEntry, choice: Choice, now: number) => void;
}

export interface RolloutCoordinator extends PlacementSlice, CanarySelector {
    /** Number of orders that this router carries out. */
    readonly countActive: () => number;
    /** Requests of running orders that were sent to new versions. */
    readonly countCanaries: () => number;
}

/**
 * Time for which the evidence is kept while another router coordinates. A suspicion of a failed router ends every few
 * seconds, until requests to it have timed out again.
 */
const maxPauseMs = 2_000;

/** Interval at which the decider is asked without new evidence. */
const decideIntervalMs = 100;

export function createRolloutCoordinator(opts: RolloutCoordinatorOptions): RolloutCoordinator {
    const { router, view } = opts;
    const { rollouts } = view;
    const active = new Map<string, ActiveRollout>();
    /** Running orders in the view, and the time at which this router saw them first. */
    const seen = new Map<string, { order: RolloutEntry; readonly seenAt: number; }>();
    /** Time since which another router coordinates a service, by service. Nothing is granted or written meanwhile. */
    const pausedSince = new Map<string, number>();
    let checkAt = Infinity;
    let effects: PlacementEffect[] = [];

    const log = (event: keyof typeof coordinatorLogEvents, fields: LogEffect["fields"]): void => {
        effects.push({ type: "log", event: coordinatorLogEvents[event], fields });
    };

    const updateSeen = (running: readonly RolloutEntry[], now: number): void => {
        for (const service of seen.keys())
            if (!running.some(order => order.service === service)) seen.delete(service);
        for (const order of running) {
            const known = seen.get(order.service);
            if (known !== undefined && isSameOrder(known.order, order)) known.order = order;
            else seen.set(order.service, { order, seenAt: now });
        }
    };

    const start = (order: RolloutEntry, bounds: RolloutBounds, now: number): void => {
        const seenAt = seen.get(order.service)?.seenAt ?? now;
        const rollout = createActiveRollout({ ...opts, order, bounds, now, seenAt });
        active.set(order.service, rollout);
        log("rolloutTaken", rollout.createStartFields(now));
    };

    const release = (service: string, reason: string): void => {
        const rollout = active.get(service);
        if (rollout === undefined) return;
        active.delete(service);
        pausedSince.delete(service);
        log("rolloutReleased", { service, version: rollout.getOrder().targetVersion, reason });
    };

    const isCoordinator = (service: string, now: number): boolean => {
        // A router that is not in the list, such as one that leaves, is no coordinator of others.
        const isListed = view.listRouters().some(entry => entry.router === router);
        return isListed && opts.findCoordinator(service, now)?.router === router;
    };

    const updatePause = (service: string, now: number): void => {
        if (isCoordinator(service, now)) return void pausedSince.delete(service);
        const since = pausedSince.get(service) ?? now;
        pausedSince.set(service, since);
        if (now - since > maxPauseMs) release(service, "coordinator changed");
    };

    const updateActive = (now: number): void => {
        const running = rollouts?.listRunning() ?? [];
        const bounds = opts.getBounds();
        updateSeen(running, now);
        for (const [service, rollout] of active) {
            const order = running.find(other => other.service === service);
            if (order === undefined || !isSameOrder(rollout.getOrder(), order)) release(service, "ended");
            else {
                rollout.setOrder(order);
                if (rollout.isOutdated()) release(service, "phase changed");
                else updatePause(service, now);
            }
        }
        if (bounds === undefined || !view.isComplete()) return;
        for (const order of running)
            if (!active.has(order.service) && isCoordinator(order.service, now)) start(order, bounds, now);
    };

    /** The clock of the deciders may have stood still; new ones take the time from the wall clock. */
    const restartDeciders = (): void => {
        for (const [service, { isBad }] of active) if (!isBad()) release(service, "clock jumped");
    };

    const decide = (service: string, rollout: ActiveRollout, now: number): void => {
        if (!pausedSince.has(service)) effects.push(...rollout.decide(now));
    };

    const check = (now: number): void => {
        updateActive(now);
        for (const [service, rollout] of active) {
            rollout.outcomes.expire(now);
            decide(service, rollout, now);
        }
        checkAt = seen.size === 0 ? Infinity : now + decideIntervalMs;
    };

    const handleWritten = (event: RolloutStatusWrittenEvent): void => {
        const { service, result, status, revision, reason } = event;
        const { state, phase, targetVersion: version } = status;
        const retryInMs = active.get(service)?.writer.handleResult(event);
        const fields = { service, version, state, phase, revision, result, reason, retryInMs };
        log(result === "ok" ? "rolloutStatusWritten" : "rolloutStatusRefused", fields);
    };

    const handleNotice = (notice: AttemptNoticeMessage, now: number): void => {
        const rollout = active.get(notice.service);
        if (rollout === undefined) return;
        const outcome = rollout.outcomes.takeOutcome(notice, now);
        if (outcome === undefined) return;
        const isUnsent = outcome.result === "unsent" || (notice.result === "cancelled" && notice.latencyMs === 0);
        if (isUnsent && outcome.isNewVersion) rollout.decider.returnCanary();
        else rollout.decider.recordOutcome(outcome, now);
        // Failures of a new version must stop it at once.
        if (outcome.isNewVersion) decide(notice.service, rollout, now);
    };

    const mayTakeCanary = (rollout: ActiveRollout, { service, excluded }: PlacementRequest): boolean => {
        const hasFailedAtNew = excluded.some(name => {
            const target = view.getTarget(name);
            return target !== undefined && getVersion(target) === rollout.getOrder().targetVersion;
        });
        return !pausedSince.has(service) && !rollout.isBad() && !hasFailedAtNew && rollout.getPhase() === "observing";
    };

    return {
        reduce: event => {
            effects = [];
            if (rollouts === undefined) return effects;
            if (event.type === "rolloutStatusWritten") handleWritten(event);
            if (event.type === "clockJumped") restartDeciders();
            if (event.type === "routerMessage" && event.message.type === "attemptNotice")
                handleNotice(event.message, event.now);
            const isView = event.type === "viewListed" || event.type === "viewChanged";
            const hasNews = event.type === "rolloutStatusWritten"
                || (isView && (event.kind === "rollouts" || event.kind === "routers"));
            if (hasNews || event.now >= checkAt) check(event.now);
            return effects;
        },
        getWakeAt: () => checkAt,
        takeCanaryTargets: (request, now) => {
            const { service, regions } = request;
            const rollout = active.get(service);
            if (rollout === undefined || !mayTakeCanary(rollout, request)) return [];
            if (!rollout.decider.tryTakeCanary(now)) return [];
            const oldCount = view.listUsableTargets(service, regions).length;
            const targets = computeCanaryTargets(oldCount, view.listCanaryTargets(service, regions), canaryBurstShare);
            if (targets.length === 0) rollout.decider.returnCanary();
            return targets;
        },
        returnCanary: service => active.get(service)?.decider.returnCanary(),
        recordPlacement: (request, target, choice, now) => {
            const rollout = active.get(request.service);
            if (rollout === undefined) return;
            const isNewVersion = getVersion(target) === rollout.getOrder().targetVersion;
            const isCold = view.getColdRemainingMs(target.target, now) > 0;
            rollout.outcomes.recordPlacement(request, { target, choice, isNewVersion, isCold }, now);
        },
        countActive: () => active.size,
        countCanaries: () => [...active.values()].reduce((sum, { decider }) => sum + decider.getEvidence().canaries, 0),
    };
}
