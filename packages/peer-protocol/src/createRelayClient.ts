/** Connections to the routers that relay the store to this one. */
import type { RouterEntry, ViewKind } from "@rhubarbwheel/types/fleet";
import type { RelaySink } from "@rhubarbwheel/types/relay";
import type { StorePosition } from "@rhubarbwheel/types/storePosition";
import { connect } from "node:net";
import {
    type ChangesFrame,
    createNonce,
    encodeFrame,
    type ListFrame,
    readFrames,
    type RelayFrame,
    relayProtocolVersion,
    signNonce,
    verifyNonce,
} from "./relayFrames.js";
import { splitAddress } from "./splitAddress.js";

export interface RelayClientOptions {
    /** Name of this router. */
    readonly router: string;
    readonly sink: RelaySink;
    readonly getNow: () => number;
    /** Version of the frames; a relay of another version refuses the connection. `relayProtocolVersion` if omitted. */
    readonly protocolVersion?: number;
    /** Interval between requests for a confirmation. */
    readonly pingIntervalMs: number;
    /** Called before a reply is handled, so that a suspension of this host is noticed before times are compared. */
    readonly checkClocks: () => void;
    /** `confirmedAt` is monotonic time of this router, no later than that of the store's own confirmation. */
    readonly onReport: (relay: RouterEntry, confirmedAt: Readonly<Partial<Record<ViewKind, number>>>) => void;
    /** Called once for each connection that fails or ends, unless it was closed by this router. */
    readonly onLost: (relay: RouterEntry, reason: string) => void;
}

interface RelayConnection {
    readonly entry: RouterEntry;
    readonly clearPings: () => void;
    readonly close: () => void;
}

function openRelayConnection(entry: RouterEntry, opts: RelayClientOptions): RelayConnection {
    const { sink, protocolVersion: version = relayProtocolVersion } = opts;
    const key = entry.relayKey ?? "";
    const { host, port } = splitAddress(entry.address);
    const socket = connect(port, host);
    const nonce = createNonce();
    /** Time at which each pending ping was sent, by sequence number. */
    const pingSentAt = new Map<number, number>();
    /** Position up to which the relay has sent each kind. */
    const received: Partial<Record<ViewKind, StorePosition>> = {};
    let sequence = 0;
    let pingTimer: NodeJS.Timeout | undefined;
    let isClosed = false;

    const close = (): void => {
        isClosed = true;
        clearInterval(pingTimer);
        socket.destroy();
    };

    const failConnection = (reason: string): void => {
        if (isClosed) return;
        close();
        opts.onLost(entry, reason);
    };

    const sendPing = (): void => {
        sequence += 1;
        pingSentAt.set(sequence, opts.getNow());
        socket.write(encodeFrame({ type: "ping", sequence }));
    };

    const handlePong = (frame: Extract<RelayFrame, { readonly type: "pong"; }>): void => {
        opts.checkClocks();
        // After a suspension, during which this router's clock stood still, the age is unknown.
        const sentAt = pingSentAt.get(frame.sequence) ?? -Infinity;
        pingSentAt.delete(frame.sequence);
        const confirmedAt: Partial<Record<ViewKind, number>> = {};
        for (const { kind, era, revision, ageMs } of frame.kinds) {
            const from = received[kind];
            // A relay begins each era with a list.
            if (from?.era !== era) return failConnection(`gap in ${kind}`);
            received[kind] = { era, revision };
            confirmedAt[kind] = sentAt - ageMs;
            const confirmation = { era, fromRevision: from.revision, revision, confirmedAt: sentAt - ageMs };
            if (sink.confirm(kind, confirmation) === "gap") return failConnection(`gap in ${kind}`);
        }
        opts.onReport(entry, confirmedAt);
    };

    const handleList = ({ kind, entries, era, revision }: ListFrame): void => {
        received[kind] = { era, revision };
        sink.applyRelayedList(kind, { entries, era, revision }, entry.router);
    };

    const handleChanges = ({ kind, changes, era, fromRevision, revision }: ChangesFrame): void => {
        const from = received[kind];
        const isInOrder = from?.era === era && from.revision === fromRevision;
        received[kind] = { era, revision };
        const update = { changes, era, fromRevision, revision };
        if (!isInOrder || sink.applyRelayedChanges(kind, update, entry.router) === "gap")
            failConnection(`gap in ${kind}`);
    };

    const handleWelcome = (frame: Extract<RelayFrame, { readonly type: "welcome"; }>): void => {
        if (!verifyNonce(frame.signature, key, "relay", entry.router, nonce))
            return failConnection("not authenticated");
        const signature = signNonce(key, "follower", opts.router, frame.nonce);
        socket.write(encodeFrame({ type: "join", signature }));
        sendPing();
        pingTimer = setInterval(sendPing, opts.pingIntervalMs);
    };

    const handleFrame = (frame: RelayFrame): void => {
        if (frame.type === "welcome" && pingTimer === undefined) handleWelcome(frame);
        else if (pingTimer === undefined) failConnection(`${frame.type} before authentication`);
        else if (frame.type === "pong") handlePong(frame);
        else if (frame.type === "list") handleList(frame);
        else if (frame.type === "changes") handleChanges(frame);
        else failConnection(`unexpected ${frame.type}`);
    };

    socket.setNoDelay(true);
    socket.once("connect", () => {
        socket.write(encodeFrame({ type: "hello", version, router: opts.router, nonce }));
    });
    socket.on("error", error => failConnection((error as NodeJS.ErrnoException).code ?? error.message));
    socket.once("close", () => failConnection("closed"));
    readFrames(socket, { onFrame: handleFrame, onMalformed: failConnection });
    return { entry, clearPings: () => pingSentAt.clear(), close };
}

export function createRelayClient(opts: RelayClientOptions) {
    let connections: readonly RelayConnection[] = [];

    const setRelays = (relays: readonly RouterEntry[]): void => {
        const matches = (connection: RelayConnection, relay: RouterEntry): boolean =>
            connection.entry.router === relay.router && connection.entry.incarnation === relay.incarnation;
        const kept = connections.filter(connection => relays.some(relay => matches(connection, relay)));
        for (const connection of connections) if (!kept.includes(connection)) connection.close();
        const added = relays.filter(relay => !kept.some(connection => matches(connection, relay)));
        connections = [...kept, ...added.map(relay => openRelayConnection(relay, opts))];
    };

    return {
        /** Opens connections to `relays` and closes those to any others. */
        setRelays,
        /** Ignores the replies to requests sent so far, because the monotonic clock may have stood still. */
        clearPings: (): void => connections.forEach(connection => connection.clearPings()),
        close: (): void => setRelays([]),
    };
}

export type RelayClient = ReturnType<typeof createRelayClient>;
