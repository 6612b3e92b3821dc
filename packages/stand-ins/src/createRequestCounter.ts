/** Counts the requests to the platform stand-in by type and enforces its rate limits in one-second windows. */

export type RequestType = "read" | "list" | "write" | "watch" | "hosts";

export interface RateLimits {
    readonly writesPerSecond: number;
    /** Limit of reads, lists, watches and host list requests together. */
    readonly readsPerSecond: number;
}

export interface RequestCounts extends Record<RequestType, number> {
    /** Requests rejected with 429; they are also counted under their type. */
    readonly limited: number;
    readonly total: number;
}

export interface RequestCounter {
    /** Counts a request; returns false if it exceeds the rate limit. */
    readonly count: (type: RequestType) => boolean;
    /** Counts a watch request once more for each further second that it waited. */
    readonly countWatchSeconds: (seconds: number) => void;
    readonly read: () => RequestCounts;
}

export function createRequestCounter(
    opts: { readonly getNow: () => number; readonly limits: RateLimits; },
): RequestCounter {
    const counts: Record<RequestType, number> = { read: 0, list: 0, write: 0, watch: 0, hosts: 0 };
    let limited = 0;
    let windowSecond = -1;
    let windowCounts = { writes: 0, reads: 0 };

    return {
        count: type => {
            const second = Math.floor(opts.getNow() / 1_000);
            if (second !== windowSecond) {
                windowSecond = second;
                windowCounts = { writes: 0, reads: 0 };
            }
            counts[type] += 1;
            const group = type === "write" ? "writes" : "reads";
            const limit = type === "write" ? opts.limits.writesPerSecond : opts.limits.readsPerSecond;
            if (windowCounts[group] >= limit) {
                limited += 1;
                return false;
            }
            windowCounts[group] += 1;
            return true;
        },
        countWatchSeconds: seconds => (counts.watch += seconds),
        read: () => ({ ...counts, limited, total: Object.values(counts).reduce((sum, count) => sum + count, 0) }),
    };
}
