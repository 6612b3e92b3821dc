/**
 * Resumption of broken streams. A connection may break because its target restarts, and resumption by all routers at
 * once would overload a cold target. A stream therefore keeps its slot and waits until the coordinator has confirmed,
 * after the failure, that the target is running with the same start id.
 */
import type { TargetState } from "@rhubarbwheel/types/peer-messages";
import { resumeTimeoutMs } from "./constants.js";
import { sendAttempt } from "./dispatchRequests.js";
import { type EntryContext, isActive, logEntryEvent, type TrackedRequest } from "./entryContext.js";
import type { EntryPool, InFlightAttempt } from "./entryPool.js";

function findTargetState(pool: EntryPool, target: string): TargetState | undefined {
    return pool.copy?.targets.find(state => state.target === target);
}

/** Whether the broken stream may be resumed: only streams of model services, and only once per request. */
export function mayResume(
    context: EntryContext,
    tracked: TrackedRequest,
    attempt: InFlightAttempt,
    startId: string | undefined,
): boolean {
    return tracked.pool.service.spec.kind === "model" && !attempt.resumed && startId !== undefined
        && isActive(context) && context.configuration.isTargetOpen(tracked.pool.name, attempt.target);
}

export function waitForResumption(
    context: EntryContext,
    tracked: TrackedRequest,
    attempt: InFlightAttempt,
    startId: string | undefined,
): void {
    const state = findTargetState(tracked.pool, attempt.target);
    const generation = state?.generation ?? attempt.generation;
    attempt.resumption = { startId, generation, deadlineAt: context.now + resumeTimeoutMs };
    tracked.pool.resuming.add(tracked.item.request.id);
}

type Decision = "wait" | "resume" | "end";

function decideResumption(context: EntryContext, pool: EntryPool, attempt: InFlightAttempt): Decision {
    const { resumption } = attempt;
    const state = findTargetState(pool, attempt.target);
    if (resumption === undefined || attempt.cancelled || !isActive(context)) return "end";
    if (!context.configuration.isTargetOpen(pool.name, attempt.target)) return "end";
    if (state === undefined || state.startId === undefined) return context.now < resumption.deadlineAt ? "wait" : "end";
    if (state.startId !== resumption.startId) return "end";
    if (state.generation > resumption.generation && state.suspect !== true) return "resume";
    return context.now < resumption.deadlineAt ? "wait" : "end";
}

function resumeAttempt(context: EntryContext, tracked: TrackedRequest, attempt: InFlightAttempt): void {
    const spec = tracked.pool.service.spec.targets.find(target => target.name === attempt.target);
    if (spec === undefined) return;
    tracked.item.attempts += 1;
    tracked.item.chargedBefore += attempt.charged;
    const number = tracked.item.attempts;
    tracked.attempt = { ...attempt, number, charged: 0, accepted: false, resumed: true, resumption: undefined };
    sendAttempt(context, tracked, spec);
    logEntryEvent(context, "resumed", {
        requestId: tracked.item.request.id,
        workspace: tracked.queue.workspace,
        service: tracked.pool.name,
        target: attempt.target,
        attempt: number,
    });
}

/** Resumes streams whose target is confirmed to be running; returns the requests whose streams cannot be resumed. */
export function resumeStreams(context: EntryContext, pool: EntryPool): readonly TrackedRequest[] {
    const ended: TrackedRequest[] = [];
    for (const requestId of pool.resuming) {
        const tracked = context.requests.get(requestId);
        const attempt = tracked?.attempt;
        if (tracked === undefined || attempt === undefined) continue;
        const decision = decideResumption(context, pool, attempt);
        if (decision === "wait") continue;
        pool.resuming.delete(requestId);
        if (decision === "resume") resumeAttempt(context, tracked, attempt);
        else ended.push(tracked);
    }
    return ended;
}
