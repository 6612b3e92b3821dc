/** Serves calls: reads them, dispatches them to the reducer and runs the effects that the reducer returns. */
import { createMemoryBudget, type MemoryReservation } from "@rhubarbwheel/bytes/createMemoryBudget";
import type { FleetView } from "@rhubarbwheel/fleet-view/createFleetView";
import { otherRouterRetryAfterMs } from "@rhubarbwheel/routing/computeRetryAfterMs";
import type { TargetNotice } from "@rhubarbwheel/types/placement";
import type {
    CancelAttemptEffect,
    FailRequestEffect,
    PlacementEvent,
    StartAttemptEffect,
} from "@rhubarbwheel/types/placement-events";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { ConnectionPool } from "./createConnectionPool.js";
import { createProgressReporter } from "./createProgressReporter.js";
import { sendBufferedResponse } from "./createResponseRelay.js";
import type { HeaderCodec } from "./headerCodec.js";
import { mayRelayStatus, type OpenCall } from "./openCall.js";
import { readCallBody } from "./readCallBody.js";
import { type CallRefusal, routeCall, type RoutedCall } from "./routeCall.js";
import { runAttempt } from "./runAttempt.js";
import { sendErrorResponse } from "./sendErrorResponse.js";

type WithoutNow<T> = T extends unknown ? Omit<T, "now"> : never;

export interface ForwarderOptions {
    readonly view: FleetView;
    readonly headerCodec: HeaderCodec;
    readonly connectionPool: ConnectionPool;
    readonly dispatch: (event: WithoutNow<PlacementEvent>) => void;
    readonly getNow: () => number;
    /** Random number in [0, 1). */
    readonly random: () => number;
    readonly createRequestId: () => string;
    readonly isDraining: () => boolean;
    /** Whether caller connections stay open after a response; false while there are too many calls or connections. */
    readonly mayKeepConnections: () => boolean;
    /** Memory limit for the bodies of all open calls, and for what is held of their responses. */
    readonly maxBodyMemoryBytes: number;
    /** Whether a target named a rate limit that a response without one withdraws. */
    readonly hasRateLimit: (target: string) => boolean;
    /** Called for each call that ends before it reaches the reducer. */
    readonly onCallRefused: (incoming: IncomingMessage, refusal: CallRefusal) => void;
}

/** Errors that leave unread bytes of the call on the connection, so that no further call can be read from it. */
const closeConnectionCodes: readonly string[] = ["BODY_TOO_LARGE", "HEADERS_TOO_LARGE", "BODY_TIMEOUT"];

/** Owner of the memory of all bodies of calls. */
const callersOwner = "callers";

/** Maximum fraction of the memory for bodies of calls, so that some is left for their responses. */
const maxCallersMemoryRatio = 0.75;

/** Maximum fraction of the memory for the responses of one target, so that a faulty one leaves some for the others. */
const maxTargetMemoryRatio = 0.25;

/** Runs `action` after the event loop has polled for input, such as the end of a connection that was just read from. */
function runAfterPoll(action: () => void): void {
    // The first callback runs before the next poll, the second one after it.
    setImmediate(() => setImmediate(action));
}

/** Whether the caller has closed its connection or its sending side, so that nobody would read the response. */
function isCallerDisconnected({ incoming, response }: OpenCall): boolean {
    return response.destroyed || incoming.socket.destroyed || incoming.socket.readableEnded;
}

/** Closes the caller's connection after what was written. A pipelined response gets it when those before it have ended. */
function closeAfterSending(response: ServerResponse): void {
    if (response.socket) return response.socket.destroySoon();
    response.once("socket", (socket: Socket) => process.nextTick(() => socket.destroySoon()));
}

export function createForwarder(opts: ForwarderOptions) {
    const { dispatch } = opts;
    const memoryBudget = createMemoryBudget({
        maxBytes: opts.maxBodyMemoryBytes,
        getMaxOwnerBytes: owner =>
            opts.maxBodyMemoryBytes * (owner === callersOwner ? maxCallersMemoryRatio : maxTargetMemoryRatio),
    });
    const openCalls = new Map<string, OpenCall>();
    /** Memory of the response to the last attempt of each request, which an open call or attempt may use. */
    const responseMemory = new Map<string, MemoryReservation>();
    const progress = createProgressReporter({
        getNow: opts.getNow,
        onProgress: attempts => dispatch({ type: "attemptsProgressed", attempts }),
    });
    /** Functions that cancel the in-flight attempts, by request id. An attempt may outlive its call. */
    const cancelFunctions = new Map<string, () => void>();

    const refuse = (incoming: IncomingMessage, response: ServerResponse, refusal: CallRefusal): void => {
        opts.onCallRefused(incoming, refusal);
        const closeConnection = closeConnectionCodes.includes(refusal.code) || opts.isDraining()
            || refusal.retryAfterMs !== undefined;
        sendErrorResponse(response, refusal.code, { ...refusal, closeConnection });
        if (!incoming.complete) incoming.resume();
    };

    /** Drops a call whose caller has already disconnected, as happens when a busy router reads calls late. */
    const dropAbandonedCall = (call: OpenCall): void => {
        call.bodyMemory.release();
        opts.onCallRefused(call.incoming, { code: "CALLER_GONE" });
        call.response.destroy();
    };

    const releaseResponseMemory = (requestId: string): void => {
        if (openCalls.has(requestId) || cancelFunctions.has(requestId)) return;
        responseMemory.get(requestId)?.release();
        responseMemory.delete(requestId);
    };

    const submit = (call: OpenCall, routed: RoutedCall, arrivedAt: number): void => {
        const { metadata, route, service, access, regions } = routed;
        const { requestId } = call;
        if (isCallerDisconnected(call)) return dropAbandonedCall(call);
        openCalls.set(requestId, call);
        call.response.once("close", () => {
            if (!call.response.writableFinished) dispatch({ type: "callerGone", requestId });
            openCalls.delete(requestId);
            call.bodyMemory.release();
            releaseResponseMemory(requestId);
        });
        const elapsedMs = opts.getNow() - arrivedAt;
        dispatch({
            type: "requestRouted",
            request: {
                requestId,
                callerId: metadata.callerId,
                route: route.name,
                service,
                workspace: access?.workspace,
                kind: route.kind,
                resumable: route.resumable,
                maxAttempts: route.maxAttempts,
                latencyTargetMs: route.latencyTargetMs,
                timeLimitMs: Math.min(route.timeoutMs, metadata.deadlineMs ?? Infinity) - elapsedMs,
                regions,
                prompt: metadata.prompt,
                resumption: metadata.lastEventId === undefined || route.kind !== "stream" || !route.resumable
                    ? undefined
                    : { callerId: metadata.resumedCallerId },
            },
        });
    };

    const serveCall = (incoming: IncomingMessage, response: ServerResponse): void => {
        const arrivedAt = opts.getNow();
        // Closing the connection makes the caller open its next one to another router.
        if (opts.isDraining() || !opts.mayKeepConnections()) response.shouldKeepAlive = false;
        const routed = routeCall(incoming, {
            view: opts.view,
            headerCodec: opts.headerCodec,
            now: arrivedAt,
            random: opts.random(),
        });
        if ("code" in routed) return refuse(incoming, response, routed);
        const limits = opts.view.getConfiguration()?.limits;
        const bodyOptions = {
            maxBytes: limits?.maxBodyBytes ?? Infinity,
            idleTimeoutMs: limits?.idleTimeoutMs ?? 0,
            reservation: memoryBudget.open(callersOwner),
        };
        readCallBody(incoming, bodyOptions, readResult => {
            if (readResult.type === "tooLarge") return refuse(incoming, response, { code: "BODY_TOO_LARGE" });
            if (readResult.type === "noMemory")
                return refuse(incoming, response, { code: "OVERLOADED", retryAfterMs: otherRouterRetryAfterMs });
            if (readResult.type === "stalled") return refuse(incoming, response, { code: "BODY_TIMEOUT" });
            if (readResult.type === "callerGone") return;
            const { metadata, route } = routed;
            const call: OpenCall = {
                requestId: opts.createRequestId(),
                metadata,
                kind: route.kind,
                removeCredential: opts.view.getRoutes()?.needsCredentials ?? true,
                incoming,
                response,
                body: readResult.body,
                bodyMemory: bodyOptions.reservation,
                lastEventId: metadata.lastEventId,
            };
            runAfterPoll(() => submit(call, routed, arrivedAt));
        });
    };

    const dispatchNotice = (effect: StartAttemptEffect, notice: TargetNotice, sentAt: number): void => {
        const { requestId, target, targetStartedAtUnixMs } = effect;
        const isEmpty = !notice.isLeaving && notice.pauseMs === undefined && notice.rateLimit === "none";
        if (isEmpty && !opts.hasRateLimit(target)) return;
        dispatch({ type: "targetNoticed", requestId, target, targetStartedAtUnixMs, notice, sentAt });
    };

    const startAttempt = (effect: StartAttemptEffect): void => {
        const { requestId, attempt } = effect;
        const sentAt = opts.getNow();
        const call = openCalls.get(requestId);
        if (call === undefined) return dispatchUnsent(effect);
        call.failure = undefined;
        responseMemory.get(requestId)?.release();
        const reservation = memoryBudget.open(`target ${effect.target}`);
        responseMemory.set(requestId, reservation);
        let eventCount = 0;
        const cancel = runAttempt(call, effect, {
            headerCodec: opts.headerCodec,
            connectionPool: opts.connectionPool,
            getNow: opts.getNow,
            reservation,
            onNotice: notice => dispatchNotice(effect, notice, sentAt),
            onStarted: load => dispatch({ type: "attemptStarted", requestId, attempt, load }),
            onEvents: count => {
                eventCount = count;
                progress.record({ requestId, attempt, eventCount });
            },
            onFinished: outcome => {
                cancelFunctions.delete(requestId);
                progress.remove(requestId);
                releaseResponseMemory(requestId);
                dispatch({ type: "attemptFinished", requestId, attempt, eventCount, ...outcome });
            },
        });
        cancelFunctions.set(requestId, cancel);
    };

    const dispatchUnsent = ({ requestId, attempt }: StartAttemptEffect): void =>
        dispatch({
            type: "attemptFinished",
            requestId,
            attempt,
            result: "unsent",
            responseStarted: false,
            reason: "the caller has disconnected",
        });

    const cancelAttempt = ({ requestId }: CancelAttemptEffect): void => {
        cancelFunctions.get(requestId)?.();
        cancelFunctions.delete(requestId);
        progress.remove(requestId);
        releaseResponseMemory(requestId);
    };

    const failRequest = ({ requestId, code, retryAfterMs }: FailRequestEffect): void => {
        const call = openCalls.get(requestId);
        if (call === undefined) return;
        // A caller that is told to retry later does so on a new connection, so this one would stay open unused.
        sendErrorResponse(call.response, code, {
            retryAfterMs,
            closeConnection: opts.isDraining() || retryAfterMs !== undefined,
        });
    };

    const relayFailure = ({ requestId }: { readonly requestId: string; }): void => {
        const call = openCalls.get(requestId);
        if (call === undefined) return;
        const { failure } = call;
        if (failure === undefined || !mayRelayStatus(failure.status)) sendErrorResponse(call.response, "TARGET_BROKEN");
        else sendBufferedResponse(call, failure.status, failure.headers, failure.body);
    };

    const breakAnswer = ({ requestId }: { readonly requestId: string; }): void => {
        const call = openCalls.get(requestId);
        if (call === undefined) return;
        const { response } = call;
        if (!response.headersSent) sendErrorResponse(response, "TARGET_BROKEN");
        // Events that were just written are still delivered, unless the caller does not read them.
        else if (response.writableNeedDrain) response.destroy();
        else closeAfterSending(response);
    };

    return {
        serveCall,
        startAttempt,
        cancelAttempt,
        failRequest,
        relayFailure,
        breakAnswer,
        countOpenCalls: () => openCalls.size,
    };
}

export type Forwarder = ReturnType<typeof createForwarder>;
