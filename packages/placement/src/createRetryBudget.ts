/** Limits the retries of one service to a fraction of its requests over a sliding window. */

export interface RetryBudget {
    readonly recordRequest: (now: number) => void;
    /** Takes one retry from the budget unless it is used up. */
    readonly tryTakeRetry: (now: number) => boolean;
}

export interface RetryPolicy {
    readonly windowMs: number;
    /** Retries per request. */
    readonly ratio: number;
    /** Retries per window in addition to the ratio. */
    readonly reserve: number;
}

export function createRetryBudget(getPolicy: () => RetryPolicy): RetryBudget {
    const requests: number[] = [];
    const retries: number[] = [];

    const expire = (times: number[], now: number): void => {
        const { windowMs } = getPolicy();
        let expiredCount = 0;
        while (expiredCount < times.length && (times[expiredCount] ?? now) <= now - windowMs) expiredCount++;
        times.splice(0, expiredCount);
    };

    return {
        recordRequest: now => {
            expire(requests, now);
            requests.push(now);
        },
        tryTakeRetry: now => {
            expire(requests, now);
            expire(retries, now);
            const { ratio, reserve } = getPolicy();
            if (retries.length + 1 > ratio * requests.length + reserve) return false;
            retries.push(now);
            return true;
        },
    };
}
