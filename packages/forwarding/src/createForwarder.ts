/** Serves callers: reads calls, hands them to the reducer, and carries out what it decides. */
import type { FleetView } from "@rhubarbwheel/fleet-view/createFleetView";
import { otherRouterRetryAfterMs } from "@rhubarbwheel/routing/computeRetryAfter";
import type {
    CancelAttemptEffect,
    FailRequestEffect,
    PlacementEvent,
    StartAttemptEffect,
} from "@rhubarbwheel/types/placement-events";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { ConnectionPool } from "./createConnectionPool.js";
import { sendWhole } from "./createResponseRelay.js";
import { type CallProblem, describeCall, type DescribedCall } from "./describeCall.js";
import type { HeaderCodec } from "./headerCodec.js";
import { mayRelayStatus, type OpenCall } from "./openCall.js";
import { createBodyMemory, readCallBody } from "./readCallBody.js";
import { runAttempt } from "./runAttempt.js";
import { sendFailure } from "./sendFailure.js";

type WithoutNow<T> = T extends unknown ? Omit<T, "now"> : never;

export interface ForwarderOptions {
    readonly view: FleetView;
    readonly headerCodec: HeaderCodec;
    readonly connections: ConnectionPool;
    readonly dispatch: (event: WithoutNow<PlacementEvent>) => void;
    readonly getNow: () => number;
    /** Random number in [0, 1). */
    readonly random: () => number;
    readonly createRequestId: () => string;
    readonly isDraining: () => boolean;
    /** Whether so many connections of callers are open that they must be closed after an answer. */
    readonly isCrowded: () => boolean;
    /** Memory for the bodies of all open calls together. */
    readonly maxBodyMemoryBytes: number;
    /** Told of each call that ends before it reaches the reducer. */
    readonly onRefused: (incoming: IncomingMessage, problem: CallProblem) => void;
}

/** Errors after which the rest of a call cannot be read as another call. */
const closingCodes: readonly string[] = ["BODY_TOO_LARGE", "HEADERS_TOO_LARGE", "BODY_TIMEOUT"];

/** Runs `action` once the loop has looked for new input, such as the end of a connection whose last bytes were just read. */
function runAfterPoll(action: () => void): void {
    // The first callback comes before the loop polls again, the second one after it.
    setImmediate(() => setImmediate(action));
}

/** Whether the caller has closed its connection, or its side of it: nobody would read the answer. */
function hasCallerLeft({ incoming, response }: OpenCall): boolean {
    return response.destroyed || incoming.socket.destroyed || incoming.socket.readableEnded;
}

export function createForwarder(opts: ForwarderOptions) {
    const { dispatch } = opts;
    const memory = createBodyMemory(opts.maxBodyMemoryBytes);
    const calls = new Map<string, OpenCall>();
    /** Functions that break off the attempts in progress; an attempt may outlive its call. */
    const cancellations = new Map<string, () => void>();

    const refuse = (incoming: IncomingMessage, response: ServerResponse, problem: CallProblem): void => {
        opts.onRefused(incoming, problem);
        const close = closingCodes.includes(problem.code) || opts.isDraining() || problem.retryAfterMs !== undefined;
        sendFailure(response, problem.code, { ...problem, close });
        if (!incoming.complete) incoming.resume();
    };

    /** A busy router may read a call long after it was sent, together with the end of its connection. */
    const dropUnread = (call: OpenCall): void => {
        memory.release(call.body.length);
        opts.onRefused(call.incoming, { code: "CALLER_GONE" });
        call.response.destroy();
    };

    const submit = (call: OpenCall, described: DescribedCall, arrivedAt: number): void => {
        const { head, route, service, access, regions } = described;
        const { requestId } = call;
        if (hasCallerLeft(call)) return dropUnread(call);
        calls.set(requestId, call);
        call.response.once("close", () => {
            if (!call.response.writableFinished) dispatch({ type: "callerGone", requestId });
            calls.delete(requestId);
            memory.release(call.body.length);
        });
        const spentMs = opts.getNow() - arrivedAt;
        dispatch({
            type: "requestRouted",
            request: {
                requestId,
                callerId: head.callerId,
                route: route.name,
                service,
                workspace: access?.workspace,
                kind: route.kind,
                resumable: route.resumable,
                maxAttempts: route.maxAttempts,
                latencyTargetMs: route.latencyTargetMs,
                timeLimitMs: Math.min(route.timeoutMs, head.deadlineMs ?? Infinity) - spentMs,
                regions,
                prompt: head.prompt,
            },
        });
    };

    /** Serves one call. */
    const serveCall = (incoming: IncomingMessage, response: ServerResponse): void => {
        const arrivedAt = opts.getNow();
        // Callers that keep their connections are told to open new ones elsewhere.
        if (opts.isDraining() || opts.isCrowded()) response.shouldKeepAlive = false;
        const described = describeCall(incoming, {
            view: opts.view,
            headerCodec: opts.headerCodec,
            now: arrivedAt,
            random: opts.random(),
        });
        if ("code" in described) return refuse(incoming, response, described);
        const limits = opts.view.getConfiguration()?.limits;
        const bodyOptions = {
            maxBytes: limits?.maxBodyBytes ?? Infinity,
            idleTimeoutMs: limits?.idleTimeoutMs ?? 0,
            memory,
        };
        readCallBody(incoming, bodyOptions, read => {
            if (read.type === "tooLarge") return refuse(incoming, response, { code: "BODY_TOO_LARGE" });
            if (read.type === "noMemory")
                return refuse(incoming, response, { code: "OVERLOADED", retryAfterMs: otherRouterRetryAfterMs });
            if (read.type === "stalled") return refuse(incoming, response, { code: "BODY_TIMEOUT" });
            if (read.type === "callerGone") return;
            const { head, route } = described;
            const call: OpenCall = {
                requestId: opts.createRequestId(),
                head,
                kind: route.kind,
                removeCredential: opts.view.getRoutes()?.needsCredentials ?? true,
                incoming,
                response,
                body: read.body,
                lastEventId: head.lastEventId,
            };
            runAfterPoll(() => submit(call, described, arrivedAt));
        });
    };

    const startAttempt = (effect: StartAttemptEffect): void => {
        const { requestId, attempt } = effect;
        const call = calls.get(requestId);
        if (call === undefined) return dispatchUnsent(effect);
        call.failure = undefined;
        const cancel = runAttempt(call, effect, {
            headerCodec: opts.headerCodec,
            connections: opts.connections,
            onStarted: load => dispatch({ type: "attemptStarted", requestId, attempt, load }),
            onEnded: end => {
                cancellations.delete(requestId);
                dispatch({ type: "attemptFinished", requestId, attempt, ...end });
            },
        });
        cancellations.set(requestId, cancel);
    };

    const dispatchUnsent = ({ requestId, attempt }: StartAttemptEffect): void =>
        dispatch({
            type: "attemptFinished",
            requestId,
            attempt,
            result: "unsent",
            responseStarted: false,
            reason: "the caller has gone",
        });

    const cancelAttempt = ({ requestId }: CancelAttemptEffect): void => {
        cancellations.get(requestId)?.();
        cancellations.delete(requestId);
    };

    const failRequest = ({ requestId, code, retryAfterMs }: FailRequestEffect): void => {
        const call = calls.get(requestId);
        if (call === undefined) return;
        // A caller that is to come back does so on a new connection; this one would stay open for nothing.
        sendFailure(call.response, code, { retryAfterMs, close: opts.isDraining() || retryAfterMs !== undefined });
    };

    const relayFailure = ({ requestId }: { readonly requestId: string; }): void => {
        const call = calls.get(requestId);
        if (call === undefined) return;
        const { failure } = call;
        if (failure === undefined || !mayRelayStatus(failure.status)) sendFailure(call.response, "TARGET_BROKEN");
        else sendWhole(call, failure.status, failure.headers, failure.body);
    };

    const breakAnswer = ({ requestId }: { readonly requestId: string; }): void => {
        const call = calls.get(requestId);
        if (call === undefined) return;
        if (call.response.headersSent) call.response.destroy();
        else sendFailure(call.response, "TARGET_BROKEN");
    };

    return {
        serveCall,
        startAttempt,
        cancelAttempt,
        failRequest,
        relayFailure,
        breakAnswer,
        countOpen: () => calls.size,
    };
}

export type Forwarder = ReturnType<typeof createForwarder>;
