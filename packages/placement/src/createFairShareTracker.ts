/**
 * Compares what workspaces asked for and received over the last seconds with their max-min shares: no workspace gets more
 * than an even share while another one that asks for more has less.
 */

export interface FairShareTracker {
    readonly recordDemand: (workspace: string, cost: number, now: number) => void;
    readonly recordAdmitted: (workspace: string, cost: number, now: number) => void;
    /**
     * Part of its share that the workspace has received: above 1 if it has more while others ask for more than there is.
     * While there is enough for all, the largest demand counts as the share.
     */
    readonly getUsedRatio: (workspace: string, now: number) => number;
}

export interface FairShareTrackerOptions {
    readonly windowMs: number;
    /** Cost that the pool can carry in a window, as far as it is known. */
    readonly getCapacity: () => number;
}

/** Parts of the window that are dropped one at a time. */
const bucketCount = 8;

/** The level is computed again after this time; it changes slowly against the window. */
const levelLifeMs = 50;

interface Usage {
    readonly asked: Float64Array;
    readonly admitted: Float64Array;
}

function sum(buckets: Float64Array): number {
    let total = 0;
    for (const value of buckets) total += value;
    return total;
}

/**
 * Largest amount that each may have so that all together have at most `capacity`; the largest amount asked for if there is
 * enough for all.
 */
export function computeShareLevel(asked: readonly number[], capacity: number): number {
    const ascending = [...asked].sort((left, right) => left - right);
    let left = capacity;
    for (const [index, amount] of ascending.entries()) {
        const even = left / (ascending.length - index);
        if (amount > even) return even;
        left -= amount;
    }
    return ascending.at(-1) ?? Infinity;
}

export function createFairShareTracker(opts: FairShareTrackerOptions): FairShareTracker {
    const bucketMs = opts.windowMs / bucketCount;
    const usages = new Map<string, Usage>();
    let newestBucket = -Infinity;
    let level = Infinity;
    let levelAt = -Infinity;

    const advance = (now: number): number => {
        const bucket = Math.floor(now / bucketMs);
        const firstStale = Math.max(newestBucket + 1, bucket - bucketCount + 1);
        for (let stale = firstStale; stale <= bucket; stale++) {
            for (const [workspace, usage] of usages) {
                usage.asked[stale % bucketCount] = 0;
                usage.admitted[stale % bucketCount] = 0;
                if (sum(usage.asked) === 0 && sum(usage.admitted) === 0) usages.delete(workspace);
            }
        }
        newestBucket = Math.max(newestBucket, bucket);
        return newestBucket % bucketCount;
    };

    const obtain = (workspace: string): Usage => {
        const known = usages.get(workspace);
        if (known !== undefined) return known;
        const created = { asked: new Float64Array(bucketCount), admitted: new Float64Array(bucketCount) };
        usages.set(workspace, created);
        return created;
    };

    const record = (kind: keyof Usage, workspace: string, cost: number, now: number): void => {
        const index = advance(now);
        const buckets = obtain(workspace)[kind];
        buckets[index] = (buckets[index] ?? 0) + cost;
    };

    const getLevel = (now: number): number => {
        if (now - levelAt < levelLifeMs) return level;
        let admitted = 0;
        const asked: number[] = [];
        for (const usage of usages.values()) {
            admitted += sum(usage.admitted);
            asked.push(sum(usage.asked));
        }
        level = computeShareLevel(asked, Math.max(admitted, opts.getCapacity()));
        levelAt = now;
        return level;
    };

    return {
        recordDemand: (workspace, cost, now) => record("asked", workspace, cost, now),
        recordAdmitted: (workspace, cost, now) => record("admitted", workspace, cost, now),
        getUsedRatio: (workspace, now) => {
            advance(now);
            const usage = usages.get(workspace);
            return usage === undefined ? 0 : sum(usage.admitted) / getLevel(now);
        },
    };
}
