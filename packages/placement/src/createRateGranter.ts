/** Grants requests to targets at the rates that they accept, and tells refused callers when to return. */
import { computeRetryAfterMs } from "@rhubarbwheel/routing/computeRetryAfterMs";
import type { TargetEntry } from "@rhubarbwheel/types/fleet";
import { createRequestRateLimiter } from "./createRequestRateLimiter.js";
import type { TargetNotices } from "./createTargetNotices.js";

export interface RateGranter {
    /**
     * Records the demand of a request, and returns a function that tells whether a target may get it. If only some of
     * `targets` have a rate limit, these are left to requests of a high cost as long as little of it is unused: they
     * then run as much work as the limit allows, and the others have time for requests of a low cost.
     */
    readonly createFilter: (
        service: string,
        targets: readonly TargetEntry[],
        cost: number,
        now: number,
    ) => (target: TargetEntry) => boolean;
    /** Records a request to the target, also one that was not granted here. */
    readonly take: (target: TargetEntry, now: number) => void;
    /**
     * Time after which a caller returns whose targets have all taken as many requests as they accept. Callers return
     * one by one, at the rate of the targets. One that cannot wait for its turn returns when it must, and takes none.
     */
    readonly computeReturnMs: (
        service: string,
        targets: readonly TargetEntry[],
        timeLeftMs: number,
        now: number,
    ) => number;
}

/** Multiple of the mean cost that a request needs when a target's burst is used up. */
const maxCostRatio = 2;

/** Weight of a new request in the moving average of the cost. */
const meanCostWeight = 0.02;

const msPerSecond = 1_000;

export function createRateGranter(targetNotices: Pick<TargetNotices, "getRateLimit">): RateGranter {
    const limiter = createRequestRateLimiter();
    const meanCosts = new Map<string, number>();
    /** Time at which the last refused caller of each service may return. */
    const lastReturnAt = new Map<string, number>();

    return {
        createFilter: (service, targets, cost, now) => {
            const meanCost = meanCosts.get(service) ?? cost;
            meanCosts.set(service, meanCost + meanCostWeight * (cost - meanCost));
            const isSparing = targets.some(entry => targetNotices.getRateLimit(entry) === undefined);
            return entry => {
                const perSecond = targetNotices.getRateLimit(entry);
                if (perSecond === undefined) return true;
                if (!limiter.hasCapacity(entry.target, perSecond, now)) return false;
                const usedRatio = 1 - limiter.getUnusedRatio(entry.target, perSecond, now);
                return !isSparing || cost >= meanCost * maxCostRatio * usedRatio;
            };
        },
        take: (entry, now) => {
            const perSecond = targetNotices.getRateLimit(entry);
            if (perSecond !== undefined) limiter.take(entry.target, perSecond, now);
        },
        computeReturnMs: (service, targets, timeLeftMs, now) => {
            let perSecond = 0;
            let availableAt = Infinity;
            for (const entry of targets) {
                const rate = targetNotices.getRateLimit(entry);
                if (rate === undefined) continue;
                perSecond += rate;
                availableAt = Math.min(availableAt, limiter.getAvailableAt(entry.target, rate, now));
            }
            const returnAt = Math.max(availableAt, (lastReturnAt.get(service) ?? -Infinity) + msPerSecond / perSecond);
            const latestReturnMs = computeRetryAfterMs(timeLeftMs);
            if (returnAt - now > latestReturnMs) return latestReturnMs;
            lastReturnAt.set(service, returnAt);
            return returnAt - now;
        },
    };
}
