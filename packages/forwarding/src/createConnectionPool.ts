/** Connections to targets. Each carries one call at a time and is kept for later calls while that is safe. */
import type { Socket } from "node:net";
import { buildConnector, Client } from "undici";

export interface Connection {
    readonly client: Client;
    readonly address: string;
    /** Time for which the target keeps the connection open while it is idle, if it has said so. */
    idleLimitMs?: number;
    idleSince: number;
    /**
     * Whether the target reset the socket that is or was open last, or it broke in another way. When the socket has ended,
     * this is known in the next turn of the loop only.
     */
    isBroken: boolean;
}

export interface ConnectionPoolOptions {
    readonly getNow: () => number;
    readonly connectTimeoutMs: number;
    /** Most idle connections that are kept to one address. */
    readonly maxIdle: number;
}

/**
 * Part of the target's idle limit after which an idle connection is used for repeatable calls only: the target may be
 * closing it at that moment, and then it is unclear whether the call has arrived.
 */
const safeIdleRatio = 0.5;

/** Idle time after which a connection is closed; the connection is new again after that. */
const maxIdleMs = 10_000;

export function createConnectionPool(opts: ConnectionPoolOptions) {
    const idle = new Map<string, Connection[]>();
    let opened = 0;

    const isSafe = (connection: Connection, now: number): boolean =>
        connection.idleLimitMs !== undefined
        && now - connection.idleSince < connection.idleLimitMs * safeIdleRatio;

    const isOpen = (connection: Connection, now: number): boolean =>
        now - connection.idleSince < Math.min(maxIdleMs, connection.idleLimitMs ?? maxIdleMs);

    const connect = buildConnector({ timeout: opts.connectTimeoutMs });

    const open = (address: string): Connection => {
        let current: Socket | undefined;
        const client = new Client(`http://${address}`, {
            pipelining: 1,
            connect: (connectOpts, onConnected) => {
                opened += 1;
                connect(connectOpts, (...result) => {
                    const [, socket] = result;
                    // What happened to an earlier socket says nothing about answers on this one.
                    current = socket ?? undefined;
                    connection.isBroken = false;
                    const recordError = (error: NodeJS.ErrnoException | null | undefined): void => {
                        // undici ends sockets with an error of this code when it needs them no more.
                        if (error && error.code !== "UND_ERR_INFO" && current === socket) connection.isBroken = true;
                    };
                    // undici takes an answer without a length for complete when its connection is reset.
                    socket?.on("error", recordError);
                    // A reset that arrives with the last bytes looks like an orderly end (libuv reports the end of the
                    // stream when the poll says both); writing nothing fails then, and sends nothing otherwise.
                    socket?.once("end", () => socket.write("", recordError));
                    onConnected(...result);
                });
            },
            headersTimeout: 0,
            bodyTimeout: 0,
            keepAliveTimeout: maxIdleMs,
            keepAliveTimeoutThreshold: 0,
        });
        const connection: Connection = { client, address, idleSince: opts.getNow(), isBroken: false };
        return connection;
    };

    const discard = (connection: Connection): void => {
        // Destroying a connection ends what runs on it, which is what the caller of this function wants.
        connection.client.destroy().catch(() => undefined);
    };

    /** Takes an idle connection or opens one. A call that must not be repeated needs one that is surely open. */
    const acquire = (address: string, isRepeatable: boolean): Connection => {
        const now = opts.getNow();
        const kept = idle.get(address) ?? [];
        for (let connection = kept.pop(); connection !== undefined; connection = kept.pop()) {
            if (isOpen(connection, now) && (isRepeatable || isSafe(connection, now))) return connection;
            discard(connection);
        }
        idle.delete(address);
        return open(address);
    };

    const release = (connection: Connection): void => {
        connection.idleSince = opts.getNow();
        const kept = idle.get(connection.address) ?? [];
        if (kept.length >= opts.maxIdle) return discard(connection);
        kept.push(connection);
        idle.set(connection.address, kept);
    };

    return {
        acquire,
        release,
        discard,
        /** Connections opened so far. */
        countOpened: () => opened,
        close: () => {
            for (const kept of idle.values()) for (const connection of kept) discard(connection);
            idle.clear();
        },
    };
}

export type ConnectionPool = ReturnType<typeof createConnectionPool>;
