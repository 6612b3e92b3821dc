/** Handles one request per connection at a time: rejects pipelined requests and requests that cannot be parsed. */
import { getErrorKind } from "@rhubarbwheel/error/routerError";
import type { RequestListener, Server } from "node:http";
import { STATUS_CODES } from "node:http";
import type { Duplex } from "node:stream";
import { formatError, sendError } from "./sendError.js";

const statusByReason: Readonly<Record<string, number>> = {
    HPE_HEADER_OVERFLOW: 431,
    ERR_HTTP_REQUEST_TIMEOUT: 408,
};

/** Calls `handleRequest` for one request per connection at a time. */
export function serveConnections(server: Server, createId: () => string, handleRequest: RequestListener): void {
    const busySockets = new WeakSet<Duplex>();

    const acceptRequest: RequestListener = (req, res) => {
        if (busySockets.has(req.socket)) {
            // Node.js does not report a closed connection to a response that is queued behind another one, so a
            // pipelined call could not be cancelled.
            res.setHeader("connection", "close");
            sendError(res, createId(), {
                code: "HEADER_INVALID",
                outcome: "notRun",
                detail: "Requests must not be pipelined; send the next one after the response to the previous one.",
            });
            return;
        }
        busySockets.add(req.socket);
        res.once("close", () => busySockets.delete(req.socket));
        handleRequest(req, res);
    };

    server.on("request", acceptRequest);
    // `readBody` sends 100 Continue, after the caller has been authenticated.
    server.on("checkContinue", acceptRequest);
    server.on("clientError", (error: Error & { readonly code?: string; }, socket) => {
        // An error written while a response is being sent would become part of that response.
        const isBusy = !socket.writable || busySockets.has(socket);
        if (isBusy || error.code === "ECONNRESET") socket.destroy();
        else sendRawError(socket, error.code ?? "unknown reason", createId());
    });
}

/** Closes the connection, because the start of the next request is unknown after a parse error. */
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
