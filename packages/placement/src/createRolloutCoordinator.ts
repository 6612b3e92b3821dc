/**
 * Slice that carries out the orders to roll out versions of the services that this router coordinates: it selects the
 * requests for the new version, collects the evidence from attempt notices, and writes the status of the orders.
 */
import type { FleetView } from "@rhubarbwheel/fleet-view/createFleetView";
import { getVersion } from "@rhubarbwheel/fleet-view/createVersionFilter";
import { getOwnStatus, getRunningPhase, isSameOrder } from "@rhubarbwheel/fleet-view/rolloutOrders";
import { computeCanaryTargets } from "@rhubarbwheel/rollout/computeCanaryTargets";
import { createRolloutDecider } from "@rhubarbwheel/rollout/createRolloutDecider";
import type { RolloutDecider, RolloutDeciderOptions } from "@rhubarbwheel/rollout/createRolloutDecider";
import { canaryBurstShare } from "@rhubarbwheel/rollout/rolloutSettings";
import type { RouterEntry, TargetEntry } from "@rhubarbwheel/types/fleet";
import type { AttemptNoticeMessage, PlacementRequest } from "@rhubarbwheel/types/placement";
import type { PlacementEffect, PlacementSlice, RolloutStatusWrittenEvent } from "@rhubarbwheel/types/placement-events";
import type { RolloutEntry, RolloutStatus } from "@rhubarbwheel/types/rollout";
import { computePriorPrefillRate } from "./admission.js";
import type { Choice } from "./createPoolModel.js";
import { createRolloutOutcomes } from "./createRolloutOutcomes.js";
import type { RolloutOutcomes } from "./createRolloutOutcomes.js";
import { createRolloutStatusWriter } from "./createRolloutStatusWriter.js";
import type { RolloutStatusWriter } from "./createRolloutStatusWriter.js";
import { inFlightExpiryMs } from "./placementSettings.js";
import { rolloutLogEvents } from "./rolloutLogEvents.js";

export interface RolloutBounds {
    readonly exposeShare: number;
    readonly exposeSlack: number;
    /** Time after which all routers have read a change of the status. */
    readonly applyMs: number;
}

export interface RolloutCoordinatorOptions {
    /** Name of this router. */
    readonly router: string;
    readonly view: FleetView;
    /** Router that this one regards as the coordinator of a service. */
    readonly findCoordinator: (service: string, now: number) => RouterEntry | undefined;
    readonly countAssigned: (service: string, target: string, assignedBefore: number) => number;
    readonly getBounds: () => RolloutBounds | undefined;
    /** Unix time in milliseconds. */
    readonly getWallClockTime: () => number;
    /** Random number in [0, 1). */
    readonly random: () => number;
    /** Replaced in tests. */
    readonly createDecider?: (opts: RolloutDeciderOptions) => RolloutDecider;
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

/** What stays the same in the status of an order. */
type RolloutOrigin = Pick<RolloutStatus, "replacedVersions" | "startedAtUnixMs">;

/** An order that this router carries out. */
interface ActiveRollout {
    order: RolloutEntry;
    readonly decider: RolloutDecider;
    readonly writer: RolloutStatusWriter;
    readonly outcomes: RolloutOutcomes;
    /** Used until the order has a status. */
    readonly origin: RolloutOrigin;
    /** A bad verdict holds, whatever phase another coordinator writes. */
    isBad: boolean;
}

/** Another coordinator may have written the status first. */
function getOrigin({ order, origin }: ActiveRollout): RolloutOrigin {
    return getOwnStatus(order) ?? origin;
}

/** Interval at which the decider is asked without new evidence. */
const decideIntervalMs = 100;

export function createRolloutCoordinator(opts: RolloutCoordinatorOptions): RolloutCoordinator {
    const { router, view, createDecider = createRolloutDecider } = opts;
    const { rollouts } = view;
    const active = new Map<string, ActiveRollout>();
    /** Orders in the view, and the time at which this router saw them first. */
    const seen = new Map<string, { order: RolloutEntry; readonly seenAt: number; }>();
    let checkAt = Infinity;
    let effects: PlacementEffect[] = [];

    const log = (event: keyof typeof rolloutLogEvents, fields: Readonly<Record<string, string | number | undefined>>) =>
        void effects.push({ type: "log", event: rolloutLogEvents[event], fields });

    const updateSeen = (running: readonly RolloutEntry[], now: number): void => {
        for (const service of seen.keys())
            if (!running.some(order => order.service === service)) seen.delete(service);
        for (const order of running) {
            const known = seen.get(order.service);
            if (known !== undefined && isSameOrder(known.order, order)) known.order = order;
            else seen.set(order.service, { order, seenAt: now });
        }
    };

    const computeElapsedMs = (order: RolloutEntry, now: number): number => {
        const startedAtUnixMs = getOwnStatus(order)?.startedAtUnixMs ?? 0;
        const measuredMs = now - (seen.get(order.service)?.seenAt ?? now);
        // Wall clocks may jump, also backwards.
        return startedAtUnixMs === 0 ? measuredMs : Math.max(measuredMs, opts.getWallClockTime() - startedAtUnixMs);
    };

    const start = (order: RolloutEntry, bounds: RolloutBounds, now: number): void => {
        const { service, targetVersion, durationMs } = order;
        const elapsedMs = computeElapsedMs(order, now);
        const phase = getRunningPhase(order) ?? "observing";
        const replacedVersions = rollouts?.listReplacedVersions(service, targetVersion) ?? [];
        const { exposeShare, exposeSlack } = bounds;
        // A coordinator that has just taken over learns of requests in flight within the expiry time.
        const applyMs = Math.max(bounds.applyMs, inFlightExpiryMs);
        active.set(service, {
            order,
            decider: createDecider({
                durationMs,
                elapsedMs,
                phase,
                exposeShare,
                exposeSlack,
                applyMs,
                now,
                random: opts.random,
            }),
            writer: createRolloutStatusWriter(),
            outcomes: createRolloutOutcomes({
                getWallClockTime: opts.getWallClockTime,
                prefillRate: computePriorPrefillRate(view, service),
            }),
            origin: { replacedVersions, startedAtUnixMs: Math.round(opts.getWallClockTime() - elapsedMs) },
            isBad: false,
        });
        log("rolloutTaken", {
            service,
            version: targetVersion,
            phase,
            replaced: (getOwnStatus(order)?.replacedVersions ?? replacedVersions).join(","),
            elapsedMs: Math.round(elapsedMs),
            rolloutsAgeMs: Math.round(view.getAgeMs("rollouts", now)),
        });
    };

    const release = (service: string, reason: string): void => {
        const rollout = active.get(service);
        if (rollout === undefined) return;
        active.delete(service);
        log("rolloutReleased", { service, version: rollout.order.targetVersion, reason });
    };

    const isCoordinator = (service: string, now: number): boolean => {
        // A router that is not in the list, such as one that leaves, is no coordinator of others.
        const isListed = view.listRouters().some(entry => entry.router === router);
        return isListed && opts.findCoordinator(service, now)?.router === router;
    };

    const updateActive = (now: number): void => {
        const running = rollouts?.listRunning() ?? [];
        const bounds = opts.getBounds();
        updateSeen(running, now);
        for (const [service, rollout] of active) {
            const order = running.find(other => other.service === service);
            if (order === undefined || !isSameOrder(rollout.order, order)) release(service, "ended");
            else if (!isCoordinator(service, now)) release(service, "coordinator changed");
            else rollout.order = order;
        }
        if (bounds === undefined || !view.isComplete()) return;
        for (const order of running)
            if (!active.has(order.service) && isCoordinator(order.service, now)) start(order, bounds, now);
    };

    /** The clock of the deciders may have stood still; new ones take the time from the wall clock. */
    const restartDeciders = (): void => {
        for (const [service, { isBad }] of active) if (!isBad) release(service, "clock jumped");
    };

    const countInFlightAtOld = (rollout: ActiveRollout): number => {
        const { order } = rollout;
        const targets = rollouts?.listTargetsOf(order.service, getOrigin(rollout).replacedVersions) ?? [];
        return targets.reduce((sum, { target }) => sum + opts.countAssigned(order.service, target, Infinity), 0);
    };

    const logDecision = ({ order, decider }: ActiveRollout, decision: string, now: number): void => {
        const { reason, requests, canaries, failureSum, slownessSum, routes } = decider.getEvidence();
        log("rolloutDecided", {
            service: order.service,
            version: order.targetVersion,
            decision,
            reason,
            elapsedMs: Math.round(computeElapsedMs(order, now)),
            requests,
            canaries,
            failureSum: Number(failureSum.toFixed(2)),
            slownessSum: Number(slownessSum.toFixed(2)),
            routes: JSON.stringify(Object.fromEntries(routes)),
        });
    };

    /** Whether the version of an order that has not begun is the only one in use, so that there is nothing to do. */
    const isAlreadyInUse = ({ order, origin }: ActiveRollout): boolean =>
        getOwnStatus(order) === undefined && origin.replacedVersions.length === 0
        && (rollouts?.listTargetsOf(order.service, [order.targetVersion]) ?? []).length > 0;

    const decide = (rollout: ActiveRollout, now: number): void => {
        const { order, decider, writer } = rollout;
        const { targetVersion } = order;
        const { replacedVersions, startedAtUnixMs } = getOrigin(rollout);
        const phase = getRunningPhase(order) ?? "observing";
        decider.setPhase(phase, now);
        const inFlightAtOld = phase === "shifting" ? countInFlightAtOld(rollout) : 0;
        const decision = rollout.isBad ? "rollBack" : decider.decide(now, inFlightAtOld);
        const common = { targetVersion, replacedVersions, startedAtUnixMs };
        if (writer.setDecision(decision)) logDecision(rollout, decision, now);
        rollout.isBad = decision === "rollBack";
        if (isAlreadyInUse(rollout)) writer.want({ state: "completed", ...common });
        else if (decision === "rollBack") writer.want({ state: "rolledBack", ...common });
        else if (decision === "complete") writer.want({ state: "completed", ...common });
        else if (decision === "shift" && phase === "observing")
            writer.want({ state: "running", phase: "shifting", ...common });
        else if (getOwnStatus(order) === undefined) writer.want({ state: "running", phase: "observing", ...common });
        else writer.want(undefined);
        effects.push(...writer.write(order, now));
    };

    const check = (now: number): void => {
        updateActive(now);
        for (const rollout of active.values()) {
            rollout.outcomes.expire(now);
            decide(rollout, now);
        }
        checkAt = seen.size === 0 ? Infinity : now + decideIntervalMs;
    };

    const handleWritten = (event: RolloutStatusWrittenEvent): void => {
        const { service, result, status, revision, reason } = event;
        const { state, phase, targetVersion: version } = status;
        const rollout = active.get(service);
        const retryInMs = rollout?.writer.handleResult(event);
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
        if (outcome.isNewVersion) decide(rollout, now);
    };

    const mayTakeCanary = ({ order, isBad }: ActiveRollout, { excluded }: PlacementRequest): boolean => {
        const hasFailedAtNew = excluded.some(name => {
            const target = view.getTarget(name);
            return target !== undefined && getVersion(target) === order.targetVersion;
        });
        return !isBad && !hasFailedAtNew && getRunningPhase(order) === "observing";
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
            const isNewVersion = getVersion(target) === rollout.order.targetVersion;
            const isCold = view.getColdRemainingMs(target.target, now) > 0;
            rollout.outcomes.recordPlacement(request, { target, choice, isNewVersion, isCold }, now);
        },
        countActive: () => active.size,
        countCanaries: () => [...active.values()].reduce((sum, { decider }) => sum + decider.getEvidence().canaries, 0),
    };
}
