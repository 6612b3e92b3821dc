/** Link to one peer: queues and batches messages, selects a stream for them, and reconnects with backoff. */
import type { PeerMessage } from "@rhubarbwheel/types/peer-messages";
import type { PeerBatch } from "./peerCodec.js";
import { decodePeerBatch, encodePeerBatch } from "./peerCodec.js";
import { createPeerQueue } from "./peerQueue.js";
import type { PeerStream, PeerStreamObserver } from "./peerStream.js";

/** Minimum interval between batches to a peer; a batch costs far more CPU time than a message in it. */
const batchWindowMs = 5;

/** The first delay is short, because most failures are restarts; the maximum bounds the cost of unreachable peers. */
const backoff = { initialMs: 50, maxMs: 2_000 };

export interface PeerLinkOptions {
    readonly self: PeerBatch["from"];
    readonly incarnation: number;
    readonly router: string;
    readonly maxQueuedMessages: number;
    readonly maxBatchBytes: number;
    readonly getNow: () => number;
    /** Opens a stream; resolves with undefined if the peer is unreachable or is not the expected router. */
    readonly openStream: (address: string, observer: PeerStreamObserver) => Promise<PeerStream | undefined>;
    readonly onMessage: (message: PeerMessage) => void;
    readonly onUnreachable: () => void;
    readonly onProblem: (problem: string) => void;
    readonly onTraffic: (messages: number, bytes: number) => void;
}

export interface PeerLink {
    readonly send: (address: string, message: PeerMessage) => void;
    /** False while a later incarnation of the peer is connected. */
    readonly isAcceptableIncarnation: (incarnation: number) => boolean;
    /** Adds a stream that the peer opened. */
    readonly addStream: (stream: PeerStream) => void;
    readonly observer: PeerStreamObserver;
    /** Ends the streams that this router opened, if the link has not been used since `usedBefore`. */
    readonly closeIdle: (usedBefore: number) => void;
    /** Whether the link has neither streams nor queued messages and can be removed. */
    readonly isEmpty: () => boolean;
    readonly countStreams: () => number;
    /** Sends the queued messages, opening a stream if necessary, then ends the streams. */
    readonly close: () => Promise<void>;
}

export function createPeerLink(opts: PeerLinkOptions): PeerLink {
    const queue = createPeerQueue(opts.maxQueuedMessages);
    let streams: PeerStream[] = [];
    let address = "";
    let openingStream: Promise<void> | undefined;
    let flushTimer: NodeJS.Timeout | undefined;
    let flushImmediate: NodeJS.Immediate | undefined;
    let failureCount = 0;
    let nextConnectAt = 0;
    let lastFlushAt = -Infinity;
    let lastUsedAt = opts.getNow();
    let closing = false;

    const chooseStream = (): PeerStream | undefined => {
        // Both sides prefer the stream opened by the router with the smaller name, so that simultaneous opens converge.
        const preferred = opts.self < opts.router ? opts.self : opts.router;
        const open = streams.filter(stream => !stream.isEnded());
        return open.findLast(stream => stream.openedBy === preferred) ?? open.at(-1);
    };

    const scheduleFlush = (): void => {
        if (flushTimer !== undefined || flushImmediate !== undefined) return;
        const now = opts.getNow();
        const isConnected = chooseStream() !== undefined;
        const delayMs = Math.max(lastFlushAt + batchWindowMs - now, isConnected ? 0 : nextConnectAt - now);
        const runFlush = (): void => {
            flushTimer = undefined;
            flushImmediate = undefined;
            flush();
        };
        if (delayMs > 0) flushTimer = setTimeout(runFlush, delayMs);
        else flushImmediate = setImmediate(runFlush);
    };

    const cancelFlush = (): void => {
        clearTimeout(flushTimer);
        clearImmediate(flushImmediate);
        flushTimer = undefined;
        flushImmediate = undefined;
    };

    const flush = (): void => {
        if (queue.getLength() === 0) return;
        const stream = chooseStream();
        if (stream === undefined) {
            openingStream ??= openStream().finally(() => (openingStream = undefined));
            return;
        }
        if (!stream.isWritable()) return;
        lastFlushAt = opts.getNow();
        lastUsedAt = lastFlushAt;
        writeBatches(stream, queue.takeAll());
    };

    const writeBatches = (stream: PeerStream, messages: readonly PeerMessage[]): void => {
        const encoded = encodeMessages(messages);
        if (encoded !== undefined && encoded.length <= opts.maxBatchBytes) {
            opts.onTraffic(messages.length, encoded.length);
            stream.write(encoded);
            return;
        }
        if (messages.length === 1) {
            if (encoded !== undefined) opts.onProblem(`A message of ${encoded.length} bytes exceeds the size limit.`);
            return;
        }
        const middle = messages.length >> 1;
        writeBatches(stream, messages.slice(0, middle));
        writeBatches(stream, messages.slice(middle));
    };

    const encodeMessages = (messages: readonly PeerMessage[]): Buffer | undefined => {
        try {
            return encodePeerBatch({ from: opts.self, incarnation: opts.incarnation, messages });
        }
        catch (error) {
            if (messages.length === 1) opts.onProblem(`A message cannot be encoded: ${String(error)}`);
            return undefined;
        }
    };

    const openStream = async (): Promise<void> => {
        const stream = await opts.openStream(address, observer);
        if (stream !== undefined) addStream(stream);
        else if (streams.length === 0) reportUnreachable();
    };

    const reportUnreachable = (): void => {
        nextConnectAt = opts.getNow() + Math.min(backoff.initialMs * 2 ** failureCount, backoff.maxMs);
        failureCount = Math.min(failureCount + 1, 10);
        queue.takeAll();
        opts.onUnreachable();
    };

    const isAcceptableIncarnation = (incarnation: number): boolean =>
        !streams.some(other => other.peer.incarnation > incarnation);

    const addStream = (stream: PeerStream): void => {
        if (!isAcceptableIncarnation(stream.peer.incarnation)) return stream.destroy();
        // The peer no longer uses streams of its earlier incarnations, or earlier streams that the same router opened.
        const staleStreams = streams.filter(other =>
            other.peer.incarnation < stream.peer.incarnation
            || (other.openedBy === stream.openedBy && !other.isEnded())
        );
        streams = [...streams.filter(other => !staleStreams.includes(other)), stream];
        for (const other of staleStreams) other.destroy();
        failureCount = 0;
        nextConnectAt = 0;
        lastUsedAt = opts.getNow();
        endSupersededStreams();
        flush();
    };

    const endSupersededStreams = (): void => {
        const chosen = chooseStream();
        for (const stream of streams) if (stream !== chosen && stream.openedBy === opts.self) stream.end();
    };

    const receiveBatch = (stream: PeerStream, encoded: Buffer): void => {
        lastUsedAt = opts.getNow();
        const batch = decodePeerBatch(encoded);
        opts.onTraffic(batch.messages.length, encoded.length);
        for (const problem of batch.problems) opts.onProblem(problem);
        if (batch.from !== stream.peer.router || batch.incarnation !== stream.peer.incarnation) {
            if (batch.messages.length > 0)
                opts.onProblem(`A batch of ${batch.from} was dropped: wrong sender or incarnation.`);
            return;
        }
        for (const message of batch.messages) opts.onMessage(message);
    };

    const observer: PeerStreamObserver = {
        onBatch: receiveBatch,
        onDrain: flush,
        onClosed: (stream, clean) => {
            const wasTracked = streams.includes(stream);
            streams = streams.filter(other => other !== stream);
            if (!wasTracked || closing) return;
            if (!clean && streams.length === 0) reportUnreachable();
            else if (queue.getLength() > 0) scheduleFlush();
        },
    };

    return {
        send: (newAddress, message) => {
            if (closing) return;
            if (newAddress !== address) {
                address = newAddress;
                nextConnectAt = 0;
            }
            if (!queue.add(message)) {
                opts.onUnreachable();
                return;
            }
            scheduleFlush();
        },
        isAcceptableIncarnation,
        addStream,
        observer,
        closeIdle: usedBefore => {
            if (lastUsedAt >= usedBefore || queue.getLength() > 0) return;
            for (const stream of streams) if (stream.openedBy === opts.self) stream.end();
        },
        isEmpty: () => streams.length === 0 && queue.getLength() === 0 && openingStream === undefined,
        countStreams: () => streams.length,
        close: async () => {
            closing = true;
            cancelFlush();
            flush();
            await openingStream;
            cancelFlush();
            for (const stream of streams) stream.end();
        },
    };
}
