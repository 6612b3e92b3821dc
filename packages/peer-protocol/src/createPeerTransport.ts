/** Transport of messages and forwarded calls between routers, over one gRPC stream per pair of routers. */
import { ChannelCredentials, ServerCredentials } from "@grpc/grpc-js";
import type { PeerMessage } from "@rhubarbwheel/types/peer-messages";
import type { ForwardedCall, ForwardedResponse, PeerTransport } from "@rhubarbwheel/types/ports";
import type { RouterIdentity } from "@rhubarbwheel/types/slices";
import { createAuthenticator } from "./authentication.js";
import type { PeerConnection } from "./peerConnection.js";
import { createPeerConnection } from "./peerConnection.js";
import type { PeerLink } from "./peerLink.js";
import { createPeerLink } from "./peerLink.js";
import { createPeerServer } from "./peerServer.js";

/** PEM files: certificate and key of this router, and the authority that signs the certificates of all routers. */
export interface PeerTls {
    readonly certificate: Buffer;
    readonly key: Buffer;
    readonly authority: Buffer;
}

export interface PeerLimits {
    /** Maximum number of messages queued for one peer. */
    readonly maxQueuedMessages: number;
    /** Maximum size of a batch or a forwarded call; a larger batch is split. */
    readonly maxMessageBytes: number;
    /** Timeout of a forwarded call. */
    readonly forwardTimeoutMs: number;
    /** Time without messages after which a stream is closed. */
    readonly idleTimeoutMs: number;
}

export const defaultPeerLimits: PeerLimits = {
    maxQueuedMessages: 1_024,
    maxMessageBytes: 4 * 1_024 * 1_024,
    forwardTimeoutMs: 120_000,
    idleTimeoutMs: 60_000,
};

export interface PeerTransportOptions {
    readonly identity: RouterIdentity;
    readonly fleetSecret: string;
    readonly tls?: PeerTls;
    readonly limits?: Partial<PeerLimits>;
    /** Monotonic time in milliseconds. */
    readonly getNow?: () => number;
    /** Milliseconds since 1970, for the timestamps of signatures. */
    readonly getWallClockTime?: () => number;
    readonly onMessage: (from: string, message: PeerMessage) => void;
    /** Called when a message to the router was or may have been lost. */
    readonly onUnreachable: (router: string) => void;
    readonly onForwardedCall: (call: ForwardedCall) => Promise<ForwardedResponse>;
    /** Reports refused peers, dropped messages and failed forwards; `router` is undefined if it is not authenticated. */
    readonly onProblem?: (router: string | undefined, problem: string) => void;
}

export interface ListeningPeerTransport extends PeerTransport {
    /** Listens on `ip:port`; port 0 selects a free port. Rejects if the address cannot be bound. */
    readonly listen: (address: string) => Promise<{ readonly port: number; }>;
    /** Number of open streams. */
    readonly countStreams: () => number;
}

export function createPeerTransport(opts: PeerTransportOptions): ListeningPeerTransport {
    const { identity } = opts;
    const limits = { ...defaultPeerLimits, ...opts.limits };
    const getNow = opts.getNow ?? (() => performance.now());
    const authenticator = createAuthenticator(identity, opts.fleetSecret, opts.getWallClockTime ?? Date.now);
    const credentials = createGrpcCredentials(opts.tls);
    const links = new Map<string, PeerLink>();
    const connections = new Map<string, PeerConnection>();
    const traffic = { messages: 0, bytes: 0 };
    let closing = false;

    const reportProblem = (router: string, problem: string): void =>
        opts.onProblem?.(router === "" ? undefined : router, problem);

    const getOrCreateConnection = (address: string): PeerConnection => {
        const existing = connections.get(address);
        if (existing !== undefined) return existing;
        const connection = createPeerConnection({
            address,
            self: identity.router,
            credentials: credentials.client,
            authenticator,
            maxMessageBytes: limits.maxMessageBytes,
            forwardTimeoutMs: limits.forwardTimeoutMs,
            onProblem: reportProblem,
        });
        connections.set(address, connection);
        return connection;
    };

    const getOrCreateLink = (router: string): PeerLink => {
        const existing = links.get(router);
        if (existing !== undefined) return existing;
        const link = createPeerLink({
            self: identity.router,
            incarnation: identity.incarnation,
            router,
            maxQueuedMessages: limits.maxQueuedMessages,
            maxBatchBytes: limits.maxMessageBytes,
            getNow,
            openStream: (address, observer) => getOrCreateConnection(address).openStream(router, observer),
            onMessage: message => opts.onMessage(router, message),
            onUnreachable: () => opts.onUnreachable(router),
            onProblem: problem => reportProblem(router, problem),
            onTraffic: (messages, bytes) => {
                traffic.messages += messages;
                traffic.bytes += bytes;
            },
        });
        links.set(router, link);
        return link;
    };

    const server = createPeerServer({
        self: identity.router,
        credentials: credentials.server,
        authenticator,
        maxMessageBytes: limits.maxMessageBytes,
        getObserver: router => getOrCreateLink(router).observer,
        findRefusal: peer => {
            if (closing) return "the router is shutting down";
            const isAccepted = getOrCreateLink(peer.router).isAcceptableIncarnation(peer.incarnation);
            return isAccepted ? undefined : "a later start of this router is connected";
        },
        onStream: stream => getOrCreateLink(stream.peer.router).addStream(stream),
        onForwardedCall: opts.onForwardedCall,
        onProblem: reportProblem,
    });

    const closeIdleConnections = (): void => {
        for (const [router, link] of links) {
            link.closeIdle(getNow() - limits.idleTimeoutMs);
            if (link.isEmpty()) links.delete(router);
        }
        for (const [address, connection] of connections) {
            if (connection.isInUse()) continue;
            connection.close();
            connections.delete(address);
        }
    };
    const idleTimer = setInterval(closeIdleConnections, Math.max(limits.idleTimeoutMs / 4, 10));
    idleTimer.unref();

    return {
        send: (router, address, message) => {
            // A router can be the coordinator of a pool to which it reports; such messages are delivered locally.
            if (router === identity.router) setImmediate(() => closing || opts.onMessage(router, message));
            else getOrCreateLink(router).send(address, message);
        },
        forwardCall: (router, address, call) => getOrCreateConnection(address).forwardCall(router, call),
        countTraffic: () => ({ ...traffic }),
        countStreams: () => [...links.values()].reduce((sum, link) => sum + link.countStreams(), 0),
        listen: address => server.listen(address),
        close: async () => {
            closing = true;
            clearInterval(idleTimer);
            await Promise.all([...links.values()].map(link => link.close()));
            await server.close();
            for (const connection of connections.values()) connection.close();
        },
    };
}

function createGrpcCredentials(tls: PeerTls | undefined): { client: ChannelCredentials; server: ServerCredentials; } {
    if (tls === undefined)
        return { client: ChannelCredentials.createInsecure(), server: ServerCredentials.createInsecure() };
    const keyPair = { private_key: tls.key, cert_chain: tls.certificate };
    return {
        client: ChannelCredentials.createSsl(tls.authority, tls.key, tls.certificate),
        server: ServerCredentials.createSsl(tls.authority, [keyPair], true),
    };
}
