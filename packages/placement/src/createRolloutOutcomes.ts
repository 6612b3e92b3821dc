/** Requests that were placed during a rollout, and the outcomes of their attempts as evidence about the versions. */
import type { RolloutOutcome } from "@rhubarbwheel/rollout/createRolloutDecider";
import type { TargetEntry } from "@rhubarbwheel/types/fleet";
import type { AttemptNoticeMessage, PlacedAttemptResult, PlacementRequest } from "@rhubarbwheel/types/placement";
import type { Choice } from "./createPoolModel.js";
import { firstEventMs, inFlightExpiryMs } from "./placementSettings.js";

export interface RolloutOutcomesOptions {
    /** Unix time in milliseconds. */
    readonly getWallClockTime: () => number;
    /** Expected prefill rate of one target, in tokens per millisecond. */
    readonly prefillRate: number;
}

export interface PlacementDetails {
    readonly target: TargetEntry;
    readonly choice: Choice;
    readonly isNewVersion: boolean;
    readonly isCold: boolean;
}

/** A placed request whose attempt has not ended. */
interface PlacedRequest extends Pick<RolloutOutcome, "route" | "isNewVersion" | "isWarmingUp" | "failureDomain"> {
    readonly target: string;
    readonly placedAt: number;
    readonly timeLeftMs: number;
    /** Expected latency; omitted for plain calls. */
    readonly expectedMs?: number;
}

/** Time after its start in which a target is slower than later. */
const warmUpMs = 3_000;

/**
 * Fraction of the remaining time after which an attempt that is cancelled had no response in time. Callers with a
 * deadline disconnect shortly before the router's own timeout.
 */
const timedOutRatio = 0.9;

/** Latency that stands for the expected one of a model request. */
const normalLatencyMs = 100;

export function createRolloutOutcomes(opts: RolloutOutcomesOptions) {
    const placed = new Map<string, PlacedRequest>();

    const getResult = (
        { placedAt, timeLeftMs }: PlacedRequest,
        result: PlacedAttemptResult,
        now: number,
    ): PlacedAttemptResult =>
        result === "cancelled" && now - placedAt >= timeLeftMs * timedOutRatio ? "broken" : result;

    return {
        recordPlacement: (request: PlacementRequest, details: PlacementDetails, now: number): void => {
            const { requestId, route = "", timeLeftMs, prompt } = request;
            const { target, choice, isNewVersion, isCold } = details;
            const ageMs = opts.getWallClockTime() - (target.startedAtUnixMs ?? -Infinity);
            placed.set(requestId, {
                route,
                isNewVersion,
                isWarmingUp: isCold || Math.abs(ageMs) < warmUpMs,
                target: target.target,
                failureDomain: target.failureDomain,
                placedAt: now,
                timeLeftMs,
                expectedMs: prompt === undefined
                    ? undefined
                    : firstEventMs + choice.waitMs + choice.newTokens / opts.prefillRate,
            });
        },
        /**
         * Returns the outcome of an attempt that has ended. The latency of a model request is in relation to the
         * expected one: a new version has no cached prompt parts, and its prompts need more prefill.
         */
        takeOutcome: (notice: AttemptNoticeMessage, now: number): RolloutOutcome | undefined => {
            const request = placed.get(notice.requestId);
            if (request === undefined || request.target !== notice.target || notice.result === undefined)
                return undefined;
            placed.delete(notice.requestId);
            const { route, isNewVersion, isWarmingUp, failureDomain, expectedMs } = request;
            const { latencyMs } = notice;
            return {
                route,
                isNewVersion,
                isWarmingUp,
                failureDomain,
                result: getResult(request, notice.result, now),
                latencyMs: expectedMs === undefined ? latencyMs : latencyMs / expectedMs * normalLatencyMs,
            };
        },
        /** Removes requests whose notice was lost. */
        expire: (now: number): void => {
            for (const [requestId, { placedAt, timeLeftMs }] of placed) {
                // In order of placement, so that the others are newer.
                if (now - placedAt <= inFlightExpiryMs) return;
                if (now - placedAt > timeLeftMs + inFlightExpiryMs) placed.delete(requestId);
            }
        },
    };
}

export type RolloutOutcomes = ReturnType<typeof createRolloutOutcomes>;
