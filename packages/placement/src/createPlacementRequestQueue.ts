/**
 * Questions that wait for a coordinator. The newest is answered first: after a start of the whole fleet a coordinator gets
 * more questions than it can answer in time, and in order of arrival each would be answered when nobody waits for it.
 */
import type { PlacementRequest, PlacementRequestMessage } from "@rhubarbwheel/types/placement";
import { lateReplyWaitRatio, placementTimeoutMs } from "./placementSettings.js";

export interface QueuedPlacementRequest {
    readonly from: string;
    /** `ip:port` to which the answer goes. */
    readonly address: string;
    readonly message: PlacementRequestMessage;
}

export interface PlacementRequestQueueOptions {
    /** Monotonic time in milliseconds. */
    readonly getNow: () => number;
    readonly answer: (request: QueuedPlacementRequest) => void;
    /** Runs an action after the loop has read what has arrived. */
    readonly defer: (action: () => void) => void;
    /** Told of questions that were dropped in one turn because nobody waits for them any more. */
    readonly onDropped: (dropped: DroppedPlacementRequests) => void;
}

export interface DroppedPlacementRequests {
    readonly count: number;
    /** Time for which the oldest of them waited. */
    readonly oldestMs: number;
}

export interface PlacementRequestQueue {
    readonly receive: (request: QueuedPlacementRequest) => void;
    readonly countWaiting: () => number;
    readonly countDropped: () => number;
}

interface Received {
    readonly request: QueuedPlacementRequest;
    readonly receivedAt: number;
}

/** Time for which questions are answered before the loop reads what has arrived meanwhile. */
const turnMs = 4;

/** Questions that are kept: those of several seconds of the busiest pool of the users' sheets. */
const maxWaiting = 2_000;

/** Time for which the router that asks waits for the answer, from the time at which it asked. */
function computeWaitMs({ latencyTargetMs, waitedMs }: PlacementRequest): number {
    return Math.max(placementTimeoutMs, latencyTargetMs * lateReplyWaitRatio - waitedMs);
}

export function createPlacementRequestQueue(opts: PlacementRequestQueueOptions): PlacementRequestQueue {
    /** Oldest first. */
    let waiting: Received[] = [];
    let isScheduled = false;
    let dropped = 0;

    const dropLate = (now: number): void => {
        const isLate = ({ request, receivedAt }: Received, index: number): boolean =>
            index < waiting.length - maxWaiting || now - receivedAt >= computeWaitMs(request.message.request);
        const kept = waiting.filter((received, index) => !isLate(received, index));
        const count = waiting.length - kept.length;
        if (count === 0) return;
        const oldestMs = Math.round(now - (waiting[0]?.receivedAt ?? now));
        waiting = kept;
        dropped += count;
        opts.onDropped({ count, oldestMs });
    };

    const answerNewest = (): void => {
        isScheduled = false;
        const startedAt = opts.getNow();
        dropLate(startedAt);
        do {
            const newest = waiting.pop();
            if (newest === undefined) return;
            opts.answer(newest.request);
        }
        while (opts.getNow() - startedAt < turnMs);
        schedule();
    };

    const schedule = (): void => {
        if (isScheduled || waiting.length === 0) return;
        isScheduled = true;
        opts.defer(answerNewest);
    };

    return {
        receive: request => {
            waiting.push({ request, receivedAt: opts.getNow() });
            schedule();
        },
        countWaiting: () => waiting.length,
        countDropped: () => dropped,
    };
}
