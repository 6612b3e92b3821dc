/** Token buckets that grant requests to targets at the rates that they accept. */
import { maxRememberedTargets } from "./placementSettings.js";
import { setBounded } from "./setBounded.js";

export interface RequestRateLimiter {
    /** Whether a request may be sent to the target now. */
    readonly hasCapacity: (target: string, perSecond: number, now: number) => boolean;
    /** Unused part of the requests that may be sent at once, 0 to 1. */
    readonly getUnusedRatio: (target: string, perSecond: number, now: number) => number;
    /** Records a request, also one that had to be sent without capacity. */
    readonly take: (target: string, perSecond: number, now: number) => void;
    /** Time at which the next request may be sent. */
    readonly getAvailableAt: (target: string, perSecond: number, now: number) => number;
}

interface Bucket {
    tokens: number;
    updatedAt: number;
}

/** Time whose requests may be sent at once, so that a pause between requests is not lost. */
const burstMs = 1_000;

const msPerSecond = 1_000;

function computeBurst(perSecond: number): number {
    return Math.max(1, perSecond * burstMs / msPerSecond);
}

export function createRequestRateLimiter(): RequestRateLimiter {
    const buckets = new Map<string, Bucket>();

    const refill = (target: string, perSecond: number, now: number): Bucket => {
        // Starts empty: the coordinator before this one may just have used up the burst.
        const bucket = buckets.get(target) ?? { tokens: 0, updatedAt: now };
        setBounded(buckets, target, bucket, maxRememberedTargets);
        const elapsedMs = Math.max(0, now - bucket.updatedAt);
        bucket.tokens = Math.min(computeBurst(perSecond), bucket.tokens + elapsedMs * perSecond / msPerSecond);
        bucket.updatedAt = now;
        return bucket;
    };

    return {
        hasCapacity: (target, perSecond, now) => refill(target, perSecond, now).tokens >= 1,
        getUnusedRatio: (target, perSecond, now) =>
            Math.max(0, refill(target, perSecond, now).tokens) / computeBurst(perSecond),
        take: (target, perSecond, now) => {
            refill(target, perSecond, now).tokens -= 1;
        },
        getAvailableAt: (target, perSecond, now) => {
            const missing = 1 - refill(target, perSecond, now).tokens;
            return now + Math.max(0, missing) * msPerSecond / perSecond;
        },
    };
}
