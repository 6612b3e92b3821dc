/**
 * Queue of a coordinator's placement requests, newest first. After a restart of all routers a coordinator receives more
 * placement requests than it can handle in time; in order of arrival, every reply would be sent after its timeout.
 */
import type { PlacementRequest, PlacementRequestMessage } from "@rhubarbwheel/types/placement";
import { lateReplyWaitRatio, placementTimeoutMs } from "./placementSettings.js";

export interface QueuedPlacementRequest {
    readonly from: string;
    /** `ip:port` to which the reply is sent. */
    readonly address: string;
    readonly message: PlacementRequestMessage;
}

export interface PlacementRequestQueueOptions {
    /** Monotonic time in milliseconds. */
    readonly getNow: () => number;
    readonly handle: (request: QueuedPlacementRequest) => void;
    /** Runs an action after the event loop has received pending messages. */
    readonly defer: (action: () => void) => void;
    /** Called once per batch of placement requests that expired or exceeded the maximum queue length. */
    readonly onDrop: (dropped: DroppedPlacementRequests) => void;
}

export interface DroppedPlacementRequests {
    readonly count: number;
    /** Queueing time of the oldest one. */
    readonly oldestMs: number;
}

export interface PlacementRequestQueue {
    readonly enqueue: (request: QueuedPlacementRequest) => void;
    readonly countQueued: () => number;
    readonly countDropped: () => number;
}

interface QueuedEntry {
    readonly request: QueuedPlacementRequest;
    readonly receivedAt: number;
}

/** Time for which placement requests are handled before the event loop receives pending messages. */
const turnBudgetMs = 4;

/** Maximum queue length: what the busiest pool of the expected load receives in several seconds. */
const maxQueueLength = 2_000;

/** Time for which the entry router waits for the reply. */
function computeReplyTimeoutMs({ latencyTargetMs, waitedMs }: PlacementRequest): number {
    return Math.max(placementTimeoutMs, latencyTargetMs * lateReplyWaitRatio - waitedMs);
}

export function createPlacementRequestQueue(opts: PlacementRequestQueueOptions): PlacementRequestQueue {
    /** Oldest first. */
    let queued: QueuedEntry[] = [];
    let isScheduled = false;
    let droppedCount = 0;

    /** Drops requests whose entry routers no longer wait, and the oldest ones beyond `maxQueueLength`. */
    const dropExpired = (now: number): void => {
        const isExpired = ({ request, receivedAt }: QueuedEntry, index: number): boolean =>
            index < queued.length - maxQueueLength
            || now - receivedAt >= computeReplyTimeoutMs(request.message.request);
        const remaining = queued.filter((entry, index) => !isExpired(entry, index));
        const count = queued.length - remaining.length;
        if (count === 0) return;
        const oldestMs = Math.round(now - (queued[0]?.receivedAt ?? now));
        queued = remaining;
        droppedCount += count;
        opts.onDrop({ count, oldestMs });
    };

    const handleNewest = (): void => {
        isScheduled = false;
        const startedAt = opts.getNow();
        dropExpired(startedAt);
        do {
            const newest = queued.pop();
            if (newest === undefined) return;
            opts.handle(newest.request);
        }
        while (opts.getNow() - startedAt < turnBudgetMs);
        schedule();
    };

    const schedule = (): void => {
        if (isScheduled || queued.length === 0) return;
        isScheduled = true;
        opts.defer(handleNewest);
    };

    return {
        enqueue: request => {
            queued.push({ request, receivedAt: opts.getNow() });
            schedule();
        },
        countQueued: () => queued.length,
        countDropped: () => droppedCount,
    };
}
