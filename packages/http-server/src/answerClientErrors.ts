/** Answers requests that the HTTP parser refuses, before any route has seen them. */
import { getErrorKind } from "@rhubarbwheel/error/routerError";
import type { Server } from "node:http";
import { STATUS_CODES } from "node:http";
import type { Duplex } from "node:stream";
import { formatError } from "./sendError.js";

const statusByReason: Readonly<Record<string, number>> = {
    HPE_HEADER_OVERFLOW: 431,
    ERR_HTTP_REQUEST_TIMEOUT: 408,
};

/** Installs the answer on a server. */
export function answerClientErrors(server: Server, createId: () => string): void {
    const openAnswers = new WeakMap<Duplex, number>();
    const countAnswers = (socket: Duplex, change: number): void => {
        openAnswers.set(socket, (openAnswers.get(socket) ?? 0) + change);
    };
    server.on("request", (req, res) => {
        countAnswers(req.socket, 1);
        res.once("close", () => countAnswers(req.socket, -1));
    });
    server.on("clientError", (error: Error & { readonly code?: string; }, socket) => {
        // An error text inside an answer that is still being sent would become part of that answer.
        const isAnswering = (openAnswers.get(socket) ?? 0) > 0;
        if (!socket.writable || error.code === "ECONNRESET" || isAnswering) socket.destroy();
        else sendRawError(socket, error.code ?? "unknown reason", createId());
    });
}

/** The connection is closed: after a parse error, the start of the next request is not known. */
function sendRawError(socket: Duplex, reason: string, requestId: string): void {
    const code = "HEADER_INVALID";
    const detail = `The request could not be parsed (${reason}).`;
    const body = formatError({ code, outcome: "notRun", detail }, requestId);
    const status = statusByReason[reason] ?? getErrorKind(code).status;
    const head = [
        `HTTP/1.1 ${status} ${STATUS_CODES[status]}`,
        "content-type: application/json",
        `content-length: ${Buffer.byteLength(body)}`,
        `rhubarbwheel-request-id: ${requestId}`,
        "rhubarbwheel-outcome: notRun",
        "connection: close",
    ];
    socket.end(`${head.join("\r\n")}\r\n\r\n${body}`, () => socket.destroy());
}
