/** A TCP forwarder in front of one port, which can be cut and healed to produce a network partition between processes. */
import { connect, createServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";

export interface Forwarder {
    readonly port: number;
    /** Breaks all connections and refuses new ones until it is healed. */
    readonly cut: () => void;
    readonly heal: () => void;
    readonly close: () => Promise<void>;
}

export async function startForwarder(targetPort: number): Promise<Forwarder> {
    const sockets = new Set<Socket>();
    let isCut = false;

    const track = (socket: Socket) => {
        sockets.add(socket);
        socket.on("close", () => sockets.delete(socket));
        // The other side of a broken pair is closed by `pipe` or below; the error itself says nothing more.
        socket.on("error", () => socket.destroy());
    };
    const destroyAll = () => sockets.forEach(socket => socket.destroy());

    const server = createServer(inbound => {
        if (isCut) {
            inbound.destroy();
            return;
        }
        const outbound = connect(targetPort, "127.0.0.1");
        track(inbound);
        track(outbound);
        inbound.on("close", () => outbound.destroy());
        outbound.on("close", () => inbound.destroy());
        inbound.pipe(outbound).pipe(inbound);
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));

    return {
        port: (server.address() as AddressInfo).port,
        cut: () => {
            isCut = true;
            destroyAll();
        },
        heal: () => {
            isCut = false;
        },
        close: () => {
            destroyAll();
            return new Promise(resolve => server.close(() => resolve()));
        },
    };
}
