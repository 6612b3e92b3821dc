/** State of one pool at an entry router. */
import type { NamedService, RequestSummary } from "@rhubarbwheel/types/events";
import type { VirtualTimeCopy } from "@rhubarbwheel/types/peer-messages";
import {
    announcementExpiryMs,
    averageWeight,
    ceilingLifeMs,
    defaultCostPerCall,
    initialRestCost,
} from "./constants.js";
import { createRetryBudget, type RetryBudget } from "./retryBudget.js";
import { createHeldTarget, type HeldTarget } from "./slotTable.js";

export interface WaitingRequest {
    readonly request: RequestSummary;
    readonly arrivedAt: number;
    /** Attempts made so far. */
    attempts: number;
    /** Whether a byte of an earlier attempt may have left: then the request can no longer end as `notRun`. */
    sent: boolean;
    /** Whether the caller has received a part of the answer: then the request can no longer start anew. */
    responseStarted: boolean;
    /** Cost charged for earlier attempts. */
    chargedBefore: number;
    /** Target of the last failed attempt. */
    avoidTarget?: string;
}

export interface RunningRequest {
    readonly target: string;
    readonly generation: number;
    readonly dispatchedAt: number;
    attempt: number;
    /** Cost charged for this attempt so far. */
    charged: number;
    accepted: boolean;
    resumed: boolean;
    cancelled: boolean;
    /** Set while the broken attempt waits for news of its target. */
    resumption?: { readonly startId: string | undefined; readonly generation: number; readonly until: number; };
}

export interface WorkspaceQueue {
    readonly workspace: string;
    share: number;
    readonly waiting: WaitingRequest[];
    inProgress: number;
    totalCost: number;
    /** Virtual time at which `totalCost` was `baseCost`. */
    baseTime: number;
    baseCost: number;
    /** Moving average of the cost beyond the input. */
    restAverage?: number;
    estimatedCost: number;
    /** Total cost in recent reports, oldest first; the first entry is covered by the last announcement. */
    readonly reported: { readonly sequence: number; readonly totalCost: number; }[];
    /** Set when cost or queue length differ from the last report. */
    changed: boolean;
    reportedQueued: number;
}

export interface EntryPool {
    readonly name: string;
    service: NamedService;
    readonly workspaces: Map<string, WorkspaceQueue>;
    /** Workspaces with waiting requests. */
    readonly backlogged: Set<WorkspaceQueue>;
    readonly targets: Map<string, HeldTarget>;
    readonly budget: RetryBudget;
    /** Target that served each prompt prefix last. */
    readonly prefixTargets: Map<number, string>;
    /** Slots of cancelled requests that are still counted as in use, oldest first. */
    readonly settling: { readonly held: HeldTarget; readonly generation: number; readonly until: number; }[];
    /** Ids of the requests whose broken streams wait to be resumed. */
    readonly resuming: Set<string>;
    readonly latencies: Map<string, { average: number; slowInRow: number; }>;
    /** Coordinator that reports go to, with its incarnation. */
    coordinator: string;
    reportSequence: number;
    ackedSequence: number;
    lastReportAt: number;
    lastAnnouncementAt: number;
    /** The present silence of the coordinator has been reported. */
    silenceReported: boolean;
    /** Times at which the latest reports were sent, oldest first. */
    readonly sentReports: { readonly sequence: number; readonly at: number; }[];
    /** Time of the latest report that an announcement has covered. */
    confirmedAt: number;
    copy?: VirtualTimeCopy;
    sendCopy: boolean;
    poolVirtualTime: number;
    ceiling: number;
    contended: boolean;
    /** Something has changed that the next report must tell. */
    changed: boolean;
    /** The next report must not wait for a tick. */
    urgent: boolean;
}

export function createEntryPool(service: NamedService): EntryPool {
    return {
        name: service.name,
        service,
        workspaces: new Map(),
        backlogged: new Set(),
        targets: new Map(),
        budget: createRetryBudget(),
        prefixTargets: new Map(),
        settling: [],
        resuming: new Set(),
        latencies: new Map(),
        coordinator: "",
        reportSequence: 0,
        ackedSequence: 0,
        lastReportAt: -Infinity,
        lastAnnouncementAt: -Infinity,
        silenceReported: false,
        sentReports: [],
        confirmedAt: -Infinity,
        sendCopy: true,
        poolVirtualTime: 0,
        ceiling: 0,
        contended: false,
        changed: true,
        urgent: false,
    };
}

export function getHeldTarget(pool: EntryPool, target: string): HeldTarget {
    let held = pool.targets.get(target);
    if (held === undefined) {
        held = createHeldTarget(target);
        pool.targets.set(target, held);
    }
    return held;
}

export function getWorkspaceQueue(pool: EntryPool, workspace: string, share: number): WorkspaceQueue {
    let queue = pool.workspaces.get(workspace);
    if (queue === undefined) {
        queue = {
            workspace,
            share,
            waiting: [],
            inProgress: 0,
            totalCost: 0,
            baseTime: pool.poolVirtualTime,
            baseCost: 0,
            estimatedCost: 0,
            reported: [],
            changed: false,
            reportedQueued: 0,
        };
        pool.workspaces.set(workspace, queue);
    }
    return queue;
}

export function computeVirtualTime(queue: WorkspaceQueue): number {
    return queue.baseTime + (queue.totalCost - queue.baseCost) / queue.share;
}

/** Moves the virtual time to `time` without changing what has been charged. */
export function setVirtualTime(queue: WorkspaceQueue, time: number): void {
    queue.baseTime = time;
    queue.baseCost = queue.totalCost;
}

export function chargeCost(pool: EntryPool, queue: WorkspaceQueue, cost: number): void {
    if (cost === 0) return;
    queue.totalCost += cost;
    queue.changed = true;
    pool.changed = true;
}

/** Estimates the cost of a request: input and moving average of the rest, bounded by the caller's hint. */
export function estimateCost(pool: EntryPool, queue: WorkspaceQueue, request: RequestSummary): number {
    if (pool.service.spec.kind === "plain") return pool.service.spec.costPerCall ?? defaultCostPerCall;
    const rest = queue.restAverage ?? initialRestCost;
    return request.inputCost + Math.min(rest, request.outputCostHint ?? rest);
}

/** Includes the cost of a complete request in the moving averages. */
export function recordCost(queue: WorkspaceQueue, request: RequestSummary, cost: number): void {
    const rest = Math.max(0, cost - request.inputCost);
    queue.restAverage = queue.restAverage === undefined
        ? rest
        : queue.restAverage + averageWeight * (rest - queue.restAverage);
}

/** Adds a request at the head or the tail of its queue. A workspace that starts to wait has no credit from idle time. */
export function addWaiting(pool: EntryPool, queue: WorkspaceQueue, item: WaitingRequest, atHead: boolean): void {
    if (queue.waiting.length === 0)
        setVirtualTime(queue, Math.max(computeVirtualTime(queue), pool.poolVirtualTime));
    if (atHead) queue.waiting.unshift(item);
    else queue.waiting.push(item);
    pool.backlogged.add(queue);
    queue.changed = true;
    pool.changed = true;
}

/** Removes a request from its queue. */
export function removeWaiting(pool: EntryPool, queue: WorkspaceQueue, item: WaitingRequest): void {
    const index = queue.waiting.indexOf(item);
    if (index >= 0) queue.waiting.splice(index, 1);
    if (queue.waiting.length === 0) pool.backlogged.delete(queue);
    queue.changed = true;
    pool.changed = true;
}

/**
 * Whether the coordinator's answers are recent enough to use its slots. They count from the time of the report that they
 * cover, because announcements that were sent before a pause of this process arrive after it.
 */
export function isConfirmed(pool: EntryPool, now: number): boolean {
    return now - pool.confirmedAt <= announcementExpiryMs;
}

/** Whether the coordinator is heard often enough for its ceiling and its calls for slots to count. */
export function isCoordinatorHeard(pool: EntryPool, now: number): boolean {
    return now - pool.lastAnnouncementAt <= ceilingLifeMs;
}
