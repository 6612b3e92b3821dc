/** TCP proxy in front of one port, which simulates a network partition by closing and refusing connections. */
import { connect, createServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";

export interface TcpProxy {
    readonly port: number;
    /** Closes all connections and refuses new ones until `reconnect` is called. */
    readonly disconnect: () => void;
    readonly reconnect: () => void;
    readonly close: () => Promise<void>;
}

export async function startTcpProxy(targetPort: number): Promise<TcpProxy> {
    const sockets = new Set<Socket>();
    let isDisconnected = false;

    const add = (socket: Socket) => {
        sockets.add(socket);
        socket.on("close", () => sockets.delete(socket));
        // The `close` handlers below close the other socket of the pair, so the error needs no further handling.
        socket.on("error", () => socket.destroy());
    };
    const destroyAll = () => sockets.forEach(socket => socket.destroy());

    const server = createServer(inbound => {
        if (isDisconnected) {
            inbound.destroy();
            return;
        }
        const outbound = connect(targetPort, "127.0.0.1");
        add(inbound);
        add(outbound);
        inbound.on("close", () => outbound.destroy());
        outbound.on("close", () => inbound.destroy());
        inbound.pipe(outbound).pipe(inbound);
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));

    return {
        port: (server.address() as AddressInfo).port,
        disconnect: () => {
            isDisconnected = true;
            destroyAll();
        },
        reconnect: () => {
            isDisconnected = false;
        },
        close: () => {
            destroyAll();
            return new Promise(resolve => server.close(() => resolve()));
        },
    };
}
