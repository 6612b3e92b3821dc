/** Reports the events that streams have sent to their callers, for all streams at once and at most once per interval. */
import type { AttemptProgress } from "@rhubarbwheel/types/placement-events";

export interface ProgressReporterOptions {
    /** Monotonic time in milliseconds. */
    readonly getNow: () => number;
    /** Called with the attempts that have sent events since the last call. */
    readonly onProgress: (attempts: readonly AttemptProgress[]) => void;
}

export interface ProgressReporter {
    readonly record: (progress: AttemptProgress) => void;
    /** Drops what has not been reported of an attempt that has ended. */
    readonly remove: (requestId: string) => void;
}

/** Minimum time between two reports; coordinators learn of them every 500 ms. */
const progressIntervalMs = 450;

export function createProgressReporter(opts: ProgressReporterOptions): ProgressReporter {
    const unreported = new Map<string, AttemptProgress>();
    let reportedAt = -Infinity;
    return {
        record: progress => {
            unreported.set(progress.requestId, progress);
            const now = opts.getNow();
            if (now - reportedAt < progressIntervalMs) return;
            reportedAt = now;
            const attempts = [...unreported.values()];
            unreported.clear();
            opts.onProgress(attempts);
        },
        remove: requestId => void unreported.delete(requestId),
    };
}
