/**
 * Bounds how much of what one target sends the parser handles in each pass of the event loop. The cost of parsing depends
 * on the number of pieces (chunks, headers and trailers), not on their bytes. libuv reads up to 2 MiB of a socket in one
 * pass, which is some 350,000 pieces of the smallest size.
 */
import type { Socket } from "node:net";

/** What has been received of the body of a response. */
export interface BodyMeter {
    bytes: number;
    pieces: number;
}

export interface ReadLimiterOptions {
    readonly getNow: () => number;
}

export interface SocketReads {
    /** Called when a call begins on the connection. */
    readonly startResponse: () => void;
    /**
     * Stops passing bytes to the parser, except for the rest of a slice. The parser itself must not be paused: undici throws
     * if a connection ends then.
     */
    readonly pause: () => void;
    readonly resume: () => void;
}

/** Bytes outside the body that belong to a chunk: its size and line ends. */
const bytesPerChunk = 8;

/** Further bytes outside the body that count as a piece: the shortest headers, of 6 bytes, take the time of 5 chunks. */
const bytesPerPiece = 2;

/** Further bytes outside the body of a response that are not limited: a usual head. */
const freeOtherBytes = 2 * 1024;

/** Bytes that cost as much to relay as a chunk of the body costs to parse. */
const relayedBytesPerPiece = 4 * 1024;

/** Pieces of a response that are not limited. Responses to many calls arrive in the same pass. */
const freePieces = 256;

/** Limit on the pieces of one target in one pass: 0.2 ms for chunks of one byte, 0.4 ms for headers. */
const maxPiecesPerPass = 500;

/**
 * Mean size below which pieces are short: a target that has reached the limit has to pause, and the next slice is small.
 * Events of a stream, each in its chunk, are larger.
 */
const minMeanBytes = 24;

/** Factor by which the pause exceeds the time that the pieces took: the target gets at most a tenth of the time. */
const pauseRatio = 9;

/** Maximum pause. A process that waits for the processor measures a pass as too long. */
const maxPauseMs = 100;

/** Limits for the bytes passed to the parser at once, which it handles to their end. */
const minSliceBytes = 1024;
const firstSliceBytes = 2 * 1024;
const maxSliceBytes = 32 * 1024;

/** Reads of all connections to one target. */
interface TargetReads {
    readonly address: string;
    socketCount: number;
    pass: number;
    passStartedAt: number;
    /** Pieces and bytes in this pass, without those that are not limited. */
    pieces: number;
    bytes: number;
    isBlocked: boolean;
    /** Sockets with unread bytes, in the order in which they are read once the target is not blocked. */
    readonly waiting: Set<Socket>;
}

export function createReadLimiter(opts: ReadLimiterOptions) {
    const targets = new Map<string, TargetReads>();
    let pass = 0;
    let isPassScheduled = false;
    const nextPassActions: (() => void)[] = [];

    const startPass = (): void => {
        pass += 1;
        isPassScheduled = false;
        for (const action of nextPassActions.splice(0)) action();
    };

    /** Schedules the start of the next pass, after all sockets that are readable in this one. */
    const schedulePass = (): void => {
        if (isPassScheduled) return;
        isPassScheduled = true;
        setImmediate(startPass);
    };

    const removeUnused = (reads: TargetReads): void => {
        if (reads.socketCount === 0 && !reads.isBlocked) targets.delete(reads.address);
    };

    const unblock = (reads: TargetReads): void => {
        reads.isBlocked = false;
        removeUnused(reads);
        for (const socket of [...reads.waiting]) {
            if (reads.isBlocked) return;
            reads.waiting.delete(socket);
            // undici reads the socket until there is nothing more, or until the target is blocked again.
            if (!socket.destroyed) socket.emit("readable");
        }
    };

    const block = (reads: TargetReads): void => {
        reads.isBlocked = true;
        const isShort = reads.bytes < reads.pieces * minMeanBytes;
        if (!isShort) {
            nextPassActions.push(() => unblock(reads));
            return schedulePass();
        }
        const pauseMs = Math.min(maxPauseMs, pauseRatio * (opts.getNow() - reads.passStartedAt));
        setTimeout(() => unblock(reads), pauseMs);
    };

    /** `startedAt`: time at which the parser began with the bytes. */
    const charge = (reads: TargetReads, pieces: number, bytes: number, startedAt: number): void => {
        if (reads.pass !== pass) {
            reads.pass = pass;
            reads.passStartedAt = startedAt;
            reads.pieces = 0;
            reads.bytes = 0;
            schedulePass();
        }
        reads.pieces += pieces;
        reads.bytes += bytes;
        if (reads.pieces >= maxPiecesPerPass && !reads.isBlocked) block(reads);
    };

    const getOrCreateTarget = (address: string): TargetReads => {
        const existing = targets.get(address);
        if (existing !== undefined) return existing;
        const reads: TargetReads = {
            address,
            socketCount: 0,
            pass: -1,
            passStartedAt: 0,
            pieces: 0,
            bytes: 0,
            isBlocked: false,
            waiting: new Set(),
        };
        targets.set(address, reads);
        return reads;
    };

    /** Replaces the function by which undici reads the socket by one that returns at most one slice. */
    const limitReads = (socket: Socket, address: string, body: BodyMeter): SocketReads => {
        const reads = getOrCreateTarget(address);
        const read = socket.read.bind(socket) as (size?: number) => Buffer | null;
        const unshift = socket.unshift.bind(socket) as (bytes: Buffer) => void;
        let sliceBytes = firstSliceBytes;
        let freeLeft = freePieces;
        let freeOtherLeft = freeOtherBytes;
        /** Size of the slice that the parser has got last, 0 once it is counted, and the time at which it got it. */
        let passedBytes = 0;
        let passedAt = 0;
        let bodyBytes = body.bytes;
        let bodyPieces = body.pieces;
        let isPaused = false;

        /** Counts what the parser has handled since the last count. */
        const countHandled = (): void => {
            const bytes = passedBytes;
            if (bytes === 0) return;
            passedBytes = 0;
            const chunks = body.pieces - bodyPieces;
            const otherBytes = Math.max(0, bytes - (body.bytes - bodyBytes) - chunks * bytesPerChunk);
            const freeOther = Math.min(freeOtherLeft, otherBytes);
            freeOtherLeft -= freeOther;
            const pieces = chunks + (otherBytes - freeOther) / bytesPerPiece + bytes / relayedBytesPerPiece;
            bodyBytes = body.bytes;
            bodyPieces = body.pieces;
            if (bytes < pieces * minMeanBytes || otherBytes > bytes / 2) sliceBytes = minSliceBytes;
            else if (bytes >= sliceBytes) sliceBytes = Math.min(maxSliceBytes, sliceBytes * 2);
            const free = Math.min(freeLeft, pieces);
            freeLeft -= free;
            if (pieces > free) charge(reads, pieces - free, bytes, passedAt);
        };

        socket.read = (size?: number): Buffer | null => {
            if (size !== undefined) return read(size);
            countHandled();
            // eslint-disable-next-line no-restricted-syntax -- undici and node:stream expect null for "nothing to read"
            if (isPaused) return null;
            const unreadBytes = socket.readableLength;
            if (unreadBytes > 0 && reads.isBlocked) {
                reads.waiting.add(socket);
                // eslint-disable-next-line no-restricted-syntax -- undici and node:stream expect null for "nothing to read"
                return null;
            }
            const slice = unreadBytes > sliceBytes ? read(sliceBytes) : read();
            passedBytes = slice?.length ?? 0;
            passedAt = opts.getNow();
            return slice;
        };
        // undici puts back what a paused parser has not handled.
        socket.unshift = (bytes: Buffer): void => {
            passedBytes -= bytes.length;
            unshift(bytes);
        };
        reads.socketCount += 1;
        socket.once("close", () => {
            countHandled();
            reads.waiting.delete(socket);
            reads.socketCount -= 1;
            removeUnused(reads);
        });
        return {
            startResponse: () => {
                freeLeft = freePieces;
                freeOtherLeft = freeOtherBytes;
                sliceBytes = firstSliceBytes;
            },
            pause: () => {
                isPaused = true;
            },
            resume: () => {
                if (!isPaused) return;
                isPaused = false;
                // undici reads the socket, whose end is also reported only once it is read.
                if (!socket.destroyed) socket.emit("readable");
            },
        };
    };

    return { limitReads };
}
