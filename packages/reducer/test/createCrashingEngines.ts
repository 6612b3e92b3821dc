/** One router before simulated engines that crash on a prompt part, on simulated time. */
import type { PoolSpec, TargetEntry, ViewKind } from "@rhubarbwheel/types/fleet";
import type { PlacementEffect, PlacementEvent, StartAttemptEffect } from "@rhubarbwheel/types/placement-events";
import { createPlacementReducer } from "../src/createPlacementReducer.js";

/** Part that crashes engines. */
export const badPart = "bad";

export interface CrashingEnginesOptions {
    /** Number of events of a response after which the engine crashes. */
    readonly crashesAfterEvents: number;
    /** Time between two events. */
    readonly eventIntervalMs?: number;
    readonly resumable?: boolean;
}

export interface SimulatedCall {
    readonly partIds: readonly string[];
    readonly sentAt: number;
    /** Times at which attempts reached engines. */
    readonly attemptedAt: number[];
    hasBegun: boolean;
    /** Whether the first attempt was refused or failed before its first event. */
    hasFailedFirst: boolean;
}

export const eventCount = 10;

const pool: PoolSpec = {
    service: "assistant",
    maxConnections: 200,
    coldRequestsPerSecond: 0,
    engine: { maxBatchSize: 128, kvCacheTokens: 486_851 },
};
const engineCount = 4;
const prefillMs = 60;
const restartMs = 2_000;
const tickMs = 10;

function createTargets(): readonly TargetEntry[] {
    return Array.from({ length: engineCount }, (_, index) => ({
        target: `target-${index + 1}`,
        service: pool.service,
        address: `10.0.0.${index + 1}:8080`,
        failureDomain: "a",
        slots: 128,
        state: "ready" as const,
        coldForMs: 0,
    }));
}

function createRouter() {
    const reducer = createPlacementReducer({
        incarnation: 1,
        view: {
            getMaxCredentialAgeMs: () => 4_500,
            entryRestoreMs: 1_900,
            maxLapseMs: 2_900,
            getRegion: () => undefined,
        },
        entry: {
            router: "r1",
            failureDomain: "a",
            getRetryPolicy: () => ({ ratio: 0.2, reserve: 100, windowMs: 10_000 }),
            computeColdLimit: perSecond => perSecond,
            getShutdownGraceMs: () => 8_000,
        },
        relay: { getMaxAgeMs: () => 4_500 },
        random: () => 0.5,
    });
    const list = (kind: ViewKind, entries: readonly unknown[]): void =>
        void reducer.reduce({
            type: "viewListed",
            kind,
            entries: entries as never,
            era: 1,
            revision: 1,
            confirmedAt: 0,
            now: 0,
        });
    list("configuration", [{
        version: 1,
        routes: [],
        pools: [pool],
        limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
        tokensPerSecond: 660_000,
    }]);
    list("targets", createTargets());
    list("closedDomains", []);
    list("routers", [{ router: "r1", incarnation: 1, address: "10.0.1.1:7400", failureDomain: "a" }]);
    return reducer;
}

interface RunningAttempt {
    readonly attempt: StartAttemptEffect;
    readonly call: SimulatedCall;
    readonly startedAt: number;
    events: number;
}

export function createCrashingEngines(opts: CrashingEnginesOptions) {
    const { crashesAfterEvents, eventIntervalMs = 50, resumable = false } = opts;
    const reducer = createRouter();
    const calls = new Map<string, SimulatedCall>();
    const running = new Set<RunningAttempt>();
    const downUntil = new Map<string, number>();
    const crashedAt: number[] = [];
    let now = 0;

    const finish = (attempt: StartAttemptEffect, result: "complete" | "broken" | "unsent", events: number): void => {
        const { requestId } = attempt;
        const call = calls.get(requestId)!;
        if (events === 0 && call.attemptedAt.length <= 1) call.hasFailedFirst = true;
        reduce({
            type: "attemptFinished",
            requestId,
            attempt: attempt.attempt,
            result,
            responseStarted: events > 0,
            now,
        });
    };

    const runEffect = (effect: PlacementEffect): void => {
        if (effect.type === "failRequest") {
            const call = calls.get(effect.requestId)!;
            call.hasFailedFirst ||= !call.hasBegun;
        }
        if (effect.type !== "startAttempt") return;
        if (now < (downUntil.get(effect.target) ?? 0)) return finish(effect, "unsent", 0);
        const call = calls.get(effect.requestId)!;
        call.attemptedAt.push(now);
        running.add({ attempt: effect, call, startedAt: now, events: 0 });
    };

    const reduce = (event: PlacementEvent): void => {
        for (const effect of reducer.reduce(event)) runEffect(effect);
    };

    const crash = (target: string): void => {
        crashedAt.push(now);
        downUntil.set(target, now + restartMs);
        const broken = [...running].filter(({ attempt }) => attempt.target === target);
        for (const entry of broken) running.delete(entry);
        for (const { attempt, events } of broken) finish(attempt, "broken", events);
    };

    const advanceAttempt = (entry: RunningAttempt): void => {
        const { attempt, call, startedAt } = entry;
        if (!running.has(entry) || now < startedAt + prefillMs + entry.events * eventIntervalMs) return;
        if (call.partIds.includes(badPart) && entry.events === crashesAfterEvents) return crash(attempt.target);
        entry.events += 1;
        if (entry.events === 1) {
            call.hasBegun = true;
            reduce({ type: "attemptStarted", requestId: attempt.requestId, attempt: attempt.attempt, now });
        }
        if (entry.events < eventCount) return;
        running.delete(entry);
        finish(attempt, "complete", entry.events);
    };

    return {
        crashedAt,
        /** Sends a call with these shared parts and one of its own. */
        send: (partIds: readonly string[]): SimulatedCall => {
            const call = { partIds, sentAt: now, attemptedAt: [], hasBegun: false, hasFailedFirst: false };
            const requestId = `request-${calls.size + 1}`;
            calls.set(requestId, call);
            reduce({
                type: "requestRouted",
                now,
                request: {
                    requestId,
                    callerId: requestId,
                    route: "route",
                    service: pool.service,
                    kind: "stream",
                    resumable,
                    maxAttempts: 2,
                    latencyTargetMs: 800,
                    timeLimitMs: 8_000,
                    prompt: {
                        promptTokens: 1_400,
                        outputTokens: 80,
                        parts: [...partIds, `own-${requestId}`].map(id => ({ id, tokens: 400 })),
                    },
                },
            });
            return call;
        },
        /** Lets time pass until `until`. */
        advanceTo: (until: number): void => {
            for (; now < until; now += tickMs) {
                for (const entry of [...running]) advanceAttempt(entry);
                if (now >= reducer.getWakeAt()) reduce({ type: "wake", now });
            }
        },
    };
}
