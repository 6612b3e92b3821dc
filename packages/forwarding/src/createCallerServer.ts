/** HTTP server for callers: connection timeouts, malformed requests and graceful shutdown. */
import { createServer, STATUS_CODES } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";

export interface CallerServerOptions {
    readonly serveCall: (incoming: IncomingMessage, response: ServerResponse) => void;
    /** Called with the error code when a connection is closed because of an invalid request. */
    readonly onInvalidRequest: (reason: string) => void;
}

export interface ConnectionLimits {
    readonly headerTimeoutMs: number;
    readonly idleTimeoutMs: number;
}

/** Parser limit for the header size. The configured limit is checked for each call. */
const maxHeaderBytes = 128 * 1024;

/**
 * Maximum number of connections that wait to be accepted. Node accepts one per pass of its event loop, in order of
 * arrival, and a pass of a busy router takes about 20 ms. In a longer queue all callers, which wait for one second, would
 * have left before their calls are read, and the router would answer none of them.
 */
const maxQueuedConnections = 50;

/** Interval at which connections are checked for header timeouts. */
const checkIntervalMs = 250;

/** Added to the idle timeout, so that a request sent just before it expires still reaches an open connection. */
const keepAliveMarginMs = 1_000;

const statusByErrorCode: Readonly<Record<string, number>> = {
    HPE_HEADER_OVERFLOW: 431,
    ERR_HTTP_REQUEST_TIMEOUT: 408,
    HPE_CHUNK_EXTENSIONS_OVERFLOW: 413,
};

export function createCallerServer(opts: CallerServerOptions) {
    /** Unfinished responses of each connection. */
    const openResponses = new WeakMap<Socket, Set<ServerResponse>>();

    const serve = (incoming: IncomingMessage, response: ServerResponse): void => {
        const { socket } = incoming;
        const responses = openResponses.get(socket) ?? new Set();
        responses.add(response);
        openResponses.set(socket, responses);
        response.once("close", () => responses.delete(response));
        opts.serveCall(incoming, response);
    };

    const server: Server = createServer({
        maxHeaderSize: maxHeaderBytes,
        connectionsCheckingInterval: checkIntervalMs,
        requestTimeout: 0,
        keepAlive: true,
        noDelay: true,
    }, serve);

    const rejectInvalidRequest = (error: NodeJS.ErrnoException, socket: Socket): void => {
        const code = error.code ?? error.message;
        if (code === "ECONNRESET" || !socket.writable) return void socket.destroy();
        // If the caller has sent nothing, there is no request to respond to.
        if (socket.bytesRead === 0) return void socket.destroy();
        opts.onInvalidRequest(code);
        const responses = [...openResponses.get(socket) ?? []];
        const lastResponse = responses.at(-1);
        // The error response must not truncate, or be taken for, the response to an earlier request on this connection.
        if (lastResponse !== undefined) return void lastResponse.once("close", () => socket.destroy());
        const status = statusByErrorCode[code] ?? 400;
        socket.end(
            `HTTP/1.1 ${status} ${STATUS_CODES[status] ?? ""}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`,
        );
    };
    server.on("clientError", rejectInvalidRequest);

    let connectionCount = 0;
    server.on("connection", socket => {
        connectionCount += 1;
        socket.once("close", () => (connectionCount -= 1));
    });

    const applyLimits = (limits: ConnectionLimits): void => {
        server.headersTimeout = limits.headerTimeoutMs;
        server.keepAliveTimeout = limits.idleTimeoutMs + keepAliveMarginMs;
    };

    return {
        applyLimits,
        listen: (host: string, port: number): Promise<number> =>
            new Promise((resolve, reject) => {
                server.once("error", reject);
                server.listen({ host, port, backlog: maxQueuedConnections }, () => {
                    server.off("error", reject);
                    resolve((server.address() as AddressInfo).port);
                });
            }),
        countConnections: () => connectionCount,
        closeIdle: () => server.closeIdleConnections(),
        /** Stops accepting connections and resolves when all open ones are closed. */
        close: (): Promise<void> => new Promise(resolve => server.close(() => resolve())),
        destroyAll: () => server.closeAllConnections(),
    };
}

export type CallerServer = ReturnType<typeof createCallerServer>;
