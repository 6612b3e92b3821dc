/** Relays the store's entries to other routers over TCP: a list of each kind first, then the changes as they arrive. */
import type { ViewKind } from "@rhubarbwheel/types/fleet";
import { viewKindsWithRollouts } from "@rhubarbwheel/types/fleet";
import type { RelayedChanges, RelaySource } from "@rhubarbwheel/types/relay";
import type { StorePosition } from "@rhubarbwheel/types/storePosition";
import type { ViewChange } from "@rhubarbwheel/types/view-events";
import { createServer } from "node:net";
import type { Socket } from "node:net";
import { listenAt } from "./listenAt.js";
import {
    createNonce,
    encodeFrame,
    readFrames,
    type RelayFrame,
    relayProtocolVersion,
    signNonce,
    verifyNonce,
} from "./relayFrames.js";

export interface RelayServerOptions {
    /** Name of this router. */
    readonly router: string;
    /** Key that this router has published in the store. */
    readonly key: string;
    /** Address to bind, `ip:port`. */
    readonly listen: string;
    readonly source: RelaySource;
    /** Version of the frames; followers of another one are refused. `relayProtocolVersion` if omitted. */
    readonly protocolVersion?: number;
    readonly getNow: () => number;
    /** Called before a reply, so that a suspension of the host is noticed before ages are computed. */
    readonly checkClocks: () => void;
    /** Reports refused and malformed connections. */
    readonly onProblem: (problem: string) => void;
}

/** Time within which a connection must authenticate. */
const authenticationTimeoutMs = 1_000;

/** Time without a request after which a connection is closed. */
const idleTimeoutMs = 10_000;

/** Many times the number of routers that follow one relay. */
const maxConnections = 512;

/** Unsent bytes at which a follower that does not read is disconnected. */
const maxUnsentBytes = 16 * 1024 * 1024;

interface Follower {
    readonly socket: Socket;
    /** Position up to which each kind has been sent. */
    readonly sent: Partial<Record<ViewKind, StorePosition>>;
}

export function createRelayServer(opts: RelayServerOptions) {
    const { source, protocolVersion = relayProtocolVersion } = opts;
    const followers = new Set<Follower>();
    const sockets = new Set<Socket>();
    /** The last encoded changes: most followers have been sent the same revision before. */
    let lastEncoded = { key: "", text: "" };

    const write = (socket: Socket, text: string): void => {
        if (socket.writableLength > maxUnsentBytes) socket.destroy();
        else socket.write(text);
    };

    const sendList = (follower: Follower, kind: ViewKind): void => {
        const list = source.getList(kind);
        if (list === undefined) return;
        const { era, revision } = list;
        follower.sent[kind] = { era, revision };
        write(follower.socket, encodeFrame({ type: "list", kind, ...list }));
    };

    const sendPong = (follower: Follower, sequence: number): void => {
        opts.checkClocks();
        const kinds = viewKindsWithRollouts.flatMap(kind => {
            const confirmation = source.getConfirmation(kind);
            if (confirmation === undefined || follower.sent[kind]?.era !== confirmation.era) return [];
            const ageMs = opts.getNow() - confirmation.confirmedAt;
            if (ageMs === Infinity) return [];
            const { era, revision } = confirmation;
            follower.sent[kind] = { era, revision };
            return [{ kind, era, revision, ageMs: Math.max(0, ageMs) }];
        });
        write(follower.socket, encodeFrame({ type: "pong", sequence, kinds }));
    };

    const authenticate = (socket: Socket, onJoined: (follower: Follower) => void): (frame: RelayFrame) => boolean => {
        const nonce = createNonce();
        let router = "";
        return frame => {
            if (frame.type === "hello" && router === "" && frame.version === protocolVersion) {
                router = frame.router;
                const signature = signNonce(opts.key, "relay", opts.router, frame.nonce);
                write(socket, encodeFrame({ type: "welcome", nonce, signature }));
                return true;
            }
            if (frame.type !== "join" || router === "") return false;
            if (!verifyNonce(frame.signature, opts.key, "follower", router, nonce)) return false;
            onJoined({ socket, sent: {} });
            return true;
        };
    };

    const accept = (socket: Socket): void => {
        const remote = socket.remoteAddress ?? "";
        let follower: Follower | undefined;
        const refuse = (problem: string): void => {
            opts.onProblem(`relay connection from ${remote}: ${problem}`);
            socket.destroy();
        };
        const handleHandshake = authenticate(socket, joined => {
            follower = joined;
            followers.add(joined);
            socket.setTimeout(idleTimeoutMs);
            for (const kind of viewKindsWithRollouts) sendList(joined, kind);
        });
        sockets.add(socket);
        socket.setNoDelay(true);
        socket.setTimeout(authenticationTimeoutMs, () => socket.destroy());
        socket.on("error", () => socket.destroy());
        socket.once("close", () => {
            sockets.delete(socket);
            if (follower !== undefined) followers.delete(follower);
        });
        readFrames(socket, {
            onFrame: frame => {
                if (follower === undefined) {
                    if (!handleHandshake(frame)) refuse("not authenticated");
                }
                else if (frame.type === "ping") sendPong(follower, frame.sequence);
                else refuse(`unexpected ${frame.type}`);
            },
            onMalformed: refuse,
        });
    };

    const server = createServer(accept);
    server.maxConnections = maxConnections;
    server.on("error", error => opts.onProblem(error.message));

    const encodeChanges = (kind: ViewKind, update: RelayedChanges): string => {
        const key = `${kind} ${update.era} ${update.fromRevision} ${update.revision}`;
        if (lastEncoded.key !== key) lastEncoded = { key, text: encodeFrame({ type: "changes", kind, ...update }) };
        return lastEncoded.text;
    };

    return {
        listen: (): Promise<void> => listenAt(server, opts.listen),
        /** Sends the changes of a kind to all followers, or its list if `changes` is omitted. */
        sendUpdate: (kind: ViewKind, changes?: readonly ViewChange[]): void => {
            const position = source.getPosition(kind);
            if (position === undefined) return;
            for (const follower of followers) {
                const sent = follower.sent[kind];
                if (changes === undefined || sent?.era !== position.era) sendList(follower, kind);
                else {
                    follower.sent[kind] = position;
                    write(follower.socket, encodeChanges(kind, { changes, ...position, fromRevision: sent.revision }));
                }
            }
        },
        countFollowers: (): number => followers.size,
        close: (): void => {
            server.close();
            for (const socket of sockets) socket.destroy();
        },
    };
}

export type RelayServer = ReturnType<typeof createRelayServer>;
