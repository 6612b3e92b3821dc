/** Routers with a transport on loopback, and a relay whose connections a test can cut. */
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

export const answer: ForwardedResponse = {
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

const closers: (() => Promise<unknown>)[] = [];

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
            return Promise.resolve(answer);
        },
        ...opts,
    });
    closers.push(transport.close);
    const { port } = await transport.listen(`127.0.0.1:${opts.port ?? 0}`);
    return { ...router, transport, address: `127.0.0.1:${port}` };
}

/** Passes connections on to `address`; `cut` breaks them all, and refuses new ones until `restore`. */
export async function startRelay(address: string): Promise<{ address: string; cut: () => void; restore: () => void; }> {
    const sockets = new Set<Socket>();
    let isCut = false;
    const server = createServer(inbound => {
        if (isCut) return void inbound.destroy();
        const outbound = connect(Number(address.split(":")[1]), "127.0.0.1");
        for (const [socket, other] of [[inbound, outbound], [outbound, inbound]] as const) {
            sockets.add(socket);
            socket.on("error", () => undefined);
            socket.on("close", () => other.destroy());
            socket.pipe(other);
        }
    });
    const cut = () => {
        isCut = true;
        for (const socket of sockets) socket.destroy();
        sockets.clear();
    };
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    closers.push(() => {
        cut();
        return new Promise(resolve => server.close(resolve));
    });
    return {
        address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
        cut,
        restore: () => {
            isCut = false;
        },
    };
}

/** A port on which nothing listens. */
export async function findClosedPort(): Promise<number> {
    const server = createServer();
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as AddressInfo;
    await new Promise(resolve => server.close(resolve));
    return port;
}

export async function closeAll(): Promise<void> {
    await Promise.all(closers.splice(0).map(close => close()));
}

/** Polls, because the time that a connection takes is not under the test's control. */
export async function waitFor(what: string, isDone: () => boolean, poll?: () => void): Promise<void> {
    for (let round = 0; round < 2_000; round += 1) {
        if (isDone()) return;
        poll?.();
        await new Promise(resolve => setTimeout(resolve, 5));
    }
    throw new Error(`timed out: ${what}`);
}

export function makeRequest(revision: number): PeerMessage {
    return { type: "configurationRequest", revision };
}
