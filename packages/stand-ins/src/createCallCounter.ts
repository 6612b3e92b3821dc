/** Counts the calls of the platform stand-in by type and applies its rate limits, over windows of one second. */

export type CallType = "read" | "list" | "write" | "watch" | "hosts";

export interface CallLimits {
    readonly writesPerSecond: number;
    /** Reads, lists, watches and reads of the host list together. */
    readonly readsPerSecond: number;
}

export interface CallCounts extends Record<CallType, number> {
    /** Calls answered with 429; they are counted under their type too. */
    readonly limited: number;
    readonly total: number;
}

export interface CallCounter {
    /** Counts one call; false when it is over the limit. */
    readonly count: (type: CallType) => boolean;
    /** Counts the further seconds of a watch that waited. */
    readonly countWatchSeconds: (seconds: number) => void;
    readonly read: () => CallCounts;
}

export function createCallCounter(opts: { readonly clock: () => number; readonly limits: CallLimits; }): CallCounter {
    const counts: Record<CallType, number> = { read: 0, list: 0, write: 0, watch: 0, hosts: 0 };
    let limited = 0;
    let window = -1;
    let inWindow = { writes: 0, reads: 0 };

    return {
        count: type => {
            const second = Math.floor(opts.clock() / 1_000);
            if (second !== window) {
                window = second;
                inWindow = { writes: 0, reads: 0 };
            }
            counts[type] += 1;
            const group = type === "write" ? "writes" : "reads";
            const limit = type === "write" ? opts.limits.writesPerSecond : opts.limits.readsPerSecond;
            if (inWindow[group] >= limit) {
                limited += 1;
                return false;
            }
            inWindow[group] += 1;
            return true;
        },
        countWatchSeconds: seconds => (counts.watch += seconds),
        read: () => ({ ...counts, limited, total: Object.values(counts).reduce((sum, count) => sum + count, 0) }),
    };
}
