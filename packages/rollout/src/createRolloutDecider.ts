/** Decides on one order at one coordinator: canaries, verdict, shift and completion. Times are in ms. */
import type { RolloutPhase } from "@rhubarbwheel/types/rollout";
import { createCanaryBudget } from "./createCanaryBudget.js";
import { createRolloutEvidence, type RolloutOutcome, type RolloutTests } from "./createRolloutEvidence.js";
import type { RouteTotals } from "./createRouteEvidence.js";
import {
    badThreshold,
    badThresholdWhenDue,
    burstResponseMs,
    completeRatio,
    completionMarginRatio,
    earliestGoodRatio,
    evaluationIntervalMs,
    goodThreshold,
    latestCompleteRatio,
    maxObservedRatio,
    minCanaryResponses,
    minObservedRatio,
    slownessPersistMs,
    slownessThresholdUncompared,
    suspicionThreshold,
    verdictDueRatio,
} from "./rolloutSettings.js";

export type { RolloutOutcome } from "./createRolloutEvidence.js";

export interface RolloutDeciderOptions {
    readonly durationMs: number;
    /** Time since the order when this coordinator takes it over. */
    readonly elapsedMs: number;
    readonly phase: RolloutPhase;
    readonly exposeShare: number;
    readonly exposeSlack: number;
    /** Time after which all routers have read a change of the status. */
    readonly applyMs: number;
    readonly now: number;
    /** Random number in [0, 1). */
    readonly random: () => number;
}

export type RolloutDecision = "wait" | "shift" | "complete" | "rollBack";

/** `tooLate`: the shift was not accepted before the deadline of the order. */
export type RolloutReason = "good" | "failures" | "slowness" | "tooFewResponses" | "tooLate";

/** Sums of the tests are logarithms of likelihood ratios; a version is bad at `badThreshold`. */
export interface RolloutRouteEvidence extends RouteTotals {
    readonly failureSum: number;
    readonly slownessSum: number;
}

export interface RolloutEvidence {
    readonly decision: RolloutDecision;
    /** Omitted while the decision is "wait". */
    readonly reason?: RolloutReason;
    /** Requests and canaries that this coordinator has counted while observing. */
    readonly requests: number;
    readonly canaries: number;
    /** Over all routes. */
    readonly failureSum: number;
    readonly slownessSum: number;
    readonly routes: ReadonlyMap<string, RolloutRouteEvidence>;
}

export interface RolloutDecider {
    /** Counts a request of the service; true if it is to go to the new version. */
    readonly tryTakeCanary: (now: number) => boolean;
    /** Takes a canary back for which no new target had room, or that was not sent. */
    readonly returnCanary: () => void;
    readonly recordOutcome: (outcome: RolloutOutcome, now: number) => void;
    /** `inFlightAtOld`: requests in flight at replaced versions. The decision stays until `setPhase` or the end. */
    readonly decide: (now: number, inFlightAtOld: number) => RolloutDecision;
    /** The store has accepted the phase. */
    readonly setPhase: (phase: RolloutPhase, now: number) => void;
    /** Figures behind the decision, for logs and metrics. */
    readonly getEvidence: () => RolloutEvidence;
}

export function createRolloutDecider(opts: RolloutDeciderOptions): RolloutDecider {
    const { durationMs, applyMs } = opts;
    const orderedAt = opts.now - opts.elapsedMs;
    const budget = createCanaryBudget({ ...opts, takenOverAtMs: opts.elapsedMs });
    const evidence = createRolloutEvidence();
    const earliestGoodMs = Math.max(
        earliestGoodRatio * durationMs,
        Math.min(opts.elapsedMs + minObservedRatio * durationMs, durationMs - 2 * applyMs),
    );
    // All routers must have read the shift before the end, and the writes and the calls in flight take time.
    const latestShiftMs = (1 - completionMarginRatio) * durationMs - applyMs;
    const dueMs = Math.max(
        Math.min(verdictDueRatio * durationMs, latestShiftMs),
        Math.min(opts.elapsedMs + maxObservedRatio * durationMs, durationMs - 2 * applyMs),
    );
    let phase = opts.phase;
    let shiftedAtMs = opts.elapsedMs;
    if (phase === "shifting") evidence.setShifted(shiftedAtMs);
    let decision: RolloutDecision = "wait";
    let reason: RolloutReason | undefined;
    let evaluatedAt = -Infinity;
    let routeTests: ReadonlyMap<string, RolloutTests> = new Map();
    let slowSinceMs: number | undefined;

    const setDecision = (next: RolloutDecision, why: RolloutReason): void => {
        decision = next;
        reason = why;
    };

    const updateTests = (now: number): void => {
        if (now - evaluatedAt < evaluationIntervalMs) return;
        evaluatedAt = now;
        routeTests = evidence.computeRouteTests(now - orderedAt);
    };

    const listTests = (): readonly RolloutTests[] => [...routeTests.values(), evidence.getPooled()];

    const findBad = (threshold: number, slownessThreshold = threshold): RolloutReason | undefined => {
        if (listTests().some(({ failures }) => failures.sum >= threshold)) return "failures";
        return listTests().some(({ slowness }) => slowness.sum >= slownessThreshold) ? "slowness" : undefined;
    };

    const isClearlyGood = (): boolean => {
        const { failures, slowness } = evidence.getPooled();
        return failures.plainSum <= goodThreshold && slowness.plainSum <= goodThreshold
            && findBad(suspicionThreshold) === undefined;
    };

    const isBurstUnknown = (elapsedMs: number): boolean => elapsedMs - budget.getLastTakenMs() < burstResponseMs;

    const decideObserving = (elapsedMs: number): void => {
        const bad = findBad(elapsedMs >= dueMs ? badThresholdWhenDue : badThreshold);
        if (bad !== undefined) return setDecision("rollBack", bad);
        if (decision === "shift") {
            if (elapsedMs >= durationMs) setDecision("rollBack", "tooLate");
            return;
        }
        if (elapsedMs >= earliestGoodMs && !isBurstUnknown(elapsedMs) && isClearlyGood())
            return setDecision("shift", "good");
        if (elapsedMs < dueMs) return;
        if (evidence.countNewResponses() < minCanaryResponses) return setDecision("rollBack", "tooFewResponses");
        setDecision("shift", "good");
    };

    const decideShifting = (elapsedMs: number, inFlightAtOld: number): void => {
        const bad = findBad(badThreshold, slownessThresholdUncompared);
        if (bad === "failures") return setDecision("rollBack", bad);
        slowSinceMs = bad === "slowness" ? slowSinceMs ?? elapsedMs : undefined;
        if (slowSinceMs !== undefined) {
            const isLate = elapsedMs >= latestCompleteRatio * durationMs;
            if (isLate || elapsedMs - slowSinceMs >= slownessPersistMs) setDecision("rollBack", "slowness");
            return;
        }
        const observedUntilMs = Math.max(shiftedAtMs + applyMs, completeRatio * durationMs);
        if (elapsedMs < observedUntilMs || inFlightAtOld > 0) return;
        setDecision("complete", "good");
    };

    return {
        tryTakeCanary: now => {
            if (decision === "rollBack") return false;
            return phase === "shifting" || budget.tryTake(now - orderedAt);
        },
        returnCanary: () => {
            if (phase === "observing") budget.return();
        },
        recordOutcome: (outcome, now) => evidence.record(outcome, now - orderedAt),
        decide: (now, inFlightAtOld) => {
            if (decision === "rollBack" || decision === "complete") return decision;
            updateTests(now);
            if (phase === "observing") decideObserving(now - orderedAt);
            else decideShifting(now - orderedAt, inFlightAtOld);
            return decision;
        },
        setPhase: (accepted, now) => {
            if (accepted === phase) return;
            phase = accepted;
            shiftedAtMs = now - orderedAt;
            evidence.setShifted(shiftedAtMs);
            if (decision !== "shift") return;
            decision = "wait";
            reason = undefined;
        },
        getEvidence: () => {
            const { failures, slowness } = evidence.getPooled();
            const routes = [...evidence.listTotals()].map(([name, totals]) => {
                const tests = routeTests.get(name);
                const sums = { failureSum: tests?.failures.sum ?? 0, slownessSum: tests?.slowness.sum ?? 0 };
                return [name, { ...totals, ...sums }] as const;
            });
            return {
                decision,
                reason,
                requests: budget.countRequests(),
                canaries: budget.countTaken(),
                failureSum: failures.sum,
                slownessSum: slowness.sum,
                routes: new Map(routes),
            };
        },
    };
}
