/** A gRPC stream to a peer, opened by either side. */
import type { ClientDuplexStream, ServerDuplexStream } from "@grpc/grpc-js";
import type { PeerIdentity } from "./authentication.js";

export interface PeerStream {
    readonly peer: PeerIdentity;
    /** Router that opened the stream. */
    readonly openedBy: string;
    /** Whether batches may be written; after a false result, `onDrain` signals that they may be written again. */
    readonly isWritable: () => boolean;
    /** Whether this side has ended the stream; it may still receive. */
    readonly isEnded: () => boolean;
    readonly write: (batch: Buffer) => void;
    /** Sends the written batches, then ends this side; the other side may still send. */
    readonly end: () => void;
    readonly destroy: () => void;
}

export interface PeerStreamObserver {
    readonly onBatch: (stream: PeerStream, batch: Buffer) => void;
    readonly onDrain: (stream: PeerStream) => void;
    /** Called once. `clean`: both sides had ended the stream, so no batch was lost. */
    readonly onClosed: (stream: PeerStream, clean: boolean) => void;
}

type GrpcStream = ClientDuplexStream<Buffer, Buffer> | ServerDuplexStream<Buffer, Buffer>;

/** Wraps an authenticated stream. `abortGrpcStream` ends it with an error status. */
export function createPeerStream(opts: {
    readonly grpcStream: GrpcStream;
    readonly peer: PeerIdentity;
    readonly openedBy: string;
    readonly observer: PeerStreamObserver;
    readonly abortGrpcStream: () => void;
}): PeerStream & { readonly close: (clean: boolean) => void; } {
    const { grpcStream, observer } = opts;
    let isBlocked = false;
    let isEnded = false;
    let isClosed = false;

    const stream = {
        peer: opts.peer,
        openedBy: opts.openedBy,
        isWritable: () => !isBlocked && !isEnded && !isClosed,
        isEnded: () => isEnded || isClosed,
        write: (batch: Buffer) => {
            isBlocked = !grpcStream.write(batch);
        },
        end: () => {
            if (isEnded || isClosed) return;
            isEnded = true;
            grpcStream.end();
        },
        destroy: () => {
            stream.close(false);
            opts.abortGrpcStream();
        },
        close: (clean: boolean) => {
            if (isClosed) return;
            isClosed = true;
            observer.onClosed(stream, clean);
        },
    };

    grpcStream.on("data", (batch: Buffer) => {
        if (!isClosed) observer.onBatch(stream, batch);
    });
    grpcStream.on("drain", () => {
        isBlocked = false;
        observer.onDrain(stream);
    });
    return stream;
}
