/** An HTTP server on the loopback interface whose connections can be dropped or refused on demand. */
import { createServer } from "node:http";
import type { RequestListener } from "node:http";
import type { AddressInfo, Socket } from "node:net";

export interface ServerHarness {
    /** Listens on the port, 0 for any free one. */
    readonly listen: (port: number) => Promise<{ readonly port: number; }>;
    readonly close: () => Promise<void>;
    /** Breaks every open connection without an answer. */
    readonly dropConnections: () => void;
    /** Breaks every open connection and refuses new ones for the given time, then listens on the same port again. */
    readonly refuseConnections: (durationMs: number) => void;
    readonly countConnections: () => number;
}

const host = "127.0.0.1";
/** Time between attempts to listen again on a port that is still in use. */
const relistenMs = 20;

export function createServerHarness(listener: RequestListener): ServerHarness {
    const sockets = new Set<Socket>();
    let port = 0;
    let closed = false;
    let timer: NodeJS.Timeout | undefined;
    const server = createServer({ keepAliveTimeout: 5_000, requestTimeout: 0 }, listener);
    server.on("connection", socket => {
        sockets.add(socket);
        socket.on("close", () => sockets.delete(socket));
        socket.on("error", () => socket.destroy());
    });

    const dropConnections = (): void => {
        for (const socket of sockets) socket.destroy();
    };

    const listen = (wanted: number): Promise<{ port: number; }> =>
        new Promise((resolve, reject) => {
            server.once("error", reject);
            server.listen(wanted, host, 1_024, () => {
                server.off("error", reject);
                port = (server.address() as AddressInfo).port;
                resolve({ port });
            });
        });

    const listenAgain = (): void => {
        if (closed) return;
        listen(port).catch(() => (timer = setTimeout(listenAgain, relistenMs)));
    };

    return {
        listen,
        dropConnections,
        refuseConnections: durationMs => {
            clearTimeout(timer);
            server.close();
            dropConnections();
            timer = setTimeout(listenAgain, durationMs);
        },
        countConnections: () => sockets.size,
        close: () => {
            closed = true;
            clearTimeout(timer);
            dropConnections();
            return new Promise(resolve => server.close(() => resolve()));
        },
    };
}
