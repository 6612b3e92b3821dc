/**
 * Bounds what a router starts at the engines of a pool while no coordinator answers: its own part of what the pool can
 * read. The parts of all routers add up to the whole, so that routers that do not know of each other's requests do not
 * queue seconds of work at the engines.
 */

export interface LocalTokenBucket {
    /** Takes `tokens` if anything is left; a large request may overdraw, and later ones wait until that is made up for. */
    readonly tryTake: (tokens: number, now: number) => boolean;
}

export interface LocalTokenBucketOptions {
    /** Tokens a millisecond that this router may start. */
    readonly getRate: () => number;
    /** Time whose tokens may be started at once. */
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
            // Routers lose their coordinator together. A large request is more than the part of one router, so each of them
            // starts as if it were midway in paying for one, and together they start no more than their burst.
            tokensLeft = refilled < burst ? refilled : burst - opts.random() * tokens;
            updatedAt = now;
            if (tokensLeft <= 0) return false;
            tokensLeft -= tokens;
            return true;
        },
    };
}
