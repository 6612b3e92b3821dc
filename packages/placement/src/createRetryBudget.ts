/** Limits the repeats of one service to a part of its requests, over a sliding window. */

export interface RetryBudget {
    readonly addRequest: (now: number) => void;
    /** Takes one repeat from the budget if there is one. */
    readonly takeRetry: (now: number) => boolean;
}

export interface RetryPolicy {
    readonly windowMs: number;
    /** Repeats per request. */
    readonly ratio: number;
    /** Repeats in each window that need no requests. */
    readonly reserve: number;
}

export function createRetryBudget(getPolicy: () => RetryPolicy): RetryBudget {
    const requests: number[] = [];
    const retries: number[] = [];

    const expire = (times: number[], now: number): void => {
        const { windowMs } = getPolicy();
        let stale = 0;
        while (stale < times.length && (times[stale] ?? now) <= now - windowMs) stale++;
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
            const { ratio, reserve } = getPolicy();
            if (retries.length + 1 > ratio * requests.length + reserve) return false;
            retries.push(now);
            return true;
        },
    };
}
