/** State of one pool at an entry router. */
import type { NamedService, RequestSummary } from "@rhubarbwheel/types/events";
import type { VirtualTimeCopy } from "@rhubarbwheel/types/peer-messages";
import {
    announcementExpiryMs,
    ceilingExpiryMs,
    defaultCostPerCall,
    initialOutputCost,
    movingAverageWeight,
} from "./constants.js";
import { createRetryBudget, type RetryBudget } from "./retryBudget.js";
import { createHeldTarget, type HeldTarget } from "./slotTable.js";

export interface QueueItem {
    readonly request: RequestSummary;
    readonly arrivedAt: number;
    /** Number of attempts so far. */
    attempts: number;
    /** Whether any byte of an attempt may have been sent; the request can then no longer end as `notRun`. */
    sent: boolean;
    /** Whether the caller has received a part of the response; the request can then no longer be retried. */
    responseStarted: boolean;
    /** Cost charged for earlier attempts. */
    chargedBefore: number;
    /** Target of the last failed attempt. */
    avoidTarget?: string;
}

export interface InFlightAttempt {
    readonly target: string;
    readonly generation: number;
    readonly dispatchedAt: number;
    number: number;
    /** Cost charged for this attempt so far. */
    charged: number;
    accepted: boolean;
    resumed: boolean;
    cancelled: boolean;
    /** Set while the broken stream waits for the state of its target. */
    resumption?: { readonly startId: string | undefined; readonly generation: number; readonly deadlineAt: number; };
}

export interface WorkspaceQueue {
    readonly workspace: string;
    share: number;
    readonly waiting: QueueItem[];
    inProgress: number;
    totalCost: number;
    /** Virtual time at which `totalCost` was `baseCost`. */
    baseVirtualTime: number;
    baseCost: number;
    /** Moving average of the cost in excess of the input cost. */
    averageOutputCost?: number;
    estimatedCost: number;
    /** Total cost in recent reports, oldest first; the first entry is included in the last announcement. */
    readonly reported: { readonly sequence: number; readonly totalCost: number; }[];
    /** Set when cost or queue length differ from the last report. */
    changed: boolean;
    reportedQueued: number;
}

export interface EntryPool {
    readonly name: string;
    service: NamedService;
    readonly workspaces: Map<string, WorkspaceQueue>;
    /** Queues with waiting requests. */
    readonly backloggedQueues: Set<WorkspaceQueue>;
    readonly targets: Map<string, HeldTarget>;
    readonly retryBudget: RetryBudget;
    /** Target that each prompt prefix was last sent to. */
    readonly prefixTargets: Map<number, string>;
    /** Slots of cancelled requests, which stay in use until `releaseAt`, oldest first. */
    readonly delayedReleases: { readonly held: HeldTarget; readonly generation: number; readonly releaseAt: number; }[];
    /** Ids of requests whose broken streams wait for resumption. */
    readonly resuming: Set<string>;
    readonly latencies: Map<string, { average: number; consecutiveSlow: number; }>;
    /** Name and incarnation of the coordinator that receives the reports. */
    coordinator: string;
    reportSequence: number;
    ackedSequence: number;
    lastReportAt: number;
    lastAnnouncementAt: number;
    /** Whether the coordinator was reported as unreachable since its last announcement. */
    timeoutReported: boolean;
    /** Send times of unacknowledged reports, oldest first. */
    readonly sentReports: { readonly sequence: number; readonly at: number; }[];
    /** Send time of the latest report that an announcement has acknowledged. */
    confirmedAt: number;
    /** Announced virtual times and target states, from which a new coordinator restores its state. */
    copy?: VirtualTimeCopy;
    /** Whether the next report must include `copy`. */
    sendCopy: boolean;
    poolVirtualTime: number;
    /** Virtual time above which the requests of a workspace are not dispatched while the ceiling is valid. */
    ceiling: number;
    contended: boolean;
    /** Whether state that is part of a report has changed since the last one. */
    changed: boolean;
    /** Whether a report is sent at the end of the current step. */
    reportDue: boolean;
}

export function createEntryPool(service: NamedService): EntryPool {
    return {
        name: service.name,
        service,
        workspaces: new Map(),
        backloggedQueues: new Set(),
        targets: new Map(),
        retryBudget: createRetryBudget(),
        prefixTargets: new Map(),
        delayedReleases: [],
        resuming: new Set(),
        latencies: new Map(),
        coordinator: "",
        reportSequence: 0,
        ackedSequence: 0,
        lastReportAt: -Infinity,
        lastAnnouncementAt: -Infinity,
        timeoutReported: false,
        sentReports: [],
        confirmedAt: -Infinity,
        sendCopy: true,
        poolVirtualTime: 0,
        ceiling: 0,
        contended: false,
        changed: true,
        reportDue: false,
    };
}

export function getOrCreateHeldTarget(pool: EntryPool, target: string): HeldTarget {
    let held = pool.targets.get(target);
    if (held === undefined) {
        held = createHeldTarget(target);
        pool.targets.set(target, held);
    }
    return held;
}

export function getOrCreateWorkspaceQueue(pool: EntryPool, workspace: string, share: number): WorkspaceQueue {
    let queue = pool.workspaces.get(workspace);
    if (queue === undefined) {
        queue = {
            workspace,
            share,
            waiting: [],
            inProgress: 0,
            totalCost: 0,
            baseVirtualTime: pool.poolVirtualTime,
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
    return queue.baseVirtualTime + (queue.totalCost - queue.baseCost) / queue.share;
}

/** Sets the virtual time to `time` without changing the total cost. */
export function setVirtualTime(queue: WorkspaceQueue, time: number): void {
    queue.baseVirtualTime = time;
    queue.baseCost = queue.totalCost;
}

export function chargeCost(pool: EntryPool, queue: WorkspaceQueue, cost: number): void {
    if (cost === 0) return;
    queue.totalCost += cost;
    queue.changed = true;
    pool.changed = true;
}

/** Estimates the cost of a request: input cost plus average output cost, capped by the caller's hint. */
export function estimateCost(pool: EntryPool, queue: WorkspaceQueue, request: RequestSummary): number {
    if (pool.service.spec.kind === "plain") return pool.service.spec.costPerCall ?? defaultCostPerCall;
    const outputCost = queue.averageOutputCost ?? initialOutputCost;
    return request.inputCost + Math.min(outputCost, request.outputCostHint ?? outputCost);
}

/** Adds the cost of a complete request to the moving average of the output cost. */
export function recordCost(queue: WorkspaceQueue, request: RequestSummary, cost: number): void {
    const outputCost = Math.max(0, cost - request.inputCost);
    queue.averageOutputCost = queue.averageOutputCost === undefined
        ? outputCost
        : queue.averageOutputCost + movingAverageWeight * (outputCost - queue.averageOutputCost);
}

/** Adds a request to the head or tail of its queue. A workspace gains no credit while its queue is empty. */
export function addToQueue(pool: EntryPool, queue: WorkspaceQueue, item: QueueItem, atHead: boolean): void {
    if (queue.waiting.length === 0)
        setVirtualTime(queue, Math.max(computeVirtualTime(queue), pool.poolVirtualTime));
    if (atHead) queue.waiting.unshift(item);
    else queue.waiting.push(item);
    pool.backloggedQueues.add(queue);
    queue.changed = true;
    pool.changed = true;
}

export function removeFromQueue(pool: EntryPool, queue: WorkspaceQueue, item: QueueItem): void {
    const index = queue.waiting.indexOf(item);
    if (index >= 0) queue.waiting.splice(index, 1);
    if (queue.waiting.length === 0) pool.backloggedQueues.delete(queue);
    queue.changed = true;
    pool.changed = true;
}

/**
 * Whether the coordinator has confirmed this router's slots recently enough to use them. The age counts from the time
 * of the acknowledged report, because announcements that were sent before a pause of this process arrive after it.
 */
export function isConfirmed(pool: EntryPool, now: number): boolean {
    return now - pool.confirmedAt <= announcementExpiryMs;
}

/** Whether the last announcement is recent enough for its ceiling to apply. */
export function isCeilingValid(pool: EntryPool, now: number): boolean {
    return now - pool.lastAnnouncementAt <= ceilingExpiryMs;
}
