/** Targets on a fake clock. Each running request incurs one unit of cost per millisecond. */
import type { SendToTargetEffect } from "@rhubarbwheel/types/effects";
import type { NamedService, RequestSummary, RouterEvent } from "@rhubarbwheel/types/events";
import type { FakeClock } from "./fakeClock.js";

export interface Attempt {
    readonly effect: SendToTargetEffect;
    readonly startedAt: number;
    /** Sent before the restart of the target could be detected, so that the cold limit cannot apply to it. */
    readonly sentBeforeRestart: boolean;
    readonly emit: (event: RouterEvent) => void;
}

export const oneWayMs = 1;
const progressIntervalMs = 100;
/** Round trip until a restart breaks connections, plus a grant and a request in transit. */
const restartDetectionMs = 4 * oneWayMs;

export function createFakeTargets(clock: FakeClock, service: NamedService) {
    const { coldLimit, targetLimit } = service.spec;
    const createTarget = (startId: number) => ({
        startId,
        up: true,
        startedAt: clock.getNow(),
        running: new Map<string, Attempt>(),
        /** Current limit of the target; doubles as a cold target completes requests. */
        capacity: coldLimit,
        completed: 0,
    });
    const targets = new Map(service.spec.targets.map(spec => [spec.name, createTarget(1)]));
    const requests = new Map<string, { cost: number; request: RequestSummary; }>();
    const servedCost = new Map<string, number>();
    /** Number of attempts that reached a target, by request. */
    const runCounts = new Map<string, number>();
    const state = { overshoot: 0, overshootMs: 0, busyMs: 0 };

    const measureCost = (attempt: Attempt) =>
        Math.min(requests.get(attempt.effect.requestId)?.cost ?? 1, clock.getNow() - attempt.startedAt);

    const endAttempt = (attempt: Attempt, result: "complete" | "refused" | "broken", sent = true) => {
        const { requestId, attempt: attemptNumber, target: name } = attempt.effect;
        const target = targets.get(name);
        const cost = sent ? measureCost(attempt) : 0;
        if (target !== undefined && target.running.get(requestId) === attempt) {
            target.running.delete(requestId);
            const workspace = requests.get(requestId)?.request.workspace ?? "";
            servedCost.set(workspace, (servedCost.get(workspace) ?? 0) + cost);
            target.completed += result === "complete" ? 1 : 0;
            if (target.completed >= target.capacity)
                [target.completed, target.capacity] = [0, Math.min(target.capacity * 2, targetLimit)];
        }
        const ids = { requestId, attempt: attemptNumber, target: name };
        const startId = sent ? { startId: `s${target?.startId}` } : {};
        const end = {
            type: "targetEnded" as const,
            now: 0,
            ...ids,
            result,
            sent,
            responseStarted: false,
            cost,
            ...startId,
        };
        clock.add(clock.getNow() + oneWayMs, () => attempt.emit(end));
    };
    const abortAttempts = (matches: (attempt: Attempt) => boolean) => {
        for (const target of targets.values())
            for (const attempt of [...target.running.values()]) if (matches(attempt)) endAttempt(attempt, "broken");
    };
    return {
        state,
        targets,
        requests,
        runCounts,
        abortAttempts,
        startAttempt: (effect: SendToTargetEffect, emit: (event: RouterEvent) => void) => {
            const target = targets.get(effect.target);
            const now = clock.getNow();
            const sentBeforeRestart = target !== undefined && target.startId > 1
                && now - target.startedAt <= restartDetectionMs;
            const attempt = { effect, startedAt: now, sentBeforeRestart, emit };
            if (!target?.up) return endAttempt(attempt, "refused", false);
            target.running.set(effect.requestId, attempt);
            runCounts.set(effect.requestId, (runCounts.get(effect.requestId) ?? 0) + 1);
            const { requestId, attempt: attemptNumber, target: name } = effect;
            const startId = `s${target.startId}`;
            emit({ type: "targetAccepted", now: 0, requestId, attempt: attemptNumber, target: name, startId });
            const reportProgress = () => {
                if (target.running.get(requestId) !== attempt) return;
                emit({
                    type: "targetProgress",
                    now: 0,
                    requestId,
                    attempt: attemptNumber,
                    cost: measureCost(attempt),
                });
                clock.add(clock.getNow() + progressIntervalMs, reportProgress);
            };
            clock.add(clock.getNow() + progressIntervalMs, reportProgress);
            clock.add(clock.getNow() + (requests.get(requestId)?.cost ?? 1), () => {
                if (target.running.get(requestId) === attempt) endAttempt(attempt, "complete");
            });
        },
        /** Returns the result of a load poll. */
        samplePoll: (name: string): RouterEvent => {
            const target = targets.get(name);
            const common = { now: 0, service: service.name, target: name };
            if (!target?.up) return { type: "loadUnavailable", ...common, refused: true };
            const { running, startId } = target;
            const report = { target: name, startId: `s${startId}`, running: running.size, queued: 0, ageMs: oneWayMs };
            return { type: "loadReported", ...common, report };
        },
        /** Restarts a target cold, which breaks its running requests. */
        restartTarget: (name: string, up = true) => {
            const target = targets.get(name);
            abortAttempts(attempt => attempt.effect.target === name);
            if (target !== undefined) Object.assign(target, createTarget(target.startId + 1), { up });
        },
        /** Checks limits and accumulates busy time; called once per millisecond. */
        sample: () => {
            for (const target of targets.values()) {
                const limited = [...target.running.values()].filter(attempt => !attempt.sentBeforeRestart);
                const excess = limited.length - target.capacity;
                state.overshoot = Math.max(state.overshoot, excess);
                state.overshootMs += excess > 0 ? 1 : 0;
                state.busyMs += target.running.size;
            }
        },
        /** Cost of the service that the workspace has received. */
        measureService: (workspace: string) => {
            let cost = servedCost.get(workspace) ?? 0;
            for (const target of targets.values()) {
                for (const attempt of target.running.values()) {
                    if (requests.get(attempt.effect.requestId)?.request.workspace === workspace)
                        cost += measureCost(attempt);
                }
            }
            return cost;
        },
    };
}
