/** Writes the response to a call, as a plain body or as server-sent events. */
import type { CallFailure, CallResponder } from "@rhubarbwheel/types/ports";
import type { ServerResponse } from "node:http";
import { filterResponseHeaders } from "./filterHeaders.js";
import type { HttpLimits } from "./httpServerOptions.js";
import { formatError, sendError } from "./sendError.js";

export interface CallResponderOptions {
    readonly res: ServerResponse;
    readonly requestId: string;
    /** Added to every response, for example `idempotency-key`. */
    readonly headers: Readonly<Record<string, string>>;
    readonly limits: Pick<HttpLimits, "slowReaderTimeoutMs" | "maxBufferedBytes">;
    /** Called at most once, if the connection closes before the call has ended. */
    readonly onDisconnect: () => void;
}

export function createCallResponder(opts: CallResponderOptions): CallResponder {
    const { res, requestId, limits } = opts;
    let state: "pending" | "started" | "ended" = "pending";
    let isEventStream = false;
    let remainingBytes: number | undefined;

    res.once("close", () => {
        if (state === "ended") return;
        state = "ended";
        opts.onDisconnect();
    });

    const isClosed = (): boolean => res.destroyed || res.closed;
    const abortConnection = (): void => {
        res.destroy();
    };

    /**
     * Flushes the headers before the abort: a caller that has received no byte could assume that an idle connection was
     * closed, and retry the call.
     */
    const abortStartedResponse = (): void => {
        if (isClosed()) return;
        res.flushHeaders();
        setImmediate(abortConnection);
    };

    /** Aborts the connection if the caller does not read the rest of the response within the timeout. */
    const startFlushTimer = (): void => {
        if (res.writableFinished || isClosed()) return;
        const timer = setTimeout(abortConnection, limits.slowReaderTimeoutMs);
        res.once("close", () => clearTimeout(timer));
        res.once("finish", () => clearTimeout(timer));
    };

    const start = (status: number, headers: Readonly<Record<string, string>>): void => {
        if (state !== "pending" || isClosed()) return;
        if (!Number.isInteger(status) || status < 200 || status > 599) {
            fail({ code: "TARGET_ANSWER_INVALID", outcome: "unknown", detail: `The status is ${status}.` });
            return;
        }
        state = "started";
        const filteredHeaders = filterResponseHeaders(headers);
        isEventStream = /^text\/event-stream\b/i.test(filteredHeaders["content-type"] ?? "")
            && filteredHeaders["content-encoding"] === undefined;
        const hasBody = res.req.method !== "HEAD" && status !== 204 && status !== 304;
        const contentLength = filteredHeaders["content-length"];
        if (hasBody && (isEventStream || !/^\d{1,15}$/.test(contentLength ?? "")))
            delete filteredHeaders["content-length"];
        else if (hasBody) remainingBytes = Number(contentLength);
        res.writeHead(status, {
            ...filteredHeaders,
            ...opts.headers,
            "rhubarbwheel-request-id": requestId,
            "rhubarbwheel-outcome": "complete",
        });
        // Shows the caller of an event stream that the response has started, before the first event.
        if (isEventStream) res.flushHeaders();
    };

    const write = (chunk: Uint8Array): boolean => {
        if (state !== "started" || isClosed()) return false;
        if (remainingBytes !== undefined) remainingBytes -= chunk.byteLength;
        if (remainingBytes !== undefined && remainingBytes < 0) {
            // Bytes beyond content-length would be read as the next response on the connection.
            abortConnection();
            return false;
        }
        const ready = res.write(chunk);
        if (res.writableLength > limits.maxBufferedBytes) abortConnection();
        return ready;
    };

    const waitForDrain = (): Promise<void> =>
        new Promise((resolve, reject) => {
            if (isClosed()) {
                reject(new Error("The caller disconnected."));
                return;
            }
            if (!res.writableNeedDrain) {
                resolve();
                return;
            }
            const timer = setTimeout(abortConnection, limits.slowReaderTimeoutMs);
            const onDrain = (): void => {
                clearTimeout(timer);
                res.off("close", onClose);
                resolve();
            };
            const onClose = (): void => {
                clearTimeout(timer);
                res.off("drain", onDrain);
                reject(new Error("The caller disconnected, or did not read within the timeout."));
            };
            res.once("drain", onDrain);
            res.once("close", onClose);
        });

    const finish = (): void => {
        if (state !== "started") return;
        state = "ended";
        if (remainingBytes !== undefined && remainingBytes !== 0) {
            abortStartedResponse();
            return;
        }
        res.end();
        startFlushTimer();
    };

    const fail = (failure: CallFailure): void => {
        const previousState = state;
        if (previousState === "ended") return;
        state = "ended";
        if (previousState === "pending") {
            for (const [name, value] of Object.entries(opts.headers)) res.setHeader(name, value);
            sendError(res, requestId, failure);
            startFlushTimer();
        }
        else if (isEventStream && !isClosed()) {
            // The leading empty line terminates an event that was truncated.
            res.write(`\n\nevent: error\ndata: ${formatError(failure, requestId)}\n\n`, abortConnection);
            startFlushTimer();
        }
        else { abortStartedResponse(); }
    };

    return { start, write, waitForDrain, finish, fail };
}
