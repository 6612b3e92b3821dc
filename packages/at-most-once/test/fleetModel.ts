/** Model of three routers with idempotency slices, a binding store and a network that loses or duplicates calls. */
import type { BindKeyEffect, Effect, ForwardCallEffect, ReplayAnswerEffect } from "@rhubarbwheel/types/effects";
import type { KeyedRequestEvent, RequestSummary, RouterEvent } from "@rhubarbwheel/types/events";
import type { Idempotency } from "../src/createIdempotency.js";
import {
    createAnswerRecorded,
    createKeyedRequest,
    createMember,
    createRequestCancelled,
    createRequestEnded,
    createTestSlice,
} from "./sliceHarness.js";

interface Process {
    readonly router: string;
    readonly incarnation: number;
    readonly slice: Idempotency;
    readonly running: string[];
}

interface Request {
    readonly process: Process;
    readonly event: KeyedRequestEvent;
    /** The request at the router that forwarded this one. */
    readonly origin?: string;
    responseCount: number;
    cancelled: boolean;
}

export interface Step {
    readonly kind: "submit" | "bind" | "forward" | "finish" | "cancel" | "dequeue" | "restart" | "membership";
    readonly selector: number;
    readonly variant: number;
}

const routers = ["r1", "r2", "r3"];
const chooseItem = <T>(items: readonly T[], index: number): T | undefined => items[index % Math.max(1, items.length)];

/**
 * Throws when a key is executed a second time, a call is forwarded twice, or a request gets two responses or the
 * response of another call.
 */
export function createFleetModel(): { readonly apply: (step: Step) => void; readonly runToCompletion: () => void; } {
    const states = new Map<string, "alive" | "dead">();
    const processes = new Map<string, Process>();
    const requests = new Map<string, Request>();
    const bindings = new Map<string, string>();
    const keys = ["order-1", "order-2"];
    /** Request that executed, or may have executed, each key. */
    const requestIdsByKey = new Map<string, string>();
    const pendingBinds: BindKeyEffect[] = [];
    const pendingForwards: ForwardCallEffect[] = [];
    let nextId = 0;

    const startProcess = (router: string, incarnation: number): void => {
        const getMember = (name: string) => createMember(name, states.get(name) ?? "alive", 1);
        const slice = createTestSlice({ router, incarnation, maxRecords: 1, getMember });
        processes.set(router, { router, incarnation, slice, running: [] });
        if (keys.length < 8) keys.push(slice.mintKey());
    };
    routers.forEach(router => startProcess(router, 1));

    const assertHolds = (holds: boolean, text: string): void => {
        if (!holds) throw new Error(text);
    };
    const isLive = (id: string): boolean => {
        const process = requests.get(id)?.process;
        return process !== undefined && processes.get(process.router) === process;
    };
    const listKeyNames = (id: string, key = ""): string[] => {
        const { request, callerKey } = requests.get(id)!.event;
        return [...new Set([callerKey, key])].map(text => `${request.workspace} ${text}`);
    };

    const endRequest = (id: string): void => {
        const request = requests.get(id)!;
        request.responseCount += 1;
        assertHolds(
            request.responseCount === 1 && !request.cancelled,
            `${id} gets a second response, or a response after it was cancelled`,
        );
        if (request.origin === undefined || !isLive(request.origin) || requests.get(request.origin)!.cancelled) return;
        reduce(request.origin, { type: "forwardAnswered", now: 1, requestId: request.origin, result: "answered" });
        if (requests.get(request.origin)!.responseCount === 0) endRequest(request.origin);
    };

    const recordExecution = ({ id, key }: RequestSummary): void => {
        for (const name of listKeyNames(id, key)) {
            assertHolds(!requestIdsByKey.has(name), `${name} is executed a second time`);
            requestIdsByKey.set(name, id);
        }
        requests.get(id)!.process.running.push(id);
    };

    const assertReplayMatches = (effect: ReplayAnswerEffect): void => {
        const { event: source } = requests.get(effect.sourceRequestId)!;
        const { event: duplicate } = requests.get(effect.requestId)!;
        const isSame = source.request.workspace === duplicate.request.workspace
            && source.fingerprint === duplicate.fingerprint;
        assertHolds(isSame, "a request gets the response of another call");
        endRequest(effect.requestId);
    };

    const applyEffect = (effect: Effect): void => {
        switch (effect.type) {
            case "bindKey":
                pendingBinds.push(effect);
                break;
            case "forwardCall":
                assertHolds(requests.get(effect.requestId)!.origin === undefined, "a call is forwarded twice");
                pendingForwards.push(effect);
                break;
            case "endRequest":
                assertHolds(
                    effect.code !== "KEY_MALFORMED",
                    "a key that may have been executed gets the outcome notRun",
                );
                return endRequest(effect.requestId);
            case "replayAnswer":
                return assertReplayMatches(effect);
            case "raise":
                if (effect.event.type === "requestArrived") recordExecution(effect.event.request);
        }
    };

    const reduce = (id: string, event: RouterEvent): void =>
        requests.get(id)!.process.slice.reduce(event).forEach(applyEffect);

    const submit = (process: Process, event: KeyedRequestEvent, origin?: string): void => {
        requests.set(event.request.id, {
            process,
            event,
            responseCount: 0,
            cancelled: false,
            ...(origin ? { origin } : {}),
        });
        reduce(event.request.id, event);
    };

    const deliverBind = (mode: number): void => {
        const effect = pendingBinds.shift();
        if (effect === undefined || !isLive(effect.requestId)) return;
        const name = `${effect.workspace} ${effect.callerKey}`;
        // Mode 1: the store is down; mode 2: the binding is created, but the response is lost.
        if (mode !== 1 && !bindings.has(name)) bindings.set(name, effect.mintedKey);
        const mintedKey = bindings.get(name);
        const result = mode === 1 || mode === 2 || mintedKey === undefined
            ? { result: "unavailable" as const }
            : { result: "bound" as const, mintedKey };
        reduce(effect.requestId, { type: "keyBound", now: 1, requestId: effect.requestId, ...result });
    };

    const abortForward = (id: string, result: "broken" | "unreachable"): void => {
        if (isLive(id)) reduce(id, { type: "forwardAnswered", now: 1, requestId: id, result });
    };

    const deliverForward = (mode: number): void => {
        const effect = pendingForwards.shift();
        if (effect === undefined) return;
        const { event } = requests.get(effect.requestId)!;
        // Mode 1: the call is lost; 2: the response is lost; 3: the call arrives twice; 4: at another router.
        for (let copy = 0; copy < (mode === 1 ? 0 : mode === 3 ? 2 : 1); copy++) {
            const id = `${effect.requestId}/${copy}`;
            const { workspace } = event.request;
            const forwarded = createKeyedRequest(id, effect.mintedKey, {
                workspace,
                fingerprint: event.fingerprint,
                forwardedBy: "r",
            });
            submit(
                processes.get(mode === 4 ? "r1" : effect.router)!,
                forwarded,
                mode === 0 ? effect.requestId : "lost",
            );
        }
        if (mode !== 0) abortForward(effect.requestId, mode === 1 ? "unreachable" : "broken");
    };

    const removeRunning = (index: number): string | undefined => {
        const all = [...processes.values()].flatMap(process => process.running);
        const id = chooseItem(all, index);
        if (id !== undefined)
            requests.get(id)!.process.running.splice(requests.get(id)!.process.running.indexOf(id), 1);
        return id;
    };

    const removeExecution = (id: string): void => {
        for (const [name, requestId] of requestIdsByKey) if (requestId === id) requestIdsByKey.delete(name);
    };

    const finish = (id: string | undefined, mode: number): void => {
        if (id === undefined) return;
        const outcome = (["complete", "unknown", "notRun"] as const)[mode % 3]!;
        if (outcome === "notRun") removeExecution(id);
        reduce(id, createRequestEnded(id, outcome));
        if (!requests.get(id)!.cancelled) endRequest(id);
        reduce(id, createAnswerRecorded(id, outcome));
    };

    const cancel = (id: string | undefined): void => {
        if (id === undefined || !isLive(id) || requests.get(id)!.responseCount > 0) return;
        requests.get(id)!.cancelled = true;
        reduce(id, createRequestCancelled(id));
    };

    /** The caller disconnects while its call is queued; a forwarded call ends with the outcome `notRun`. */
    const cancelQueued = (id: string | undefined): void => {
        if (id === undefined) return;
        if (requests.get(id)!.origin !== undefined) return finish(id, 2);
        cancel(id);
        removeExecution(id);
        reduce(id, createRequestEnded(id, "notRun"));
    };

    const submitNew = (router: string, variant: number): void => {
        const opts = {
            workspace: variant % 3 === 0 ? `w${variant % 4}` : "oryx",
            fingerprint: variant % 5 === 0 ? "g" : "f",
        };
        submit(processes.get(router)!, createKeyedRequest(`q${nextId++}`, chooseItem(keys, variant)!, opts));
    };

    const restart = (router: string): void => {
        const stopped = processes.get(router)!;
        startProcess(router, stopped.incarnation + 1);
        for (const { process, origin = "lost", responseCount } of [...requests.values()])
            if (process === stopped && responseCount === 0) abortForward(origin, "broken");
    };

    const apply = ({ kind, selector, variant }: Step): void => {
        const router = chooseItem(routers, selector)!;
        const actions: Record<Step["kind"], () => void> = {
            submit: () => submitNew(router, variant),
            bind: () => deliverBind(selector % 4),
            forward: () => deliverForward(selector % 5),
            finish: () => finish(removeRunning(selector), variant),
            cancel: () =>
                cancel(chooseItem([...requests.keys()].filter(id => requests.get(id)!.origin === undefined), selector)),
            dequeue: () => cancelQueued(removeRunning(selector)),
            restart: () => variant % 4 === 0 ? restart(router) : undefined,
            membership: () => void states.set(router, variant % 3 === 0 ? "dead" : "alive"),
        };
        actions[kind]();
    };

    const runToCompletion = (): void => {
        for (let round = 0; round < 500; round++) {
            [() => deliverBind(0), () => deliverForward(0), () => finish(removeRunning(0), 0)]
                .forEach(act => act());
        }
        for (const [id, request] of requests) {
            const isLost = request.cancelled || !isLive(id)
                || (request.origin !== undefined && request.origin !== "lost");
            assertHolds(isLost || request.responseCount === 1, `${id} never gets a response`);
        }
    };

    return { apply, runToCompletion };
}
