/** An HTTP server on the loopback interface whose connections can be dropped or refused on demand. */
import { createServer } from "node:http";
import type { RequestListener } from "node:http";
import type { AddressInfo, Socket } from "node:net";

export interface LoopbackServer {
    /** Listens on the port; 0 selects a free port. */
    readonly listen: (port: number) => Promise<{ readonly port: number; }>;
    readonly close: () => Promise<void>;
    /** Closes every open connection without a response. */
    readonly destroyConnections: () => void;
    /** Closes every open connection and refuses new ones for the given time, then listens on the same port again. */
    readonly refuseConnections: (durationMs: number) => void;
    readonly countConnections: () => number;
}

const host = "127.0.0.1";
/** Delay between attempts to listen again on a port that is still in use. */
const relistenDelayMs = 20;

export function createLoopbackServer(listener: RequestListener): LoopbackServer {
    const sockets = new Set<Socket>();
    let port = 0;
    let closed = false;
    let relistenTimer: NodeJS.Timeout | undefined;
    const server = createServer({ keepAliveTimeout: 5_000, requestTimeout: 0 }, listener);
    server.on("connection", socket => {
        sockets.add(socket);
        socket.on("close", () => sockets.delete(socket));
        socket.on("error", () => socket.destroy());
    });

    const destroyConnections = (): void => {
        for (const socket of sockets) socket.destroy();
    };

    const listen = (requestedPort: number): Promise<{ port: number; }> =>
        new Promise((resolve, reject) => {
            server.once("error", reject);
            server.listen(requestedPort, host, 1_024, () => {
                server.off("error", reject);
                port = (server.address() as AddressInfo).port;
                resolve({ port });
            });
        });

    const listenAgain = (): void => {
        if (closed) return;
        listen(port).catch(() => (relistenTimer = setTimeout(listenAgain, relistenDelayMs)));
    };

    return {
        listen,
        destroyConnections,
        refuseConnections: durationMs => {
            clearTimeout(relistenTimer);
            server.close();
            destroyConnections();
            relistenTimer = setTimeout(listenAgain, durationMs);
        },
        countConnections: () => sockets.size,
        close: () => {
            closed = true;
            clearTimeout(relistenTimer);
            destroyConnections();
            return new Promise(resolve => server.close(() => resolve()));
        },
    };
}
