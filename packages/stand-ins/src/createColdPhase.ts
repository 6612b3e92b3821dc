/** Life of a target process: start id, cold phase after each start, overload while cold, and load samples with a lag. */
import { randomUUID } from "node:crypto";

export interface ColdPhaseOptions {
    readonly clock: () => number;
    /** Most concurrent requests that a cold target survives. */
    readonly coldLimit: number;
    /** Completed requests after which the target is warm. */
    readonly warmAfterCompleted: number;
    /** Time after which the target is warm in any case. */
    readonly warmAfterMs: number;
    /** Whether the first start is cold as well; restarts always are. */
    readonly startsCold: boolean;
}

export interface ColdPhase {
    readonly getStartId: () => string;
    readonly isCold: () => boolean;
    /** Begins a new process life: new start id, cold. */
    readonly restart: () => void;
    /** Counts a request; false when the target falls over because of it. */
    readonly enter: () => boolean;
    /** Ends a request of the given process life; those of earlier lives are ignored. */
    readonly leave: (startId: string, completed: boolean) => void;
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
        /** Time since the last request began, or `undefined` before the first. */
        readonly lastEnteredAgeMs: number | undefined;
    };
}

export function createColdPhase(opts: ColdPhaseOptions): ColdPhase {
    let startId = randomUUID();
    let startedAt = opts.clock();
    let completedSinceStart = 0;
    let concurrency = 0;
    let canBeCold = opts.startsCold;
    let lastEnteredAt: number | undefined;
    const totals = { maxConcurrency: 0, maxColdConcurrency: 0, fellOver: 0, starts: 1, completed: 0 };

    const isCold = (): boolean => {
        const isWarm = completedSinceStart >= opts.warmAfterCompleted || opts.clock() - startedAt >= opts.warmAfterMs;
        if (isWarm) canBeCold = false;
        return canBeCold;
    };

    const restart = (): void => {
        startId = randomUUID();
        startedAt = opts.clock();
        completedSinceStart = 0;
        concurrency = 0;
        canBeCold = true;
        totals.starts += 1;
    };

    return {
        getStartId: () => startId,
        isCold,
        restart,
        enter: () => {
            const cold = isCold();
            concurrency += 1;
            lastEnteredAt = opts.clock();
            totals.maxConcurrency = Math.max(totals.maxConcurrency, concurrency);
            if (!cold) return true;
            totals.maxColdConcurrency = Math.max(totals.maxColdConcurrency, concurrency);
            if (concurrency <= opts.coldLimit) return true;
            totals.fellOver += 1;
            return false;
        },
        leave: (enteredStartId, completed) => {
            if (enteredStartId !== startId) return;
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
            lastEnteredAgeMs: lastEnteredAt === undefined ? undefined : opts.clock() - lastEnteredAt,
        }),
    };
}
