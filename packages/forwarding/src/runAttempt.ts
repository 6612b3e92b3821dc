/** Runs one attempt of a call: sends it to a target, validates the response and relays it to the caller. */
import type { MemoryReservation } from "@rhubarbwheel/bytes/createMemoryBudget";
import type { PlacedAttemptResult, ReportedLoad, TargetNotice } from "@rhubarbwheel/types/placement";
import type { StartAttemptEffect } from "@rhubarbwheel/types/placement-events";
import type { Dispatcher } from "undici";
import { checkResponse } from "./checkResponse.js";
import type { Connection, ConnectionPool } from "./createConnectionPool.js";
import { createResponseRelay } from "./createResponseRelay.js";
import type { RelayOutcome, ResponseRelay } from "./createResponseRelay.js";
import type { HeaderCodec, Headers } from "./headerCodec.js";
import type { OpenCall } from "./openCall.js";

export interface AttemptOutcome {
    readonly result: PlacedAttemptResult;
    readonly responseStarted: boolean;
    readonly load?: ReportedLoad;
    readonly reason?: string;
    /** Whether the response exceeded a limit of this router. */
    readonly isCutOff?: boolean;
}

export interface AttemptContext {
    readonly headerCodec: HeaderCodec;
    readonly connectionPool: ConnectionPool;
    readonly getNow: () => number;
    /** Memory for what is received of the response. */
    readonly reservation: MemoryReservation;
    readonly onStarted: (load: ReportedLoad | undefined) => void;
    /** Called with the number of events of a stream that the attempt has sent to the caller. */
    readonly onEvents: (eventCount: number) => void;
    /** Called with what the target says about itself, before the attempt starts or finishes. */
    readonly onNotice: (notice: TargetNotice) => void;
    /** Called exactly once, unless the attempt is cancelled by the function that `runAttempt` returns. */
    readonly onFinished: (outcome: AttemptOutcome) => void;
}

/** Results after which the connection can be reused if the whole response has been read. */
const reusableResults: readonly PlacedAttemptResult[] = ["complete", "rejected", "misdirected", "failed"];

/** Maximum number of informational responses (1xx) before the final one; a faulty target may send them without end. */
const maxInformationalResponses = 8;

/** Code of the error of undici for headers or trailers above its size limit. */
const headersOverflowCode = "UND_ERR_HEADERS_OVERFLOW";

function formatError(error: Error): string {
    const { code } = error as NodeJS.ErrnoException;
    return code ?? error.message;
}

/** Returns the idle timeout in milliseconds from the `Keep-Alive` header. */
function parseKeepAliveTimeout(headers: Headers): number | undefined {
    const seconds = /timeout=(\d+)/.exec(String(headers["keep-alive"] ?? ""))?.[1];
    return seconds === undefined ? undefined : Number(seconds) * 1_000;
}

/** Starts the attempt. The returned function cancels it. */
export function runAttempt(call: OpenCall, effect: StartAttemptEffect, context: AttemptContext): () => void {
    try {
        const connection = context.connectionPool.acquire(effect.address, effect.mayReuseConnection);
        return runAttemptOn(connection, call, effect, context);
    }
    catch (error) {
        // The address is not one to connect to, or the headers or the method are not what undici accepts.
        const reason = formatError(error as Error);
        let isCancelled = false;
        queueMicrotask(() => {
            if (!isCancelled)
                context.onFinished({ result: "unsent", responseStarted: call.response.headersSent, reason });
        });
        return () => {
            isCancelled = true;
        };
    }
}

/** Throws, with nothing sent and the connection destroyed, if the call cannot be sent to any target. */
function runAttemptOn(
    connection: Connection,
    call: OpenCall,
    effect: StartAttemptEffect,
    context: AttemptContext,
): () => void {
    const { headerCodec, connectionPool } = context;
    let controller: Dispatcher.DispatchController | undefined;
    let relay: ResponseRelay | undefined;
    let load: ReportedLoad | undefined;
    let loadReceivedAt = 0;
    /** Whether the response has a length or chunks; otherwise it ends when the connection closes. */
    let isSelfDelimited = true;
    let isSent = false;
    let isResponseRead = false;
    let informationalResponses = 0;
    let isFinished = false;

    const getLoad = (): ReportedLoad | undefined =>
        load === undefined ? undefined : { ...load, ageMs: context.getNow() - loadReceivedAt };

    const pause = (): void => {
        connection.isPaused = true;
        connection.reads?.pause();
    };

    const resume = (): void => {
        if (isFinished) return;
        connection.isPaused = false;
        connection.reads?.resume();
    };

    const finishAttempt = (result: PlacedAttemptResult, details: Partial<AttemptOutcome> = {}): void => {
        if (isFinished) return;
        isFinished = true;
        relay?.flush();
        if (isResponseRead && reusableResults.includes(result)) connectionPool.release(connection);
        else connectionPool.destroy(connection);
        context.onFinished({ result, responseStarted: relay?.hasStarted() ?? false, load: getLoad(), ...details });
    };

    const failAttempt = (reason: string, isCutOff?: boolean): void => {
        finishAttempt(isSent ? "broken" : "unsent", { reason, isCutOff });
        controller?.abort(new Error(reason));
    };

    /** Ends the attempt without reading the rest of the response. */
    const abortResponse = (outcome: RelayOutcome): void => {
        finishAttempt(outcome.result, outcome);
        controller?.abort(new Error(outcome.reason));
    };

    const handleResponseHead = (status: number, headers: Headers): void => {
        const metadata = headerCodec.parseResponseHeaders(status, headers);
        connection.keepAliveTimeoutMs = parseKeepAliveTimeout(headers);
        const check = checkResponse(call, status, metadata);
        if (check.type === "invalid") return failAttempt(check.reason);
        // A misdirected call was answered by another target.
        if (check.type !== "misdirected") {
            context.onNotice(metadata.notice);
            load = metadata.load;
            loadReceivedAt = context.getNow();
        }
        if (check.type === "failed") return abortResponse({ result: "failed", reason: check.reason });
        isSelfDelimited = headers["content-length"] !== undefined || headers["transfer-encoding"] !== undefined;
        relay = createResponseRelay(call, {
            status,
            headers: headerCodec.filterResponseHeaders(headers),
            check,
            reservation: context.reservation,
            pause,
            resume,
            onStarted: () => context.onStarted(getLoad()),
            onEvents: context.onEvents,
        });
    };

    const finishResponse = (): void => {
        if (isFinished) return;
        // A self-delimited response is complete once all of it has arrived, even if the connection breaks afterwards.
        if (!isSelfDelimited && connection.hasSocketError)
            return failAttempt("the connection was reset before the end of the response");
        isResponseRead = true;
        const outcome = relay?.finish();
        if (outcome === undefined) return failAttempt("the response ended before its headers");
        if (outcome.result === "broken") return failAttempt(outcome.reason ?? "the response is incomplete");
        finishAttempt(outcome.result, outcome);
    };

    const handler: Dispatcher.DispatchHandler = {
        /** Called before the first byte is written to the connection. */
        onRequestStart: newController => {
            if (isFinished) return newController.abort(new Error("the attempt has already finished"));
            controller = newController;
            // undici retries some requests on a new connection, which would send the call twice.
            if (isSent) return failAttempt("the connection was lost before the response");
            isSent = true;
        },
        onResponseStart: (_controller, status, headers) => {
            if (isFinished) return;
            if (status >= 200) return handleResponseHead(status, headers as Headers);
            if (status < 100) return failAttempt(`${status} is not a status`);
            informationalResponses += 1;
            if (informationalResponses > maxInformationalResponses)
                failAttempt("too many informational responses", true);
        },
        onResponseData: (_controller, chunk) => {
            connection.body.bytes += chunk.length;
            connection.body.pieces += 1;
            if (isFinished) return;
            const outcome = relay?.push(chunk);
            if (outcome !== undefined) abortResponse(outcome);
        },
        onResponseEnd: () => {
            if (isSelfDelimited) finishResponse();
            // Whether the connection was closed or reset is known only in the next iteration of the event loop.
            else setImmediate(finishResponse);
        },
        onResponseError: (_controller, error) => {
            const reason = formatError(error);
            finishAttempt(isSent ? "broken" : "unsent", { reason, isCutOff: reason === headersOverflowCode });
        },
    };

    try {
        connection.client.dispatch({
            path: call.incoming.url ?? "/",
            method: call.incoming.method as Dispatcher.HttpMethod,
            headers: headerCodec.createTargetHeaders(call.incoming.rawHeaders, {
                target: effect.target,
                prefixSourceAddress: effect.prefixSourceAddress,
                workspace: effect.workspace,
                timeLimitMs: effect.timeLimitMs,
                lastEventId: call.lastEventId,
                removeCredential: call.removeCredential,
            }),
            body: call.body.length === 0 ? undefined : call.body,
        }, handler);
    }
    catch (error) {
        isFinished = true;
        connectionPool.destroy(connection);
        throw error;
    }

    return () => {
        if (isFinished) return;
        isFinished = true;
        relay?.flush();
        controller?.abort(new Error("the attempt was cancelled"));
        connectionPool.destroy(connection);
    };
}
