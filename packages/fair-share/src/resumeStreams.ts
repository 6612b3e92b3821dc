/**
 * Resumption of broken streams. A connection may have broken because its target restarted, and a cold target would be
 * overloaded by all routers resuming at once. So a stream waits, on its slot, until the coordinator has seen the target
 * run under the same start id after the failure.
 */
import type { TargetState } from "@rhubarbwheel/types/peer-messages";
import { resumeWaitMs } from "./constants.js";
import { sendAttempt } from "./dispatchRequests.js";
import { type EntryContext, isActive, logEntryEvent, type TrackedRequest } from "./entryContext.js";
import type { EntryPool, RunningRequest } from "./entryPool.js";

function findTargetState(pool: EntryPool, target: string): TargetState | undefined {
    return pool.copy?.targets.find(state => state.target === target);
}

/** Whether the broken attempt may continue later: only model streams, and only once per request. */
export function mayResume(
    context: EntryContext,
    tracked: TrackedRequest,
    running: RunningRequest,
    startId: string | undefined,
): boolean {
    return tracked.pool.service.spec.kind === "model" && !running.resumed && startId !== undefined
        && isActive(context) && context.configuration.isTargetOpen(tracked.pool.name, running.target);
}

export function holdForResume(
    context: EntryContext,
    tracked: TrackedRequest,
    running: RunningRequest,
    startId: string | undefined,
): void {
    const state = findTargetState(tracked.pool, running.target);
    const generation = state?.generation ?? running.generation;
    running.resumption = { startId, generation, until: context.now + resumeWaitMs };
    tracked.pool.resuming.add(tracked.waiting.request.id);
}

type Decision = "wait" | "resume" | "end";

function decideResumption(context: EntryContext, pool: EntryPool, running: RunningRequest): Decision {
    const { resumption } = running;
    const state = findTargetState(pool, running.target);
    if (resumption === undefined || running.cancelled || !isActive(context)) return "end";
    if (!context.configuration.isTargetOpen(pool.name, running.target)) return "end";
    if (state === undefined || state.startId === undefined) return context.now < resumption.until ? "wait" : "end";
    if (state.startId !== resumption.startId) return "end";
    if (state.generation > resumption.generation && state.suspect !== true) return "resume";
    return context.now < resumption.until ? "wait" : "end";
}

function resumeAttempt(context: EntryContext, tracked: TrackedRequest, running: RunningRequest): void {
    const spec = tracked.pool.service.spec.targets.find(target => target.name === running.target);
    if (spec === undefined) return;
    tracked.waiting.attempts += 1;
    tracked.waiting.chargedBefore += running.charged;
    const attempt = tracked.waiting.attempts;
    tracked.running = { ...running, attempt, charged: 0, accepted: false, resumed: true, resumption: undefined };
    sendAttempt(context, tracked, spec);
    logEntryEvent(context, "resumed", {
        requestId: tracked.waiting.request.id,
        workspace: tracked.queue.workspace,
        service: tracked.pool.name,
        target: running.target,
        attempt,
    });
}

/** Resumes the streams whose target is known to run still; returns those that cannot continue. */
export function continueStreams(context: EntryContext, pool: EntryPool): readonly TrackedRequest[] {
    const ended: TrackedRequest[] = [];
    for (const requestId of pool.resuming) {
        const tracked = context.requests.get(requestId);
        const running = tracked?.running;
        if (tracked === undefined || running === undefined) continue;
        const decision = decideResumption(context, pool, running);
        if (decision === "wait") continue;
        pool.resuming.delete(requestId);
        if (decision === "resume") resumeAttempt(context, tracked, running);
        else ended.push(tracked);
    }
    return ended;
}
