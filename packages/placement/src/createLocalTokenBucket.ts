/**
 * Rate limit for requests that a router places locally on the engines of a pool: its own share of the pool's prefill
 * rate. The shares of all routers add up to the total, so that routers that do not know each other's requests do not
 * queue seconds of work at the engines.
 */

export interface LocalTokenBucket {
    /** Takes `tokens` unless the bucket is empty. A large request may overdraw it; others then wait for the refill. */
    readonly tryTake: (tokens: number, now: number) => boolean;
}

export interface LocalTokenBucketOptions {
    /** Refill rate in tokens per millisecond. */
    readonly getRate: () => number;
    /** Burst capacity, as the time in which the bucket refills completely. */
    readonly getBurstMs: () => number;
    /** Random number in [0, 1). */
    readonly random: () => number;
}

export function createLocalTokenBucket(opts: LocalTokenBucketOptions): LocalTokenBucket {
    let tokensLeft = Infinity;
    let updatedAt = 0;

    return {
        tryTake: (tokens, now) => {
            const rate = opts.getRate();
            const burst = rate * opts.getBurstMs();
            const refilled = tokensLeft + rate * (now - updatedAt);
            // All routers lose their coordinator at the same time, and a single large request exceeds the burst of one
            // router. A random debt of up to one request, taken from a full bucket, keeps their total near the burst of
            // the pool.
            tokensLeft = refilled < burst ? refilled : burst - opts.random() * tokens;
            updatedAt = now;
            if (tokensLeft <= 0) return false;
            tokensLeft -= tokens;
            return true;
        },
    };
}
