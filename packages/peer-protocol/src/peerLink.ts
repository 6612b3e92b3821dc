/** Everything between this router and one peer: the queue, the streams, and when to connect. */
import type { PeerMessage } from "@rhubarbwheel/types/peer-messages";
import type { PeerBatch } from "./peerCodec.js";
import { decodePeerBatch, encodePeerBatch } from "./peerCodec.js";
import { createPeerQueue } from "./peerQueue.js";
import type { PeerStream, PeerStreamObserver } from "./peerStream.js";

/** Messages to one peer within this time share a batch; a batch costs far more CPU time than a message in it. */
const batchWindowMs = 5;

/** The first attempt after a failure follows soon, because most failures are restarts; the cap keeps dead peers cheap. */
const backoff = { firstMs: 50, maxMs: 2_000 };

export interface PeerLinkOptions {
    readonly self: PeerBatch["from"];
    readonly incarnation: number;
    readonly router: string;
    readonly maxQueuedMessages: number;
    readonly maxBatchBytes: number;
    readonly getTime: () => number;
    /** Opens a stream; resolves with undefined when the peer can't be reached or isn't the one expected. */
    readonly openStream: (address: string, observer: PeerStreamObserver) => Promise<PeerStream | undefined>;
    readonly onMessage: (message: PeerMessage) => void;
    readonly onUnreachable: () => void;
    readonly onProblem: (problem: string) => void;
    readonly onTraffic: (messages: number, bytes: number) => void;
}

export interface PeerLink {
    readonly send: (address: string, message: PeerMessage) => void;
    /** False while a later start of the same router is connected. */
    readonly isAcceptable: (incarnation: number) => boolean;
    /** Takes over a stream that the peer opened. */
    readonly addStream: (stream: PeerStream) => void;
    readonly observer: PeerStreamObserver;
    /** Ends the streams of a link that was not used since `usedBefore`. */
    readonly closeIdle: (usedBefore: number) => void;
    /** Whether nothing is left to keep. */
    readonly isEmpty: () => boolean;
    readonly countStreams: () => number;
    /** Sends what is queued, opening a stream when needed, then ends the streams. */
    readonly close: () => Promise<void>;
}

export function createPeerLink(opts: PeerLinkOptions): PeerLink {
    const queue = createPeerQueue(opts.maxQueuedMessages);
    let streams: PeerStream[] = [];
    let address = "";
    let opening: Promise<void> | undefined;
    let timer: NodeJS.Timeout | undefined;
    let immediate: NodeJS.Immediate | undefined;
    let failures = 0;
    let nextAttemptAt = 0;
    let lastFlushAt = -Infinity;
    let lastUsedAt = opts.getTime();
    let closing = false;

    const chooseStream = (): PeerStream | undefined => {
        // Both sides prefer the stream that the router with the lesser name opened, so simultaneous opens settle.
        const preferred = opts.self < opts.router ? opts.self : opts.router;
        const open = streams.filter(stream => !stream.isEnded());
        return open.findLast(stream => stream.openedBy === preferred) ?? open.at(-1);
    };

    const scheduleFlush = (): void => {
        if (timer !== undefined || immediate !== undefined) return;
        const now = opts.getTime();
        const connected = chooseStream() !== undefined;
        const delay = Math.max(lastFlushAt + batchWindowMs - now, connected ? 0 : nextAttemptAt - now);
        const run = (): void => {
            timer = undefined;
            immediate = undefined;
            flush();
        };
        if (delay > 0) timer = setTimeout(run, delay);
        else immediate = setImmediate(run);
    };

    const cancelFlush = (): void => {
        clearTimeout(timer);
        clearImmediate(immediate);
        timer = undefined;
        immediate = undefined;
    };

    const flush = (): void => {
        if (queue.getLength() === 0) return;
        const stream = chooseStream();
        if (stream === undefined) {
            opening ??= openStream().finally(() => (opening = undefined));
            return;
        }
        if (!stream.isWritable()) return;
        lastFlushAt = opts.getTime();
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
            if (encoded !== undefined) opts.onProblem(`A message of ${encoded.length} bytes is over the limit.`);
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
            if (messages.length === 1) opts.onProblem(`A message can't be encoded: ${String(error)}`);
            return undefined;
        }
    };

    const openStream = async (): Promise<void> => {
        const stream = await opts.openStream(address, observer);
        if (stream !== undefined) addStream(stream);
        else if (streams.length === 0) reportUnreachable();
    };

    const reportUnreachable = (): void => {
        nextAttemptAt = opts.getTime() + Math.min(backoff.firstMs * 2 ** failures, backoff.maxMs);
        failures = Math.min(failures + 1, 10);
        queue.takeAll();
        opts.onUnreachable();
    };

    const isAcceptable = (incarnation: number): boolean => !streams.some(other => other.peer.incarnation > incarnation);

    const addStream = (stream: PeerStream): void => {
        if (!isAcceptable(stream.peer.incarnation)) return stream.destroy();
        // A stream of an earlier start, or an earlier stream of the same side, has lost its other end.
        const lost = streams.filter(other =>
            other.peer.incarnation < stream.peer.incarnation
            || (other.openedBy === stream.openedBy && !other.isEnded())
        );
        streams = [...streams.filter(other => !lost.includes(other)), stream];
        for (const other of lost) other.destroy();
        failures = 0;
        nextAttemptAt = 0;
        lastUsedAt = opts.getTime();
        endSuperseded();
        flush();
    };

    const endSuperseded = (): void => {
        const chosen = chooseStream();
        for (const stream of streams) if (stream !== chosen && stream.openedBy === opts.self) stream.end();
    };

    const receiveBatch = (stream: PeerStream, encoded: Buffer): void => {
        lastUsedAt = opts.getTime();
        const batch = decodePeerBatch(encoded);
        opts.onTraffic(batch.messages.length, encoded.length);
        for (const problem of batch.problems) opts.onProblem(problem);
        if (batch.from !== stream.peer.router || batch.incarnation !== stream.peer.incarnation) {
            if (batch.messages.length > 0) opts.onProblem(`A batch names ${batch.from} as its sender and was dropped.`);
            return;
        }
        for (const message of batch.messages) opts.onMessage(message);
    };

    const observer: PeerStreamObserver = {
        onBatch: receiveBatch,
        onDrain: flush,
        onClosed: (stream, clean) => {
            const known = streams.includes(stream);
            streams = streams.filter(other => other !== stream);
            if (!known || closing) return;
            if (!clean && streams.length === 0) reportUnreachable();
            else if (queue.getLength() > 0) scheduleFlush();
        },
    };

    return {
        send: (newAddress, message) => {
            if (closing) return;
            if (newAddress !== address) {
                address = newAddress;
                nextAttemptAt = 0;
            }
            if (!queue.add(message)) {
                opts.onUnreachable();
                return;
            }
            scheduleFlush();
        },
        isAcceptable,
        addStream,
        observer,
        closeIdle: usedBefore => {
            if (lastUsedAt >= usedBefore || queue.getLength() > 0) return;
            for (const stream of streams) if (stream.openedBy === opts.self) stream.end();
        },
        isEmpty: () => streams.length === 0 && queue.getLength() === 0 && opening === undefined,
        countStreams: () => streams.length,
        close: async () => {
            closing = true;
            cancelFlush();
            flush();
            await opening;
            cancelFlush();
            for (const stream of streams) stream.end();
        },
    };
}
