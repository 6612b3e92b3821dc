/** Estimates the load of one target that this router did not cause, and the pace of its host, from what it reports. */
import type { ReportedLoad } from "@rhubarbwheel/types/placement";

export interface LoadEstimatorOptions {
    /** Maximum number of concurrent requests at the target. */
    readonly slots: number;
    /** Time constant with which reported requests of others are forgotten. */
    readonly requestDecayMs: number;
}

export interface LoadEstimator {
    /**
     * Reports without a pace change nothing: the targets of earlier deployments are placed at as before. `ownRequests`:
     * requests that this router knew to be in flight at the target when it sent the report.
     */
    readonly record: (load: ReportedLoad, ownRequests: number, now: number) => void;
    /** Requests in flight at the target that this router does not know of, 0 to `slots`; 0 without a recent report. */
    readonly getOtherRequests: (now: number) => number;
    /** Time that work takes compared with the usual; 1 without a recent report. */
    readonly getPaceRatio: (now: number) => number;
}

/**
 * Reported requests beyond our own that say nothing: a target counts the request that it responds to or not, and
 * another request arrives or ends while the report is on its way.
 */
const toleratedRequests = 1;

/** Weight of the newest report of the number of requests. */
const requestsWeight = 0.4;

/**
 * Time constant over which reported paces are averaged. The pace of a host changes many times a second, so a single
 * report says little about the time at which the request will run.
 */
const paceAverageMs = 250;

/** Maximum weight of one report of the pace, also after a long time without any. */
const maxPaceWeight = 0.5;

/**
 * Time constant with which the pace returns to the usual after `paceAverageMs` without reports, so that a slow target
 * is tried again.
 */
const paceDecayMs = 1_500;

/** Reported paces outside this range are implausible and are not used. */
const plausiblePaces = { min: 0.1, max: 20 } as const;

/** Bounds of the effect of one report; a target that seems slow must not be excluded. */
const usedPaces = { min: 0.5, max: 4 } as const;

/** Age at which a report is not used; requests that ended within this time are remembered to compare them with it. */
export const maxReportAgeMs = 1_000;

/** Decay by which an estimate is considered zero, to save its computation. */
const negligible = 1e-3;

export function createLoadEstimator(opts: LoadEstimatorOptions): LoadEstimator {
    let otherRequests = 0;
    let otherRequestsAt = -Infinity;
    /** Natural logarithm of the average pace: twice as slow and twice as fast cancel out. */
    let logPace = 0;
    let paceAt = -Infinity;
    /** Time for which the pace was computed last; a choice uses it several times. */
    let computedAt = NaN;
    let paceRatio = 1;

    const getOtherRequests = (now: number): number =>
        otherRequests < negligible
            ? 0
            : otherRequests * Math.exp(Math.min(0, otherRequestsAt - now) / opts.requestDecayMs);

    const getLogPace = (now: number): number =>
        Math.abs(logPace) < negligible
            ? 0
            : logPace * Math.exp(Math.min(0, paceAt + paceAverageMs - now) / paceDecayMs);

    const recordRequests = ({ running, waiting }: ReportedLoad, ownRequests: number, reportedAt: number): void => {
        // Reports may arrive out of order; an older one adds nothing.
        if (reportedAt < otherRequestsAt) return;
        const reported = Math.min(running, opts.slots) + Math.min(waiting, opts.slots);
        const excess = Math.min(opts.slots, Math.max(0, reported - ownRequests - toleratedRequests));
        const previous = getOtherRequests(reportedAt);
        otherRequests = previous + requestsWeight * (excess - previous);
        otherRequestsAt = reportedAt;
    };

    const recordPace = (reportedPace: number, reportedAt: number): void => {
        const isPlausible = reportedPace >= plausiblePaces.min && reportedPace <= plausiblePaces.max;
        if (!isPlausible || reportedAt < paceAt) return;
        const used = Math.min(usedPaces.max, Math.max(usedPaces.min, reportedPace));
        const weight = Math.min(maxPaceWeight, 1 - Math.exp((paceAt - reportedAt) / paceAverageMs));
        const previous = getLogPace(reportedAt);
        logPace = previous + weight * (Math.log(used) - previous);
        paceAt = reportedAt;
    };

    return {
        record: (load, ownRequests, now) => {
            const { ageMs = 0 } = load;
            const isRecent = ageMs >= 0 && ageMs <= maxReportAgeMs;
            if (load.paceRatio === undefined || !isRecent) return;
            recordRequests(load, ownRequests, now - ageMs);
            recordPace(load.paceRatio, now - ageMs);
            computedAt = NaN;
        },
        getOtherRequests,
        getPaceRatio: now => {
            if (now === computedAt) return paceRatio;
            const log = getLogPace(now);
            computedAt = now;
            paceRatio = log === 0 ? 1 : Math.exp(log);
            return paceRatio;
        },
    };
}
