/** A target that sends raw bytes and records what each connection received. */
import { createServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";

export interface RawTarget {
    readonly address: string;
    /** Bytes received so far, one text per connection. */
    readonly received: readonly string[];
    readonly close: () => Promise<void>;
}

/** Calls `respond` once for each complete request, with its sequence number at this target. */
export async function startRawTarget(
    respond: (socket: Socket, request: string, number: number) => void,
): Promise<RawTarget> {
    const received: string[] = [];
    const sockets = new Set<Socket>();
    let requests = 0;
    const server = createServer(socket => {
        const index = received.push("") - 1;
        let consumed = 0;
        sockets.add(socket);
        socket.on("error", () => undefined);
        socket.on("close", () => sockets.delete(socket));
        socket.on("data", data => {
            received[index] += data.toString("latin1");
            const text = (received[index] ?? "").slice(consumed);
            const headEnd = text.indexOf("\r\n\r\n");
            const bodyLength = Number(/content-length: (\d+)/i.exec(text)?.[1] ?? 0);
            if (headEnd < 0 || text.length < headEnd + 4 + bodyLength) return;
            consumed += headEnd + 4 + bodyLength;
            respond(socket, text.slice(0, headEnd + 4 + bodyLength), requests += 1);
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return {
        address: `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
        received,
        close: () => {
            for (const socket of sockets) socket.destroy();
            return new Promise(resolve => server.close(() => resolve()));
        },
    };
}
