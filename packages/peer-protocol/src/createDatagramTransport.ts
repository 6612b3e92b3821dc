/**
 * UDP transport of placement messages between routers. A placement reply that takes longer than a few milliseconds is
 * useless, so datagrams are not retransmitted, and no stalled connection can delay later messages.
 */
import type { PlacementMessage } from "@rhubarbwheel/types/placement";
import { createSocket } from "node:dgram";
import { decodePlacementBatch, encodePlacementBatch } from "./placementCodec.js";
import { splitAddress } from "./splitAddress.js";

export interface DatagramTransportOptions {
    /** Name of this router. */
    readonly router: string;
    /** Address to bind, `ip:port`. */
    readonly listen: string;
    readonly onMessage: (from: string, address: string, message: PlacementMessage) => void;
    /** Reports malformed datagrams and socket errors. */
    readonly onProblem: (problem: string) => void;
}

export interface DatagramTransport {
    readonly listen: () => Promise<void>;
    /** Queues a message; messages to an address that are queued in the same event loop turn are sent together. */
    readonly send: (address: string, message: PlacementMessage) => void;
    readonly countTraffic: () => { readonly datagrams: number; readonly bytes: number; };
    readonly close: () => void;
}

/** Keeps datagrams with placement requests for long prompts below the size at which they are fragmented. */
const maxMessagesPerDatagram = 4;

export function createDatagramTransport(opts: DatagramTransportOptions): DatagramTransport {
    const socket = createSocket("udp4");
    const queues = new Map<string, PlacementMessage[]>();
    let datagrams = 0;
    let bytes = 0;
    let isClosed = false;

    socket.on("error", error => opts.onProblem(error.message));
    socket.on("message", (encoded, remote) => {
        datagrams += 1;
        bytes += encoded.length;
        const batch = decodePlacementBatch(encoded);
        for (const problem of batch.problems) opts.onProblem(problem);
        for (const message of batch.messages) opts.onMessage(batch.from, `${remote.address}:${remote.port}`, message);
    });

    const sendBatch = (address: string, messages: readonly PlacementMessage[]): void => {
        const { host, port } = splitAddress(address);
        const encoded = encodePlacementBatch({ from: opts.router, messages });
        datagrams += 1;
        bytes += encoded.length;
        socket.send(encoded, port, host, error => {
            if (error) opts.onProblem(error.message);
        });
    };

    const trySendBatch = (address: string, messages: readonly PlacementMessage[]): void => {
        try {
            sendBatch(address, messages);
        }
        catch (error) {
            opts.onProblem(error instanceof Error ? error.message : String(error));
        }
    };

    const flush = (): void => {
        for (const [address, messages] of queues) {
            for (let start = 0; start < messages.length && !isClosed; start += maxMessagesPerDatagram)
                trySendBatch(address, messages.slice(start, start + maxMessagesPerDatagram));
        }
        queues.clear();
    };

    return {
        listen: () =>
            new Promise((resolve, reject) => {
                const { host, port } = splitAddress(opts.listen);
                socket.once("error", reject);
                socket.bind(port, host, () => {
                    socket.off("error", reject);
                    resolve();
                });
            }),
        send: (address, message) => {
            if (queues.size === 0) setImmediate(flush);
            const queue = queues.get(address);
            if (queue === undefined) queues.set(address, [message]);
            else queue.push(message);
        },
        countTraffic: () => ({ datagrams, bytes }),
        close: () => {
            isClosed = true;
            socket.close();
        },
    };
}
