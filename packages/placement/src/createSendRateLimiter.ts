/** Sliding-window rate limit for sends to targets. */

export interface SendRateLimiter {
    /** Records a send unless the number of sends within the window would exceed `limit`. */
    readonly tryTake: (target: string, limit: number, now: number) => boolean;
    /** Whether `tryTake` would succeed. */
    readonly hasCapacity: (target: string, limit: number, now: number) => boolean;
    /** Number of sends within the window. */
    readonly count: (target: string, now: number) => number;
}

const defaultWindowMs = 1_000;

/** Added to the window, because network jitter can reduce the interval between sends. */
const jitterMs = 100;

export function createSendRateLimiter(windowMs = defaultWindowMs): SendRateLimiter {
    const sends = new Map<string, number[]>();

    const listRecent = (target: string, now: number): number[] => {
        const recent = sends.get(target) ?? [];
        while (recent[0] !== undefined && now - recent[0] >= windowMs + jitterMs) recent.shift();
        if (recent.length === 0) sends.delete(target);
        return recent;
    };

    return {
        tryTake: (target, limit, now) => {
            const recent = listRecent(target, now);
            if (recent.length >= limit) return false;
            recent.push(now);
            sends.set(target, recent);
            return true;
        },
        hasCapacity: (target, limit, now) => listRecent(target, now).length < limit,
        count: (target, now) => listRecent(target, now).length,
    };
}
