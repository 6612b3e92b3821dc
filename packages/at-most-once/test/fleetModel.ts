/** Three routers with their idempotency slices, a store of bindings and a network that delivers, loses and repeats. */
import type { BindKeyEffect, Effect, ForwardCallEffect, ReplayAnswerEffect } from "@rhubarbwheel/types/effects";
import type { KeyedRequestEvent, RequestSummary, RouterEvent } from "@rhubarbwheel/types/events";
import type { Idempotency } from "../src/createIdempotency.js";
import { cancelled, createMember, createTestSlice, ended, keyed, recorded } from "./sliceHarness.js";

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
    ends: number;
    cancelled: boolean;
}

export interface Step {
    readonly kind: "submit" | "bind" | "forward" | "finish" | "cancel" | "dequeue" | "restart" | "membership";
    readonly a: number;
    readonly b: number;
}

const routers = ["r1", "r2", "r3"];
const pick = <T>(items: readonly T[], index: number): T | undefined => items[index % Math.max(1, items.length)];

/** Throws when a key runs a second time, a call is forwarded twice, or a request is answered twice or with another's answer. */
export function createFleetModel(): { readonly apply: (step: Step) => void; readonly settle: () => void; } {
    const states = new Map<string, "alive" | "dead">();
    const processes = new Map<string, Process>();
    const requests = new Map<string, Request>();
    const bindings = new Map<string, string>();
    const keys = ["order-1", "order-2"];
    /** Keys that ran or may have run, with the request. */
    const ran = new Map<string, string>();
    const binds: BindKeyEffect[] = [];
    const forwards: ForwardCallEffect[] = [];
    let nextId = 0;

    const start = (router: string, incarnation: number): void => {
        const getMember = (name: string) => createMember(name, states.get(name) ?? "alive", 1);
        const slice = createTestSlice({ router, incarnation, maxRecords: 1, getMember });
        processes.set(router, { router, incarnation, slice, running: [] });
        if (keys.length < 8) keys.push(slice.mintKey());
    };
    routers.forEach(router => start(router, 1));

    const check = (holds: boolean, text: string): void => {
        if (!holds) throw new Error(text);
    };
    const isLive = (id: string): boolean => {
        const process = requests.get(id)?.process;
        return process !== undefined && processes.get(process.router) === process;
    };
    const listNames = (id: string, key = ""): string[] => {
        const { request, callerKey } = requests.get(id)!.event;
        return [...new Set([callerKey, key])].map(text => `${request.workspace} ${text}`);
    };

    const end = (id: string): void => {
        const request = requests.get(id)!;
        request.ends += 1;
        check(request.ends === 1 && !request.cancelled, `${id} is answered twice or after it was cancelled`);
        if (request.origin === undefined || !isLive(request.origin) || requests.get(request.origin)!.cancelled) return;
        reduce(request.origin, { type: "forwardAnswered", now: 1, requestId: request.origin, result: "answered" });
        if (requests.get(request.origin)!.ends === 0) end(request.origin);
    };

    const recordRun = ({ id, key }: RequestSummary): void => {
        for (const name of listNames(id, key)) {
            check(!ran.has(name), `${name} runs a second time`);
            ran.set(name, id);
        }
        requests.get(id)!.process.running.push(id);
    };

    const checkReplay = (effect: ReplayAnswerEffect): void => {
        const { event: source } = requests.get(effect.sourceRequestId)!;
        const { event: copy } = requests.get(effect.requestId)!;
        const isSame = source.request.workspace === copy.request.workspace && source.fingerprint === copy.fingerprint;
        check(isSame, "a request gets the answer of another call");
        end(effect.requestId);
    };

    const follow = (effect: Effect): void => {
        switch (effect.type) {
            case "bindKey":
                binds.push(effect);
                break;
            case "forwardCall":
                check(requests.get(effect.requestId)!.origin === undefined, "a call is forwarded twice");
                forwards.push(effect);
                break;
            case "endRequest":
                check(effect.code !== "KEY_MALFORMED", "a key that may have run is told notRun");
                return end(effect.requestId);
            case "replayAnswer":
                return checkReplay(effect);
            case "raise":
                if (effect.event.type === "requestArrived") recordRun(effect.event.request);
        }
    };

    const reduce = (id: string, event: RouterEvent): void =>
        requests.get(id)!.process.slice.reduce(event).forEach(follow);

    const submit = (process: Process, event: KeyedRequestEvent, origin?: string): void => {
        requests.set(event.request.id, { process, event, ends: 0, cancelled: false, ...(origin ? { origin } : {}) });
        reduce(event.request.id, event);
    };

    const deliverBind = (mode: number): void => {
        const effect = binds.shift();
        if (effect === undefined || !isLive(effect.requestId)) return;
        const name = `${effect.workspace} ${effect.callerKey}`;
        // Mode 1: the store is down; mode 2: the binding was made, but its answer was lost.
        if (mode !== 1 && !bindings.has(name)) bindings.set(name, effect.mintedKey);
        const mintedKey = bindings.get(name);
        const result = mode === 1 || mode === 2 || mintedKey === undefined
            ? { result: "unavailable" as const }
            : { result: "bound" as const, mintedKey };
        reduce(effect.requestId, { type: "keyBound", now: 1, requestId: effect.requestId, ...result });
    };

    const breakForward = (id: string, result: "broken" | "unreachable"): void => {
        if (isLive(id)) reduce(id, { type: "forwardAnswered", now: 1, requestId: id, result });
    };

    const deliverForward = (mode: number): void => {
        const effect = forwards.shift();
        if (effect === undefined) return;
        const { event } = requests.get(effect.requestId)!;
        // Mode 1: never arrives; mode 2: arrives, but its answer is lost; mode 3: arrives twice; mode 4: at another router.
        for (let copy = 0; copy < (mode === 1 ? 0 : mode === 3 ? 2 : 1); copy++) {
            const id = `${effect.requestId}/${copy}`;
            const { workspace } = event.request;
            const forwarded = keyed(id, effect.mintedKey, {
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
        if (mode !== 0) breakForward(effect.requestId, mode === 1 ? "unreachable" : "broken");
    };

    const takeRunning = (index: number): string | undefined => {
        const all = [...processes.values()].flatMap(process => process.running);
        const id = pick(all, index);
        if (id !== undefined)
            requests.get(id)!.process.running.splice(requests.get(id)!.process.running.indexOf(id), 1);
        return id;
    };

    const forgetRun = (id: string): void => {
        for (const [name, runner] of ran) if (runner === id) ran.delete(name);
    };

    const finish = (id: string | undefined, mode: number): void => {
        if (id === undefined) return;
        const outcome = (["complete", "unknown", "notRun"] as const)[mode % 3]!;
        if (outcome === "notRun") forgetRun(id);
        reduce(id, ended(id, outcome));
        if (!requests.get(id)!.cancelled) end(id);
        reduce(id, recorded(id, outcome));
    };

    const cancel = (id: string | undefined): void => {
        if (id === undefined || !isLive(id) || requests.get(id)!.ends > 0) return;
        requests.get(id)!.cancelled = true;
        reduce(id, cancelled(id));
    };

    /** The caller hangs up while its call is queued; a forwarded call is told that it was not run. */
    const dequeue = (id: string | undefined): void => {
        if (id === undefined) return;
        if (requests.get(id)!.origin !== undefined) return finish(id, 2);
        cancel(id);
        forgetRun(id);
        reduce(id, ended(id, "notRun"));
    };

    const submitNew = (router: string, b: number): void => {
        const opts = { workspace: b % 3 === 0 ? `w${b % 4}` : "oryx", fingerprint: b % 5 === 0 ? "g" : "f" };
        submit(processes.get(router)!, keyed(`q${nextId++}`, pick(keys, b)!, opts));
    };

    const restart = (router: string): void => {
        const lost = processes.get(router)!;
        start(router, lost.incarnation + 1);
        for (const { process, origin = "lost", ends } of [...requests.values()])
            if (process === lost && ends === 0) breakForward(origin, "broken");
    };

    const apply = ({ kind, a, b }: Step): void => {
        const router = pick(routers, a)!;
        const actions: Record<Step["kind"], () => void> = {
            submit: () => submitNew(router, b),
            bind: () => deliverBind(a % 4),
            forward: () => deliverForward(a % 5),
            finish: () => finish(takeRunning(a), b),
            cancel: () => cancel(pick([...requests.keys()].filter(id => requests.get(id)!.origin === undefined), a)),
            dequeue: () => dequeue(takeRunning(a)),
            restart: () => b % 4 === 0 ? restart(router) : undefined,
            membership: () => void states.set(router, b % 3 === 0 ? "dead" : "alive"),
        };
        actions[kind]();
    };

    const settle = (): void => {
        for (let round = 0; round < 500; round++) {
            [() => deliverBind(0), () => deliverForward(0), () => finish(takeRunning(0), 0)]
                .forEach(act => act());
        }
        for (const [id, request] of requests) {
            const isLost = request.cancelled || !isLive(id)
                || (request.origin !== undefined && request.origin !== "lost");
            check(isLost || request.ends === 1, `${id} is never answered`);
        }
    };

    return { apply, settle };
}
