/** Simulated target process: start id, warm-up after each start, overload while cold, and request statistics. */
import { randomUUID } from "node:crypto";

export interface TargetProcessOptions {
    readonly getNow: () => number;
    /** Maximum number of concurrent requests that a cold target handles without crashing. */
    readonly coldLimit: number;
    /** Number of completed requests after which the target is warm. */
    readonly warmAfterCompleted: number;
    /** Time after a start at which the target is warm, regardless of completed requests. */
    readonly warmAfterMs: number;
    /** Whether the target is cold after its first start; after a restart it always is. */
    readonly startsCold: boolean;
}

export interface TargetProcess {
    readonly getStartId: () => string;
    readonly isCold: () => boolean;
    /** Replaces the process with a cold one that has a new start id. */
    readonly restart: () => void;
    /** Records the start of a request; returns false if the request makes the target crash. */
    readonly startRequest: () => boolean;
    /** Records the end of a request; a request of an earlier process, with another start id, is ignored. */
    readonly endRequest: (requestStartId: string, completed: boolean) => void;
    readonly getConcurrency: () => number;
    readonly readStats: () => {
        readonly startId: string;
        readonly cold: boolean;
        readonly concurrency: number;
        readonly maxConcurrency: number;
        readonly maxColdConcurrency: number;
        readonly fellOver: number;
        readonly starts: number;
        readonly completed: number;
        /** Time since the last request started, or `undefined` before the first. */
        readonly lastEnteredAgeMs: number | undefined;
    };
}

export function createTargetProcess(opts: TargetProcessOptions): TargetProcess {
    let startId = randomUUID();
    let startedAt = opts.getNow();
    let completedSinceStart = 0;
    let concurrency = 0;
    let warmingUp = opts.startsCold;
    let lastRequestAt: number | undefined;
    const totals = { maxConcurrency: 0, maxColdConcurrency: 0, fellOver: 0, starts: 1, completed: 0 };

    const isCold = (): boolean => {
        const hasWarmedUp = completedSinceStart >= opts.warmAfterCompleted
            || opts.getNow() - startedAt >= opts.warmAfterMs;
        if (hasWarmedUp) warmingUp = false;
        return warmingUp;
    };

    const restart = (): void => {
        startId = randomUUID();
        startedAt = opts.getNow();
        completedSinceStart = 0;
        concurrency = 0;
        warmingUp = true;
        totals.starts += 1;
    };

    return {
        getStartId: () => startId,
        isCold,
        restart,
        startRequest: () => {
            const cold = isCold();
            concurrency += 1;
            lastRequestAt = opts.getNow();
            totals.maxConcurrency = Math.max(totals.maxConcurrency, concurrency);
            if (!cold) return true;
            totals.maxColdConcurrency = Math.max(totals.maxColdConcurrency, concurrency);
            if (concurrency <= opts.coldLimit) return true;
            totals.fellOver += 1;
            return false;
        },
        endRequest: (requestStartId, completed) => {
            if (requestStartId !== startId) return;
            concurrency -= 1;
            if (!completed) return;
            completedSinceStart += 1;
            totals.completed += 1;
        },
        getConcurrency: () => concurrency,
        readStats: () => ({
            startId,
            cold: isCold(),
            concurrency,
            ...totals,
            lastEnteredAgeMs: lastRequestAt === undefined ? undefined : opts.getNow() - lastRequestAt,
        }),
    };
}
