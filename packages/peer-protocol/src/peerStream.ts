/** One gRPC stream to a peer, whichever side opened it. */
import type { ClientDuplexStream, ServerDuplexStream } from "@grpc/grpc-js";
import type { PeerIdentity } from "./authentication.js";

export interface PeerStream {
    readonly peer: PeerIdentity;
    /** Router that opened the stream. */
    readonly openedBy: string;
    /** Whether the stream takes more batches now; `onDrain` of the link follows when it does again. */
    readonly isWritable: () => boolean;
    /** Whether this side has ended the stream; it may still receive. */
    readonly isEnded: () => boolean;
    readonly write: (batch: Buffer) => void;
    /** Sends what was written, then ends this side; the other side may still send. */
    readonly end: () => void;
    readonly destroy: () => void;
}

export interface PeerStreamObserver {
    readonly onBatch: (stream: PeerStream, batch: Buffer) => void;
    readonly onDrain: (stream: PeerStream) => void;
    /** `clean`: both sides had ended the stream, so nothing was lost. Comes once. */
    readonly onClosed: (stream: PeerStream, clean: boolean) => void;
}

type GrpcStream = ClientDuplexStream<Buffer, Buffer> | ServerDuplexStream<Buffer, Buffer>;

/** Wraps an authenticated stream. `destroyCall` breaks it off with an error status. */
export function createPeerStream(opts: {
    readonly call: GrpcStream;
    readonly peer: PeerIdentity;
    readonly openedBy: string;
    readonly observer: PeerStreamObserver;
    readonly destroyCall: () => void;
}): PeerStream & { readonly close: (clean: boolean) => void; } {
    const { call, observer } = opts;
    let blocked = false;
    let ended = false;
    let closed = false;

    const stream = {
        peer: opts.peer,
        openedBy: opts.openedBy,
        isWritable: () => !blocked && !ended && !closed,
        isEnded: () => ended || closed,
        write: (batch: Buffer) => {
            blocked = !call.write(batch);
        },
        end: () => {
            if (ended || closed) return;
            ended = true;
            call.end();
        },
        destroy: () => {
            stream.close(false);
            opts.destroyCall();
        },
        close: (clean: boolean) => {
            if (closed) return;
            closed = true;
            observer.onClosed(stream, clean);
        },
    };

    call.on("data", (batch: Buffer) => {
        if (!closed) observer.onBatch(stream, batch);
    });
    call.on("drain", () => {
        blocked = false;
        observer.onDrain(stream);
    });
    return stream;
}
