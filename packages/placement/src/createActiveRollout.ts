/** One order that this router carries out: asks the decider, and writes what it decides. */
import type { FleetView } from "@rhubarbwheel/fleet-view/createFleetView";
import { getOwnStatus, getRunningPhase } from "@rhubarbwheel/fleet-view/rolloutOrders";
import { createRolloutDecider } from "@rhubarbwheel/rollout/createRolloutDecider";
import type {
    RolloutDecider,
    RolloutDeciderOptions,
    RolloutDecision,
} from "@rhubarbwheel/rollout/createRolloutDecider";
import type { LogEffect } from "@rhubarbwheel/types/effects";
import type { PlacementEffect } from "@rhubarbwheel/types/placement-events";
import type { RolloutEntry, RolloutStatus } from "@rhubarbwheel/types/rollout";
import { computePriorPrefillRate } from "./admission.js";
import { coordinatorLogEvents } from "./coordinatorLogEvents.js";
import { createRolloutOutcomes } from "./createRolloutOutcomes.js";
import { createRolloutStatusWriter } from "./createRolloutStatusWriter.js";
import { inFlightExpiryMs } from "./placementSettings.js";

export interface RolloutBounds {
    readonly exposeShare: number;
    readonly exposeSlack: number;
    /** Time after which all routers have read a change of the status. */
    readonly applyMs: number;
}

export interface RolloutExecutionOptions {
    readonly view: FleetView;
    /** Whether no other router ranks above this one as the coordinator of the service. */
    readonly isFirstByRank: (service: string) => boolean;
    readonly countAssigned: (service: string, target: string, assignedBefore: number) => number;
    /** Unix time in milliseconds. */
    readonly getWallClockTime: () => number;
    /** Random number in [0, 1). */
    readonly random: () => number;
    /** Replaced in tests. */
    readonly createDecider?: (opts: RolloutDeciderOptions) => RolloutDecider;
}

export interface ActiveRolloutOptions extends RolloutExecutionOptions {
    readonly order: RolloutEntry;
    readonly bounds: RolloutBounds;
    readonly now: number;
    /** Time at which this router first saw the order. */
    readonly seenAt: number;
}

/**
 * Fraction of the duration before which a coordinator that is not the first by rank neither completes an order nor rolls
 * it back for lack of evidence. The first one may be alive, and only be unreachable from here: it gets the requests of
 * the others then, and knows what is in flight.
 */
const lateDecisionRatio = 0.85;

export function createActiveRollout(opts: ActiveRolloutOptions) {
    const { view, bounds, seenAt, createDecider = createRolloutDecider } = opts;
    const { service, targetVersion, durationMs } = opts.order;
    let { order } = opts;
    /** A bad verdict holds, whatever phase another coordinator writes. */
    let isBad = false;
    const writer = createRolloutStatusWriter();

    const computeElapsedMs = (now: number): number => {
        const startedAtUnixMs = getOwnStatus(order)?.startedAtUnixMs ?? 0;
        const measuredMs = now - seenAt;
        // Wall clocks may jump, also backwards.
        return startedAtUnixMs === 0 ? measuredMs : Math.max(measuredMs, opts.getWallClockTime() - startedAtUnixMs);
    };

    const getPhase = () => getRunningPhase(order) ?? "observing";

    const { exposeShare, exposeSlack } = bounds;
    const elapsedMs = computeElapsedMs(opts.now);
    const decider = createDecider({
        durationMs,
        elapsedMs,
        phase: getPhase(),
        exposeShare,
        exposeSlack,
        // A coordinator that has just taken over learns of requests in flight within the expiry time.
        applyMs: Math.max(bounds.applyMs, inFlightExpiryMs),
        now: opts.now,
        random: opts.random,
    });
    const startPhase = getPhase();
    /** Used until the order has a status; another coordinator may write it first. */
    const origin: Pick<RolloutStatus, "replacedVersions" | "startedAtUnixMs"> = {
        replacedVersions: view.rollouts?.listReplacedVersions(service, targetVersion) ?? [],
        startedAtUnixMs: Math.round(opts.getWallClockTime() - elapsedMs),
    };

    const countInFlightAtOld = (): number => {
        const { replacedVersions } = getOwnStatus(order) ?? origin;
        const targets = view.rollouts?.listTargetsOf(service, replacedVersions) ?? [];
        return targets.reduce((sum, { target }) => sum + opts.countAssigned(service, target, Infinity), 0);
    };

    /** Whether the version of an order that has not begun is the only one in use, so that there is nothing to do. */
    const isAlreadyInUse = (): boolean =>
        getOwnStatus(order) === undefined && origin.replacedVersions.length === 0
        && (view.rollouts?.listTargetsOf(service, [targetVersion]) ?? []).length > 0;

    const hasTooFewResponses = (): boolean => decider.getEvidence().reason === "tooFewResponses";

    const isPremature = (decision: RolloutDecision, now: number): boolean =>
        (decision === "complete" || (decision === "rollBack" && hasTooFewResponses()))
        && computeElapsedMs(now) < lateDecisionRatio * durationMs && !opts.isFirstByRank(service);

    const requestDecision = (now: number): RolloutDecision => {
        if (isBad) return "rollBack";
        if (isAlreadyInUse()) return "complete";
        decider.setPhase(getPhase(), now);
        const decision = decider.decide(now, getPhase() === "shifting" ? countInFlightAtOld() : 0);
        return isPremature(decision, now) ? "wait" : decision;
    };

    const createStatus = (decision: RolloutDecision): RolloutStatus | undefined => {
        const { replacedVersions, startedAtUnixMs } = getOwnStatus(order) ?? origin;
        const common = { targetVersion, replacedVersions, startedAtUnixMs };
        if (decision === "rollBack") return { state: "rolledBack", ...common };
        if (decision === "complete") return { state: "completed", ...common };
        if (decision === "shift" && getPhase() === "observing")
            return { state: "running", phase: "shifting", ...common };
        return getOwnStatus(order) === undefined ? { state: "running", phase: "observing", ...common } : undefined;
    };

    const createDecisionLog = (decision: RolloutDecision, now: number): LogEffect => {
        const { reason, requests, canaries, failureSum, slownessSum, routes } = decider.getEvidence();
        return {
            type: "log",
            event: coordinatorLogEvents.rolloutDecided,
            fields: {
                service,
                version: targetVersion,
                decision,
                reason,
                elapsedMs: Math.round(computeElapsedMs(now)),
                requests,
                canaries,
                failureSum: Number(failureSum.toFixed(2)),
                slownessSum: Number(slownessSum.toFixed(2)),
                routes: JSON.stringify(Object.fromEntries(routes)),
            },
        };
    };

    return {
        decider,
        writer,
        outcomes: createRolloutOutcomes({
            getWallClockTime: opts.getWallClockTime,
            prefillRate: computePriorPrefillRate(view, service),
        }),
        getOrder: () => order,
        /** Replaces the order by a later state of it. */
        setOrder: (next: RolloutEntry): void => {
            order = next;
        },
        getPhase,
        isBad: () => isBad,
        /** Whether a new decider is needed: this one has no verdict for the phase that another coordinator has written. */
        isOutdated: () => !isBad && getPhase() !== startPhase && hasTooFewResponses(),
        /** Decides, and returns the effects of writing the decision. */
        decide: (now: number): readonly PlacementEffect[] => {
            const decision = requestDecision(now);
            isBad = decision === "rollBack";
            writer.setWanted(createStatus(decision));
            const logs = writer.setDecision(decision) ? [createDecisionLog(decision, now)] : [];
            return [...logs, ...writer.write(order, now)];
        },
        /** Log fields of the start. */
        createStartFields: (now: number): LogEffect["fields"] => ({
            service,
            version: targetVersion,
            phase: startPhase,
            replaced: (getOwnStatus(order) ?? origin).replacedVersions.join(","),
            elapsedMs: Math.round(elapsedMs),
            rolloutsAgeMs: Math.round(view.getAgeMs("rollouts", now)),
        }),
    };
}

export type ActiveRollout = ReturnType<typeof createActiveRollout>;
