/** Pool of HTTP/1.1 connections to targets. Each carries one call at a time and is reused while that is safe. */
import type { Socket } from "node:net";
import { buildConnector, Client } from "undici";
import { type BodyMeter, createReadLimiter, type SocketReads } from "./createReadLimiter.js";

export interface Connection {
    readonly client: Client;
    readonly address: string;
    /** Idle timeout of the target, if its `Keep-Alive` header announced one. */
    keepAliveTimeoutMs?: number;
    idleSince: number;
    /** Whether the response on the connection is not read at the moment. */
    isPaused: boolean;
    /**
     * Whether the current or most recent socket was reset, failed with another error, or ended before the call was written.
     * After a socket has ended, this is known only in the next iteration of the event loop.
     */
    hasSocketError: boolean;
    /** What has been received of the bodies of all responses; counted by the user of the connection. */
    readonly body: BodyMeter;
    /** Limit on what is read at once; undefined until the connection is established. */
    reads?: SocketReads;
}

export interface ConnectionPoolOptions {
    readonly getNow: () => number;
    readonly connectTimeoutMs: number;
    /** Maximum number of idle connections per target address. */
    readonly maxIdlePerTarget: number;
}

/**
 * Fraction of the target's keep-alive timeout after which an idle connection is reused for retryable calls only: the
 * target may be closing it at that moment, which leaves it unknown whether the call arrived.
 */
const safeIdleRatio = 0.5;

/** Code of a reset while the response is not read. */
const resetWhilePausedCode = "RESET_WHILE_PAUSED";

/** Idle time after which a connection is closed. */
const maxIdleMs = 10_000;

export function createConnectionPool(opts: ConnectionPoolOptions) {
    const idleByAddress = new Map<string, Connection[]>();
    const readLimiter = createReadLimiter({ getNow: opts.getNow });
    let openedCount = 0;

    const isSafeToReuse = (connection: Connection, now: number): boolean =>
        connection.keepAliveTimeoutMs !== undefined
        && now - connection.idleSince < connection.keepAliveTimeoutMs * safeIdleRatio;

    const isWithinIdleTimeout = (connection: Connection, now: number): boolean =>
        now - connection.idleSince < Math.min(maxIdleMs, connection.keepAliveTimeoutMs ?? maxIdleMs);

    const connect = buildConnector({ timeout: opts.connectTimeoutMs });

    const open = (address: string): Connection => {
        let currentSocket: Socket | undefined;
        const client = new Client(`http://${address}`, {
            pipelining: 1,
            connect: (connectOpts, onConnected) => {
                openedCount += 1;
                connect(connectOpts, (...result) => {
                    const [, socket] = result;
                    // Errors of an earlier socket do not affect responses on this one.
                    currentSocket = socket ?? undefined;
                    connection.hasSocketError = false;
                    if (socket) connection.reads = readLimiter.limitReads(socket, address, connection.body);
                    const recordError = (error: NodeJS.ErrnoException | null | undefined): void => {
                        // After an ECONNRESET undici completes the response, and throws if its parser is paused.
                        if (error?.code === "ECONNRESET" && connection.isPaused) error.code = resetWhilePausedCode;
                        // undici destroys sockets that it no longer needs with an error of this code.
                        if (error && error.code !== "UND_ERR_INFO" && currentSocket === socket)
                            connection.hasSocketError = true;
                    };
                    // undici reports a response without a length as complete even if its connection was reset.
                    socket?.on("error", recordError);
                    // A reset that arrives together with the last bytes looks like a normal end, because libuv reports
                    // only the end of the stream. An empty write fails after a reset, and otherwise sends nothing.
                    socket?.once("end", () => {
                        // The empty write would wait behind the rest of the call, and a target that closes its connection
                        // before it has read the call resets it. So the end of the response cannot be confirmed.
                        if (socket.writableLength > 0) connection.hasSocketError = true;
                        else socket.write("", recordError);
                    });
                    onConnected(...result);
                });
            },
            headersTimeout: 0,
            bodyTimeout: 0,
            keepAliveTimeout: maxIdleMs,
            keepAliveTimeoutThreshold: 0,
        });
        const connection: Connection = {
            client,
            address,
            idleSince: opts.getNow(),
            isPaused: false,
            hasSocketError: false,
            body: { bytes: 0, pieces: 0 },
        };
        return connection;
    };

    const destroy = (connection: Connection): void => {
        // This also aborts a request in progress on the connection.
        connection.client.destroy().catch(() => undefined);
    };

    /** Returns an idle connection or opens a new one. Non-retryable calls reuse a connection only if that is safe. */
    const acquire = (address: string, isRetryable: boolean): Connection => {
        const now = opts.getNow();
        const connections = idleByAddress.get(address) ?? [];
        for (let connection = connections.pop(); connection !== undefined; connection = connections.pop()) {
            if (isWithinIdleTimeout(connection, now) && (isRetryable || isSafeToReuse(connection, now))) {
                connection.reads?.startResponse();
                return connection;
            }
            destroy(connection);
        }
        idleByAddress.delete(address);
        return open(address);
    };

    const release = (connection: Connection): void => {
        connection.idleSince = opts.getNow();
        connection.isPaused = false;
        connection.reads?.resume();
        const connections = idleByAddress.get(connection.address) ?? [];
        if (connections.length >= opts.maxIdlePerTarget) return destroy(connection);
        connections.push(connection);
        idleByAddress.set(connection.address, connections);
    };

    return {
        acquire,
        release,
        destroy,
        /** Number of connections opened since the start. */
        countOpened: () => openedCount,
        close: () => {
            for (const connections of idleByAddress.values()) for (const connection of connections) destroy(connection);
            idleByAddress.clear();
        },
    };
}

export type ConnectionPool = ReturnType<typeof createConnectionPool>;
