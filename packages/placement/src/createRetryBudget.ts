/** Limits the repeats of one service to a part of its requests, over a sliding window. */

export interface RetryBudget {
    readonly addRequest: (now: number) => void;
    /** Takes one repeat from the budget if there is one. */
    readonly takeRetry: (now: number) => boolean;
}

export interface RetryBudgetOptions {
    readonly windowMs: number;
    /** Repeats per request. */
    readonly ratio: number;
    /** Repeats in each window that need no requests. */
    readonly getReserve: () => number;
}

export function createRetryBudget(opts: RetryBudgetOptions): RetryBudget {
    const requests: number[] = [];
    const retries: number[] = [];

    const expire = (times: number[], now: number): void => {
        let stale = 0;
        while (stale < times.length && (times[stale] ?? now) <= now - opts.windowMs) stale++;
        times.splice(0, stale);
    };

    return {
        addRequest: now => {
            expire(requests, now);
            requests.push(now);
        },
        takeRetry: now => {
            expire(requests, now);
            expire(retries, now);
            if (retries.length + 1 > opts.ratio * requests.length + opts.getReserve()) return false;
            retries.push(now);
            return true;
        },
    };
}
