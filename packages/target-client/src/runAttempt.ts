/** Runs one attempt of a call at one target. */
import type { AttemptEnd, AttemptOptions, Call } from "@rhubarbwheel/types/ports";
import type { Dispatcher } from "undici";
import { checkResponse } from "./checkResponse.js";
import { computeCost } from "./computeCost.js";
import { createResponseReader } from "./createResponseReader.js";
import type { ResponseReader } from "./createResponseReader.js";
import { createResponseWriter } from "./createResponseWriter.js";
import { getErrorReason } from "./getErrorReason.js";
import { createRequestHeaders, filterResponseHeaders, readHeader } from "./targetHeaders.js";
import type { ResponseHeaders } from "./targetHeaders.js";
import type { TargetLimits } from "./targetLimits.js";

/** State of a call's response across its attempts. */
export interface CallProgress {
    /** Request id of the attempt that started the stream. */
    streamId: string | undefined;
    /** Number of `data:` events relayed by all attempts. */
    eventCount: number;
    /** Total cost of the attempts that have ended. */
    earlierCost: number;
    /** Whether status and headers have been sent to the caller. */
    responseStarted: boolean;
}

export interface AttemptContext {
    readonly dispatcher: Dispatcher;
    readonly getNow: () => number;
    readonly limits: TargetLimits;
    readonly progress: CallProgress;
    /** Releases the resources that only this attempt uses. */
    readonly destroy: () => void;
}

/** Maximum number of bytes after the end of a response that are read before the connection is closed. */
const maxTrailingBytes = 65_536;

export function runAttempt(
    call: Call,
    opts: AttemptOptions,
    context: AttemptContext,
): { readonly cancel: () => void; } {
    const { getNow, limits, progress } = context;
    const requestId = `${call.id}.${opts.attempt}`;
    const resuming = opts.resume && progress.streamId !== undefined;
    const earlierEventCount = progress.eventCount;
    const costOptions = { costPerCall: opts.costPerCall, resuming, earlierCost: progress.earlierCost };
    let controller: Dispatcher.DispatchController | undefined;
    let reader: ResponseReader | undefined;
    let isSent = false;
    /** The result is decided; only queued bytes are still to be written. */
    let isEnding = false;
    let ended = false;
    let callerDisconnected = false;
    let informationalCount = 0;
    let trailingBytes = 0;
    let startId: string | undefined;
    let startResponse: (() => void) | undefined;
    let lastProgressReportAt = getNow();

    const end = (result: AttemptEnd["result"], reason?: string): void => {
        if (ended) return;
        isEnding = true;
        ended = true;
        // A broken attempt is charged too: otherwise a workspace whose calls never complete would use slots for free.
        const cost = result === "refused" ? 0 : computeCost(call, reader, costOptions);
        progress.earlierCost += cost;
        progress.eventCount = earlierEventCount + (reader?.countEvents() ?? 0);
        context.destroy();
        opts.observer.onEnded({
            result,
            sent: isSent,
            responseStarted: progress.responseStarted,
            cost,
            startId,
            reason,
        });
    };

    /** Ends the attempt once its queued bytes have been written, because a resumed stream must follow them. */
    const endAfterFlush = (result: AttemptEnd["result"], reason?: string): void => {
        if (isEnding) return;
        isEnding = true;
        if (result !== "complete") controller?.abort(new Error(reason));
        writer.flush().catch(() => undefined).then(() => end(result, reason));
    };

    const fail = (reason: string): void => endAfterFlush(isSent ? "broken" : "refused", reason);

    const writer = createResponseWriter(call.responder, {
        pause: () => controller?.pause(),
        resume: () => controller?.resume(),
        onCallerDisconnected: () => {
            callerDisconnected = true;
            // A non-idempotent call runs to its end even if the caller cannot receive the response.
            if (call.idempotent) fail("caller disconnected");
            else controller?.resume();
        },
    });

    const relayChunk = (chunk: Uint8Array): void => {
        if (callerDisconnected) return;
        startResponse?.();
        startResponse = undefined;
        if (chunk.length > 0) writer.write(chunk);
    };

    const reportProgress = (): void => {
        const now = getNow();
        if (now - lastProgressReportAt < limits.progressIntervalMs) return;
        lastProgressReportAt = now;
        opts.observer.onProgress(computeCost(call, reader, costOptions));
    };

    /** Defers the start of the response to the caller until the first bytes of the body are relayed. */
    const prepareResponse = (status: number, headers: ResponseHeaders, isStream: boolean): void => {
        const relayedHeaders = filterResponseHeaders(headers, { keepLength: !isStream });
        startResponse = () => {
            progress.responseStarted = true;
            if (isStream) progress.streamId = requestId;
            call.responder.start(status, relayedHeaders);
        };
    };

    const handleResponseStart = (status: number, headers: ResponseHeaders): void => {
        startId = readHeader(headers, "x-start-id");
        const check = checkResponse(call, { requestId, status, headers, resuming });
        if (check.type === "invalid") return fail(check.reason);
        if (check.type === "notRun") return endAfterFlush("refused", check.reason);
        reader = createResponseReader(check.form, relayChunk, limits);
        if (!resuming) prepareResponse(status, headers, check.form === "events");
        opts.observer.onAccepted(startId);
    };

    const handleData = (chunk: Buffer): void => {
        if (isEnding) {
            trailingBytes += chunk.length;
            if (trailingBytes > maxTrailingBytes) controller?.abort(new Error("bytes after the end of the response"));
            return;
        }
        const invalidReason = reader?.push(chunk);
        if (invalidReason !== undefined) return fail(invalidReason);
        if (reader?.isComplete() === true) endAfterFlush("complete");
        else reportProgress();
    };

    const handleResponseEnd = (): void => {
        if (isEnding) return;
        const failureReason = reader?.end();
        if (failureReason === undefined) endAfterFlush("complete");
        else fail(failureReason);
    };

    const handler: Dispatcher.DispatchHandler = {
        /** Called before the first byte is written to a connection. */
        onRequestStart: dispatchController => {
            if (isEnding) return dispatchController.abort(new Error("attempt has ended"));
            controller = dispatchController;
            // undici may restart a request on a new connection, which would send the call twice.
            if (isSent) return fail("request restarted on a new connection");
            isSent = true;
        },
        onResponseStart: (_controller, status, headers) => {
            if (isEnding) return;
            if (status >= 200) return handleResponseStart(status, headers);
            if (status < 100) return fail(`${status} is not a status`);
            informationalCount += 1;
            if (informationalCount > limits.maxInformationalResponses) fail("too many informational responses");
        },
        onResponseData: (_controller, chunk) => handleData(chunk),
        onResponseEnd: handleResponseEnd,
        onResponseError: (_controller, error) => fail(getErrorReason(error)),
    };

    const baseUrl = new URL(opts.address);
    const resume = resuming ? `${progress.streamId ?? ""};${earlierEventCount}` : undefined;
    context.dispatcher.dispatch({
        origin: baseUrl.origin,
        path: baseUrl.pathname.replace(/\/$/, "") + call.path,
        method: call.method as Dispatcher.HttpMethod,
        headers: createRequestHeaders(call, requestId, resume),
        body: call.body.length === 0 ? undefined : call.body,
        headersTimeout: opts.answerTimeoutMs,
        bodyTimeout: opts.answerTimeoutMs,
        reset: !call.idempotent,
    }, handler);

    const cancel = (): void => {
        end(isSent ? "broken" : "refused", "cancelled");
        controller?.abort(new Error("cancelled"));
    };
    return { cancel };
}
