/**
 * Selects the requests that go to a new version while it is observed. The budget grows with the requests and, for the
 * slack, with the time: the slack of coordinators that take over one after the other adds up to that of a single one.
 */
import {
    burstCycleRatio,
    burstStartRatio,
    canaryBurstShare,
    canaryShareRatio,
    canarySlackRatio,
    maxBurstCycleMs,
    maxBurstStartCredit,
    maxCanaries,
    maxCanaryBurstShare,
    minBurstCycleMs,
    minBurstMs,
    verdictDueRatio,
} from "./rolloutSettings.js";

export interface CanaryBudget {
    /** Counts a request; true if it is a canary. `elapsedMs`: time since the order. */
    readonly tryTake: (elapsedMs: number) => boolean;
    readonly return: () => void;
    readonly countRequests: () => number;
    readonly countTaken: () => number;
    /** Time since the order of the last canary; -Infinity without one. */
    readonly getLastTakenMs: () => number;
}

export interface CanaryBudgetOptions {
    readonly durationMs: number;
    /** Time since the order when this coordinator took it over. */
    readonly takenOverAtMs: number;
    readonly exposeShare: number;
    readonly exposeSlack: number;
    /** Random number in [0, 1). */
    readonly random: () => number;
}

export function createCanaryBudget(opts: CanaryBudgetOptions): CanaryBudget {
    const slackMs = opts.durationMs * verdictDueRatio;
    const cycleMs = Math.min(maxBurstCycleMs, Math.max(minBurstCycleMs, opts.durationMs * burstCycleRatio));
    // During a burst the credit shrinks by the difference of both shares.
    const minBurstRatio = (canaryBurstShare - canaryShareRatio * opts.exposeShare) * minBurstMs / cycleMs;
    const startRatio = Math.max(burstStartRatio * opts.exposeShare, minBurstRatio);
    let requests = 0;
    let taken = 0;
    let lastTakenMs = -Infinity;
    let cycle = -1;
    let requestsInCycle = 0;
    let requestsInLastCycle = 0;
    let isBursting = false;

    const computeCredit = (elapsedMs: number): number => {
        const paidMs = Math.max(0, Math.min(elapsedMs, slackMs) - Math.min(opts.takenOverAtMs, slackMs));
        const paidRatio = paidMs / slackMs;
        const allowance = canaryShareRatio * opts.exposeShare * requests
            + canarySlackRatio * opts.exposeSlack * paidRatio;
        return Math.min(allowance, maxCanaries * paidRatio) - taken;
    };

    const startCycle = (elapsedMs: number): void => {
        const currentCycle = Math.floor(elapsedMs / cycleMs);
        if (currentCycle === cycle) return;
        cycle = currentCycle;
        requestsInLastCycle = requestsInCycle;
        requestsInCycle = 0;
    };

    return {
        tryTake: elapsedMs => {
            startCycle(elapsedMs);
            requests++;
            requestsInCycle++;
            const credit = computeCredit(elapsedMs);
            if (credit < 1) isBursting = false;
            else if (credit >= Math.min(startRatio * requestsInLastCycle, maxBurstStartCredit)) isBursting = true;
            if (!isBursting) return false;
            const share = Math.min(
                maxCanaryBurstShare,
                Math.max(canaryBurstShare, 2 * credit / (requestsInLastCycle + 1)),
            );
            if (opts.random() >= share) return false;
            taken++;
            lastTakenMs = elapsedMs;
            return true;
        },
        return: () => {
            if (taken > 0) taken--;
        },
        countRequests: () => requests,
        countTaken: () => taken,
        getLastTakenMs: () => lastTakenMs,
    };
}
