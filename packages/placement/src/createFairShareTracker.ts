/**
 * Tracks the demand and the admitted cost of workspaces over a sliding window and compares them with max-min fair
 * shares: no workspace gets more than an equal share while another one with unmet demand has less.
 */

export interface FairShareTracker {
    readonly recordDemand: (workspace: string, cost: number, now: number) => void;
    readonly recordAdmitted: (workspace: string, cost: number, now: number) => void;
    /** Takes back the demand and the admitted cost of a request that was admitted at `admittedAt` and not sent. */
    readonly withdraw: (workspace: string, cost: number, admittedAt: number, now: number) => void;
    /**
     * Admitted cost of the workspace as a fraction of its share: above 1 if it exceeds its share while the demand of
     * others is not met. While all demand is admitted, the share is the largest demand.
     */
    readonly getUsedRatio: (workspace: string, now: number) => number;
    /** Figures behind the ratios, for logs. */
    readonly getTotals: (now: number) => FairShareTotals;
}

/** Costs within the window. */
export interface FairShareTotals {
    /** Max-min fair share of a workspace. */
    readonly level: number;
    readonly admitted: number;
    readonly demand: number;
    /** Number of workspaces with demand. */
    readonly workspaces: number;
}

export interface FairShareTrackerOptions {
    readonly windowMs: number;
}

/** Number of buckets in the window, which expire one at a time. */
const bucketCount = 8;

/** Time for which the totals are cached; they change slowly compared with the window. */
const totalsTtlMs = 50;

interface Usage {
    readonly demand: Float64Array;
    readonly admitted: Float64Array;
}

function computeBucketSum(buckets: Float64Array): number {
    let total = 0;
    for (const value of buckets) total += value;
    return total;
}

/**
 * Max-min fair level: the largest amount that each may have so that the sum does not exceed `capacity`, or the largest
 * demand if the capacity covers all demands.
 */
export function computeMaxMinLevel(demands: readonly number[], capacity: number): number {
    const ascending = [...demands].sort((left, right) => left - right);
    let remaining = capacity;
    for (const [index, amount] of ascending.entries()) {
        const evenShare = remaining / (ascending.length - index);
        if (amount > evenShare) return evenShare;
        remaining -= amount;
    }
    return ascending.at(-1) ?? Infinity;
}

export function createFairShareTracker(opts: FairShareTrackerOptions): FairShareTracker {
    const bucketMs = opts.windowMs / bucketCount;
    const usages = new Map<string, Usage>();
    let newestBucket = -Infinity;
    let totals: FairShareTotals = { level: Infinity, admitted: 0, demand: 0, workspaces: 0 };
    let updatedAt = -Infinity;

    /** Clears expired buckets and returns the index of the current one. */
    const advance = (now: number): number => {
        const bucket = Math.floor(now / bucketMs);
        const firstExpired = Math.max(newestBucket + 1, bucket - bucketCount + 1);
        for (let expired = firstExpired; expired <= bucket; expired++) {
            for (const [workspace, usage] of usages) {
                usage.demand[expired % bucketCount] = 0;
                usage.admitted[expired % bucketCount] = 0;
                if (computeBucketSum(usage.demand) === 0 && computeBucketSum(usage.admitted) === 0)
                    usages.delete(workspace);
            }
        }
        newestBucket = Math.max(newestBucket, bucket);
        return newestBucket % bucketCount;
    };

    const getOrCreateUsage = (workspace: string): Usage => {
        const existing = usages.get(workspace);
        if (existing !== undefined) return existing;
        const created = { demand: new Float64Array(bucketCount), admitted: new Float64Array(bucketCount) };
        usages.set(workspace, created);
        return created;
    };

    const record = (kind: keyof Usage, workspace: string, cost: number, now: number): void => {
        const index = advance(now);
        const buckets = getOrCreateUsage(workspace)[kind];
        buckets[index] = (buckets[index] ?? 0) + cost;
    };

    const withdraw = (workspace: string, cost: number, admittedAt: number, now: number): void => {
        advance(now);
        const bucket = Math.floor(admittedAt / bucketMs);
        const usage = usages.get(workspace);
        if (usage === undefined || bucket <= newestBucket - bucketCount) return;
        const index = bucket % bucketCount;
        usage.demand[index] = Math.max(0, (usage.demand[index] ?? 0) - cost);
        usage.admitted[index] = Math.max(0, (usage.admitted[index] ?? 0) - cost);
    };

    const updateTotals = (now: number): FairShareTotals => {
        if (now - updatedAt < totalsTtlMs) return totals;
        let admitted = 0;
        let demand = 0;
        const demands: number[] = [];
        for (const usage of usages.values()) {
            admitted += computeBucketSum(usage.admitted);
            demands.push(computeBucketSum(usage.demand));
            demand += demands.at(-1) ?? 0;
        }
        // What a pool can run depends on its prompts, caches and failures, so the admitted cost is its capacity: if
        // some demand was not admitted, the pool had no more.
        const level = computeMaxMinLevel(demands, admitted);
        totals = { level, admitted, demand, workspaces: usages.size };
        updatedAt = now;
        return totals;
    };

    return {
        recordDemand: (workspace, cost, now) => record("demand", workspace, cost, now),
        recordAdmitted: (workspace, cost, now) => record("admitted", workspace, cost, now),
        withdraw,
        getUsedRatio: (workspace, now) => {
            advance(now);
            const usage = usages.get(workspace);
            const admitted = usage === undefined ? 0 : computeBucketSum(usage.admitted);
            return admitted === 0 ? 0 : admitted / updateTotals(now).level;
        },
        getTotals: now => {
            advance(now);
            return updateTotals(now);
        },
    };
}
