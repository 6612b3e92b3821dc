/** Writes the answer of a call to its caller, plain or as server-sent events. */
import type { CallFailure, CallResponder } from "@rhubarbwheel/types/ports";
import type { ServerResponse } from "node:http";
import { filterResponseHeaders } from "./filterHeaders.js";
import type { HttpLimits } from "./httpServerOptions.js";
import { formatError, sendError } from "./sendError.js";

export interface ResponderOptions {
    readonly res: ServerResponse;
    readonly requestId: string;
    /** Sent with every answer that begins, for example `idempotency-key`. */
    readonly headers: Readonly<Record<string, string>>;
    readonly limits: Pick<HttpLimits, "slowReaderTimeoutMs" | "maxBufferedBytes">;
    /** Called at most once, when the connection closes before the call has ended. */
    readonly onHangUp: () => void;
}

export function createCallResponder(opts: ResponderOptions): CallResponder {
    const { res, requestId, limits } = opts;
    let state: "waiting" | "begun" | "ended" = "waiting";
    let isEventStream = false;
    let remainingBytes: number | undefined;

    res.once("close", () => {
        if (state === "ended") return;
        state = "ended";
        opts.onHangUp();
    });

    const isGone = (): boolean => res.destroyed || res.closed;
    const cutOff = (): void => {
        res.destroy();
    };

    /** Sends what was begun first: a caller that got no byte might take the connection for idle and send the call again. */
    const cutOffBegun = (): void => {
        if (isGone()) return;
        res.flushHeaders();
        setImmediate(cutOff);
    };

    /** Cuts off a caller that does not read the last bytes. */
    const awaitFlush = (): void => {
        if (res.writableFinished || isGone()) return;
        const timer = setTimeout(cutOff, limits.slowReaderTimeoutMs);
        res.once("close", () => clearTimeout(timer));
        res.once("finish", () => clearTimeout(timer));
    };

    const begin = (status: number, headers: Readonly<Record<string, string>>): void => {
        if (state !== "waiting" || isGone()) return;
        if (!Number.isInteger(status) || status < 200 || status > 599) {
            fail({ code: "TARGET_ANSWER_INVALID", outcome: "unknown", detail: `The status is ${status}.` });
            return;
        }
        state = "begun";
        const kept = filterResponseHeaders(headers);
        isEventStream = /^text\/event-stream\b/i.test(kept["content-type"] ?? "")
            && kept["content-encoding"] === undefined;
        const hasBody = res.req.method !== "HEAD" && status !== 204 && status !== 304;
        const length = kept["content-length"];
        if (hasBody && (isEventStream || !/^\d{1,15}$/.test(length ?? ""))) delete kept["content-length"];
        else if (hasBody) remainingBytes = Number(length);
        res.writeHead(status, {
            ...kept,
            ...opts.headers,
            "rhubarbwheel-request-id": requestId,
            "rhubarbwheel-outcome": "complete",
        });
        // The caller of a stream learns that it has begun before the first event.
        if (isEventStream) res.flushHeaders();
    };

    const write = (chunk: Uint8Array): boolean => {
        if (state !== "begun" || isGone()) return false;
        if (remainingBytes !== undefined) remainingBytes -= chunk.byteLength;
        if (remainingBytes !== undefined && remainingBytes < 0) {
            // More bytes than announced would be read as the next answer of the connection.
            cutOff();
            return false;
        }
        const ready = res.write(chunk);
        if (res.writableLength > limits.maxBufferedBytes) cutOff();
        return ready;
    };

    const waitForDrain = (): Promise<void> =>
        new Promise((resolve, reject) => {
            if (isGone()) {
                reject(new Error("The caller has gone."));
                return;
            }
            if (!res.writableNeedDrain) {
                resolve();
                return;
            }
            const timer = setTimeout(cutOff, limits.slowReaderTimeoutMs);
            const onDrain = (): void => {
                clearTimeout(timer);
                res.off("close", onClose);
                resolve();
            };
            const onClose = (): void => {
                clearTimeout(timer);
                res.off("drain", onDrain);
                reject(new Error("The caller has gone, or read nothing for too long."));
            };
            res.once("drain", onDrain);
            res.once("close", onClose);
        });

    const finish = (): void => {
        if (state !== "begun") return;
        state = "ended";
        if (remainingBytes !== undefined && remainingBytes !== 0) {
            cutOffBegun();
            return;
        }
        res.end();
        awaitFlush();
    };

    const fail = (failure: CallFailure): void => {
        const before = state;
        if (before === "ended") return;
        state = "ended";
        if (before === "waiting") {
            for (const [name, value] of Object.entries(opts.headers)) res.setHeader(name, value);
            sendError(res, requestId, failure);
            awaitFlush();
        }
        else if (isEventStream && !isGone()) {
            // The empty line first ends an event that was cut short.
            res.write(`\n\nevent: error\ndata: ${formatError(failure, requestId)}\n\n`, cutOff);
            awaitFlush();
        }
        else { cutOffBegun(); }
    };

    return { begin, write, waitForDrain, finish, fail };
}
