/** Routers on simulated time, targets of several versions, and callers that resume streams that broke off. */
import type { RouterEntry, TargetEntry, ViewKind } from "@rhubarbwheel/types/fleet";
import type { PlacementEffect, PlacementEvent, StartAttemptEffect } from "@rhubarbwheel/types/placement-events";
import { createTestReducer } from "./createTestReducer.js";

export const service = "assistant";

/** Time between two events of a stream. */
const eventMs = 100;
const linkMs = 2;
const storeMs = 4;
const timeoutMs = 15_000;

export interface StreamCall {
    readonly callerId: string;
    readonly requestId: string;
    readonly router: string;
    readonly resumes?: string;
    /** Versions of the targets that have sent events, one for each attempt. */
    readonly versions: string[];
    /** Code of the error with which the router ended the call, and the time that it took. */
    failure?: { readonly code: string; readonly afterMs: number; };
    isBroken: boolean;
}

export interface StreamFleetOptions {
    readonly targets: readonly TargetEntry[];
    /** Routers `r1` to `r<count>`, in three failure domains by turns. */
    readonly routerCount?: number;
}

export function createTarget(target: string, version: string): TargetEntry {
    return {
        target,
        service,
        address: `10.0.9.${target.length}:8080`,
        failureDomain: "a",
        slots: 128,
        state: "ready",
        coldForMs: 0,
        version,
    };
}

const failureDomains = ["a", "b", "c"];

export function createStreamFleet(opts: StreamFleetOptions) {
    const entries = new Map<string, RouterEntry>();
    const reducers = new Map<string, ReturnType<typeof createTestReducer>>();
    const calls = new Map<string, StreamCall>();
    const records = new Map<string, readonly string[]>();
    const cutDomains = new Set<string>();
    /** Target of the last attempt of each request. */
    const placements = new Map<string, string>();
    let areRunning = false;
    let targets = opts.targets;
    let scheduled: { readonly at: number; readonly run: () => void; }[] = [];
    let now = 0;
    let revision = 1;
    let callCount = 0;
    let storeCalls = 0;
    let streamMessages = 0;
    let isStoreDown = false;

    const schedule = (delayMs: number, run: () => void): void => void scheduled.push({ at: now + delayMs, run });

    const isConnected = (left: string, right: string): boolean => {
        const domains = [left, right].map(router => entries.get(router)?.failureDomain ?? "");
        return domains[0] === domains[1] || !domains.some(domain => cutDomains.has(domain));
    };

    /** The target sends events until the call or its router ends. */
    const streamEvents = (call: StreamCall, { requestId, attempt, target }: StartAttemptEffect): void => {
        const reducer = reducers.get(call.router);
        schedule(eventMs, () => {
            const entry = targets.find(other => other.target === target);
            if (reducers.get(call.router) !== reducer || call.isBroken) return;
            if (entry === undefined) return breakAttempt(call, requestId, attempt);
            call.versions.push(entry.version ?? "");
            reduce(call.router, { type: "attemptStarted", requestId, attempt, now });
        });
    };

    const breakAttempt = (call: StreamCall, requestId: string, attempt: number): void =>
        reduce(call.router, {
            type: "attemptFinished",
            requestId,
            attempt,
            result: "broken",
            responseStarted: call.versions.length > 0,
            now,
        });

    const listRunning = (target: string): readonly string[] =>
        [...placements].filter(([, placed]) => placed === target).map(([requestId]) => calls.get(requestId)!.callerId);

    const attemptNumbers = new Map<string, number>();

    const runEffect = (router: string, effect: PlacementEffect): void => {
        if (effect.type === "sendToRouter") {
            if (effect.message.type.startsWith("stream")) streamMessages += 1;
            const { address } = entries.get(router)!;
            const { message, router: to } = effect;
            if (!isConnected(router, to)) return;
            schedule(linkMs, () => reduce(to, { type: "routerMessage", from: router, address, message, now }));
        }
        else if (effect.type === "startAttempt") {
            attemptNumbers.set(effect.requestId, effect.attempt);
            placements.set(effect.requestId, effect.target);
            const call = calls.get(effect.requestId);
            if (call !== undefined) streamEvents(call, effect);
        }
        else if (effect.type === "failRequest") {
            const call = calls.get(effect.requestId);
            if (call !== undefined)
                call.failure = { code: effect.code, afterMs: now - startTimes.get(effect.requestId)! };
        }
        else if (effect.type === "breakAnswer") {
            const call = calls.get(effect.requestId);
            if (call !== undefined) call.isBroken = true;
        }
        else if (effect.type === "readServiceVersions") {
            storeCalls += 1;
            schedule(storeMs, () => {
                const versions = records.get(effect.service);
                const result = isStoreDown ? "unavailable" : versions === undefined ? "notFound" : "ok";
                reduce(router, { type: "serviceVersionsRead", service: effect.service, result, versions, now });
            });
        }
        else if (effect.type === "readRunningCalls") {
            const { service: ofService, target } = effect;
            const callerIds = areRunning ? listRunning(target) : [];
            schedule(
                storeMs,
                () => reduce(router, { type: "runningCallsRead", service: ofService, target, callerIds, now }),
            );
        }
        else if (effect.type === "writeServiceVersions") {
            storeCalls += 1;
            const { versions } = effect;
            schedule(storeMs, () => {
                if (!isStoreDown) records.set(effect.service, versions);
                const result = isStoreDown ? "unavailable" : "ok";
                reduce(router, { type: "serviceVersionsWritten", service: effect.service, versions, result, now });
            });
        }
    };

    const startTimes = new Map<string, number>();

    const reduce = (router: string, event: PlacementEvent): void => {
        for (const effect of reducers.get(router)?.reduce(event) ?? []) runEffect(router, effect);
    };

    const list = (router: string, kind: ViewKind, listed: readonly unknown[]): void =>
        reduce(router, {
            type: "viewListed",
            kind,
            entries: listed as never,
            era: 1,
            revision,
            confirmedAt: now,
            now,
        });

    const listAll = (kind: "routers" | "targets"): void => {
        revision += 1;
        for (const router of reducers.keys()) {
            if (cutDomains.has(entries.get(router)!.failureDomain)) continue;
            list(router, kind, kind === "routers" ? [...entries.values()] : targets);
        }
    };

    const start = (index: number): void => {
        const router = `r${index}`;
        const entry: RouterEntry = {
            router,
            incarnation: (entries.get(router)?.incarnation ?? 0) + 1,
            address: `10.0.0.${index}:7400`,
            failureDomain: failureDomains[index % failureDomains.length]!,
        };
        entries.set(router, entry);
        reducers.set(router, createTestReducer(entry, { retryReserve: 1_000 }));
        const engine = { maxBatchSize: 128, kvCacheTokens: 1_000_000, tokensPerEvent: 10 };
        list(router, "configuration", [{
            version: 1,
            routes: [{
                name: "route",
                host: "h",
                pathPrefix: "/",
                kind: "stream",
                resumable: true,
                isPublic: true,
                timeoutMs,
                latencyTargetMs: 800,
                maxAttempts: 2,
                destinations: [{ service, weight: 1 }],
            }],
            pools: [{ service, maxConnections: 200, coldRequestsPerSecond: 0, engine }],
            limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
            tokensPerSecond: 660_000,
        }]);
        list(router, "targets", targets);
        list(router, "closedDomains", []);
        listAll("routers");
    };

    for (let index = 1; index <= (opts.routerCount ?? 6); index++) start(index);

    const advance = (ms: number): void => {
        for (const until = now + ms; now < until; now++) {
            const due = scheduled.filter(({ at }) => at <= now);
            scheduled = scheduled.filter(({ at }) => at > now);
            for (const { run } of due) run();
            for (const [router, reducer] of reducers)
                if (now >= reducer.getWakeAt()) reduce(router, { type: "wake", now });
            // The store confirms its lists while nothing changes.
            if (now % 500 === 0 && !isStoreDown) listAll("targets");
        }
    };

    return {
        advance,
        start,
        kill: (router: string): void => void reducers.delete(router),
        restart: (router: string): void => {
            reducers.delete(router);
            start(Number(router.slice(1)));
        },
        listRouters: () => [...reducers.keys()],
        findCoordinator: (): string => {
            const [reducer] = reducers.values();
            return reducer?.entry.findFirstCoordinator(service)?.router ?? "";
        },
        setTargets: (next: readonly TargetEntry[]): void => {
            targets = next;
            listAll("targets");
        },
        setStoreDown: (isDown: boolean): void => {
            isStoreDown = isDown;
        },
        /** Whether targets go on with the calls of routers that end, as after a loss of power. */
        setRunning: (isRunning: boolean): void => {
            areRunning = isRunning;
        },
        cutDomain: (failureDomain: string): void => void cutDomains.add(failureDomain),
        countStoreCalls: () => storeCalls,
        countStreamMessages: () => streamMessages,
        /** Sends a call; one that resumes names the call that brought the first event of its stream. */
        call: (router: string, resumes?: string): StreamCall => {
            callCount += 1;
            const callerId = `call-${callCount}`;
            const requestId = `${router}.${callCount}`;
            const call: StreamCall = { callerId, requestId, router, resumes, versions: [], isBroken: false };
            calls.set(requestId, call);
            startTimes.set(requestId, now);
            reduce(router, {
                type: "requestRouted",
                request: {
                    requestId,
                    callerId,
                    route: "route",
                    service,
                    kind: "stream",
                    resumable: true,
                    maxAttempts: 2,
                    latencyTargetMs: 800,
                    timeLimitMs: timeoutMs,
                    prompt: { promptTokens: 100, outputTokens: 600, parts: [] },
                    ...(resumes === undefined ? {} : { resumption: { callerId: resumes } }),
                },
                now,
            });
            return call;
        },
        /** The caller's connection breaks; its router lives. */
        disconnect: ({ router, requestId }: StreamCall): void => reduce(router, { type: "callerGone", requestId, now }),
        /** The target breaks the stream off. */
        breakOff: (call: StreamCall): void =>
            breakAttempt(call, call.requestId, attemptNumbers.get(call.requestId) ?? 1),
    };
}

export type StreamFleet = ReturnType<typeof createStreamFleet>;
