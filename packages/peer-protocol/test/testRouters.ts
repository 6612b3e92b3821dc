/** Routers with a transport on loopback, and a TCP proxy whose connections a test can break. */
import type { PeerMessage } from "@rhubarbwheel/types/peer-messages";
import type { ForwardedCall, ForwardedResponse } from "@rhubarbwheel/types/ports";
import type { AddressInfo, Socket } from "node:net";
import { connect, createServer } from "node:net";
import type { ListeningPeerTransport, PeerTransportOptions } from "../src/createPeerTransport.js";
import { createPeerTransport } from "../src/createPeerTransport.js";

export interface TestRouter {
    readonly transport: ListeningPeerTransport;
    readonly address: string;
    readonly received: [string, PeerMessage][];
    readonly unreachable: string[];
    readonly problems: string[];
    readonly calls: ForwardedCall[];
}

export const fleetSecret = "fleet secret";

export const response: ForwardedResponse = {
    outcome: "complete",
    status: 201,
    headers: { a: "b" },
    body: Buffer.from("done"),
};

export const call: ForwardedCall = {
    requestId: "r1",
    forwardedBy: "a",
    mintedKey: "k",
    workspace: "w",
    service: "s",
    method: "POST",
    path: "/orders",
    headers: { "content-type": "text/plain" },
    body: Buffer.from("order"),
};

const closeFunctions: (() => Promise<unknown>)[] = [];

export async function startRouter(
    name: string,
    opts: Partial<PeerTransportOptions> & { readonly incarnation?: number; readonly port?: number; } = {},
): Promise<TestRouter> {
    const router: Omit<TestRouter, "transport" | "address"> = {
        received: [],
        unreachable: [],
        problems: [],
        calls: [],
    };
    const transport = createPeerTransport({
        identity: { router: name, incarnation: opts.incarnation ?? 1, address: "", failureDomain: "north" },
        fleetSecret,
        onMessage: (from, message) => router.received.push([from, message]),
        onUnreachable: peer => router.unreachable.push(peer),
        onProblem: (_peer, problem) => router.problems.push(problem),
        onForwardedCall: forwarded => {
            router.calls.push(forwarded);
            return Promise.resolve(response);
        },
        ...opts,
    });
    closeFunctions.push(transport.close);
    const { port } = await transport.listen(`127.0.0.1:${opts.port ?? 0}`);
    return { ...router, transport, address: `127.0.0.1:${port}` };
}

/** Starts a TCP proxy to `address`; `disconnect` closes its connections, and closes new ones until `reconnect`. */
export async function startProxy(
    address: string,
): Promise<{ address: string; disconnect: () => void; reconnect: () => void; }> {
    const sockets = new Set<Socket>();
    let isDisconnected = false;
    const server = createServer(inbound => {
        if (isDisconnected) return void inbound.destroy();
        const outbound = connect(Number(address.split(":")[1]), "127.0.0.1");
        for (const [socket, other] of [[inbound, outbound], [outbound, inbound]] as const) {
            sockets.add(socket);
            socket.on("error", () => undefined);
            socket.on("close", () => other.destroy());
            socket.pipe(other);
        }
    });
    const disconnect = () => {
        isDisconnected = true;
        for (const socket of sockets) socket.destroy();
        sockets.clear();
    };
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    closeFunctions.push(() => {
        disconnect();
        return new Promise(resolve => server.close(resolve));
    });
    return {
        address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
        disconnect,
        reconnect: () => {
            isDisconnected = false;
        },
    };
}

/** Returns a port on which no process listens. */
export async function findClosedPort(): Promise<number> {
    const server = createServer();
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as AddressInfo;
    await new Promise(resolve => server.close(resolve));
    return port;
}

export async function closeAll(): Promise<void> {
    await Promise.all(closeFunctions.splice(0).map(close => close()));
}

/** Polls, because a test does not control how long a connection takes. */
export async function waitFor(description: string, condition: () => boolean, poll?: () => void): Promise<void> {
    for (let round = 0; round < 2_000; round += 1) {
        if (condition()) return;
        poll?.();
        await new Promise(resolve => setTimeout(resolve, 5));
    }
    throw new Error(`timed out: ${description}`);
}

export function createRequest(revision: number): PeerMessage {
    return { type: "configurationRequest", revision };
}
