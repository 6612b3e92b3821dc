/** Cost of a target for a request, in milliseconds of queueing time; the target of lowest cost is chosen. */
import type { TargetModel } from "./createTargetModel.js";
import { prefillWeight, runningRequestCostMs } from "./placementSettings.js";

/** What the choice of a target takes into account beside queueing time and cached parts. */
export interface ChoiceRule {
    /** Cost of each request at an engine, in milliseconds of queueing time. */
    readonly runningRequestCostMs: number;
    readonly usesReports: boolean;
    /** Whether a tie goes to the target whose last request is the longest ago, and not to the first of the list. */
    readonly breaksTies: boolean;
}

/** The rule of routers; others are for comparisons. */
export const evenLoadRule: ChoiceRule = { runningRequestCostMs, usesReports: true, breaksTies: true };

/** The rule for pools whose targets report no pace, as before reports were used: they are placed at as they were. */
export const unreportedLoadRule: ChoiceRule = { runningRequestCostMs: 0, usesReports: false, breaksTies: false };

/** Cost of a failure ratio of 1 above the mean of the pool, in milliseconds of queueing time. */
const failurePenaltyMs = 2_000;

/** Difference to the pool's mean failure ratio that is considered random. */
const toleratedFailureRatio = 0.1;

/** Multiple of the pool's minimum service time that is considered random. */
const toleratedSlowdown = 2;

/**
 * Cost advantage of the target that is first by rendezvous hashing, so that routers choose the same target without
 * communication.
 */
export const preferredTargetBonusMs = 15;

export function computeFailureCostMs(failureRatio: number, meanFailureRatio: number): number {
    return Math.max(0, failureRatio - meanFailureRatio - toleratedFailureRatio) * failurePenaltyMs;
}

/**
 * Cost of a plain call: the fraction of slots in use, and the time by which the target is slower than others. A
 * slowdown that the host reports is not random, so all of it counts.
 */
export function estimateCallCostMs(opts: {
    readonly model: TargetModel;
    readonly slots: number;
    /** Shortest service time of all candidates. */
    readonly minServiceTimeMs: number;
    readonly now: number;
}): number {
    const { model, slots, minServiceTimeMs, now } = opts;
    const serviceTimeMs = model.getServiceTimeMs(now);
    return Math.max(0, serviceTimeMs - toleratedSlowdown * minServiceTimeMs)
        + serviceTimeMs * (model.getPaceRatio(now) - 1)
        + model.estimateRequests(now) / slots * minServiceTimeMs;
}

/**
 * Cost of a prompt at an engine. The pace counts once, and not with the weight of prefill: it changes faster than
 * cached parts can follow.
 */
export function estimatePromptCostMs(opts: {
    readonly model: TargetModel;
    /** Prefill at the usual pace of the host. */
    readonly prefillMs: number;
    readonly rule: ChoiceRule;
    readonly now: number;
}): number {
    const { model, prefillMs, rule, now } = opts;
    return prefillMs * (prefillWeight + model.getPaceRatio(now) - 1)
        + model.estimateRequests(now) * rule.runningRequestCostMs;
}
