/** HTTP server for callers: connection limits, malformed requests, and an orderly end. */
import { createServer, STATUS_CODES } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";

export interface CallerServerOptions {
    readonly serveCall: (incoming: IncomingMessage, response: ServerResponse) => void;
    /** Told why a connection was closed whose bytes are not a valid request. */
    readonly onInvalid: (reason: string) => void;
}

export interface ConnectionLimits {
    readonly headerTimeoutMs: number;
    readonly idleTimeoutMs: number;
}

/** Size of headers that is read at all; the limit of the configuration is checked on each call. */
const maxHeaderBytes = 128 * 1024;

/** Interval at which connections are checked for requests that do not arrive in time. */
const checkIntervalMs = 250;

/** Added to the idle timeout, so that a request that is on its way meets an open connection. */
const idleSlackMs = 1_000;

const invalidStatuses: Readonly<Record<string, number>> = {
    HPE_HEADER_OVERFLOW: 431,
    ERR_HTTP_REQUEST_TIMEOUT: 408,
    HPE_CHUNK_EXTENSIONS_OVERFLOW: 413,
};

export function createCallerServer(opts: CallerServerOptions) {
    /** Answers in progress of each connection. */
    const open = new WeakMap<Socket, Set<ServerResponse>>();

    const serve = (incoming: IncomingMessage, response: ServerResponse): void => {
        const { socket } = incoming;
        const responses = open.get(socket) ?? new Set();
        responses.add(response);
        open.set(socket, responses);
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

    const refuseInvalid = (error: NodeJS.ErrnoException, socket: Socket): void => {
        const code = error.code ?? error.message;
        if (code === "ECONNRESET" || !socket.writable) return void socket.destroy();
        // A connection on which nothing was sent gets no answer: there is no call that it could belong to.
        if (socket.bytesRead === 0) return void socket.destroy();
        opts.onInvalid(code);
        const responses = [...open.get(socket) ?? []];
        const last = responses.at(-1);
        // An answer to an earlier request on this connection must not be mistaken for, or cut by, this error.
        if (last !== undefined) return void last.once("close", () => socket.destroy());
        const status = invalidStatuses[code] ?? 400;
        socket.end(
            `HTTP/1.1 ${status} ${STATUS_CODES[status] ?? ""}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`,
        );
    };
    server.on("clientError", refuseInvalid);

    let connections = 0;
    server.on("connection", socket => {
        connections += 1;
        socket.once("close", () => (connections -= 1));
    });

    const applyLimits = (limits: ConnectionLimits): void => {
        server.headersTimeout = limits.headerTimeoutMs;
        server.keepAliveTimeout = limits.idleTimeoutMs + idleSlackMs;
    };

    return {
        applyLimits,
        listen: (host: string, port: number): Promise<number> =>
            new Promise((resolve, reject) => {
                server.once("error", reject);
                server.listen({ host, port, backlog: 1024 }, () => {
                    server.off("error", reject);
                    resolve((server.address() as AddressInfo).port);
                });
            }),
        countConnections: () => connections,
        closeIdle: () => server.closeIdleConnections(),
        /** Accepts no more connections; resolves when all are closed. */
        close: (): Promise<void> => new Promise(resolve => server.close(() => resolve())),
        destroyAll: () => server.closeAllConnections(),
    };
}

export type CallerServer = ReturnType<typeof createCallerServer>;
