/** Keeps the answers of one connection apart: refuses pipelined requests, and answers requests that cannot be parsed. */
import { getErrorKind } from "@rhubarbwheel/error/routerError";
import type { RequestListener, Server } from "node:http";
import { STATUS_CODES } from "node:http";
import type { Duplex } from "node:stream";
import { formatError, sendError } from "./sendError.js";

const statusByReason: Readonly<Record<string, number>> = {
    HPE_HEADER_OVERFLOW: 431,
    ERR_HTTP_REQUEST_TIMEOUT: 408,
};

/** Passes requests to `handleRequest`, one at a time per connection. */
export function serveConnections(server: Server, createId: () => string, handleRequest: RequestListener): void {
    const answering = new WeakSet<Duplex>();

    const acceptRequest: RequestListener = (req, res) => {
        if (answering.has(req.socket)) {
            // Node.js does not report the end of the connection to an answer that waits behind another one, so the
            // call behind it could never be cancelled.
            res.setHeader("connection", "close");
            sendError(res, createId(), {
                code: "HEADER_INVALID",
                outcome: "notRun",
                detail: "Send the next request of a connection after the answer to the last one.",
            });
            return;
        }
        answering.add(req.socket);
        res.once("close", () => answering.delete(req.socket));
        handleRequest(req, res);
    };

    server.on("request", acceptRequest);
    // The body is asked for once the caller is known and the body may be read.
    server.on("checkContinue", acceptRequest);
    server.on("clientError", (error: Error & { readonly code?: string; }, socket) => {
        // An error text inside an answer that is still being sent would become part of that answer.
        const isBusy = !socket.writable || answering.has(socket);
        if (isBusy || error.code === "ECONNRESET") socket.destroy();
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
