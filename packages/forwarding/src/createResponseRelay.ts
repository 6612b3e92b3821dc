/** Relays the response of one attempt to the caller: streams event by event, other responses once complete. */
import { createByteBuffer } from "@rhubarbwheel/bytes/createByteBuffer";
import type { MemoryReservation } from "@rhubarbwheel/bytes/createMemoryBudget";
import type { PlacedAttemptResult } from "@rhubarbwheel/types/placement";
import type { ReadableCheck } from "./checkResponse.js";
import { createEventSplitter } from "./createEventSplitter.js";
import type { OpenCall } from "./openCall.js";

export interface ResponseRelayOptions {
    readonly status: number;
    readonly headers: Record<string, string | readonly string[]>;
    readonly check: ReadableCheck;
    /** Memory for what is received and not yet read by the caller. */
    readonly reservation: MemoryReservation;
    readonly pause: () => void;
    readonly resume: () => void;
    /** Called when the first part of the response has been sent to the caller. */
    readonly onStarted: () => void;
    /** Called with the number of events that the attempt has sent to the caller, each time it has grown. */
    readonly onEvents: (eventCount: number) => void;
}

export interface RelayOutcome {
    readonly result: PlacedAttemptResult;
    readonly reason?: string;
    /** Whether the response exceeded a limit of this router. */
    readonly isCutOff?: boolean;
}

export interface ResponseRelay {
    /** Relays or buffers a chunk. Returns the outcome if the rest of the response must not be read. */
    readonly push: (chunk: Buffer) => RelayOutcome | undefined;
    /** Called when the target's response has ended without an error. */
    readonly finish: () => RelayOutcome;
    /** Sends what has been relayed to the caller's connection; needed before the attempt ends without `finish`. */
    readonly flush: () => void;
    /** Whether any part of the response has been sent to the caller. */
    readonly hasStarted: () => boolean;
}

/**
 * Maximum size of a buffered response. Larger successful ones are relayed as they arrive, after which the call can no
 * longer be retried. Larger errors and rejections are cut off: a faulty target may send bytes without end.
 */
const maxBufferedBytes = 1024 * 1024;

/** Maximum size of one event of a stream, which is buffered until it is complete. Usual events have some 100 bytes. */
const maxEventBytes = 256 * 1024;

/** Processor time to receive a chunk of a response that is cut off, as the number of bytes that take as long. */
const chunkCostBytes = 64;

/** Maximum size of the pieces in which chunks that have been received together are sent to the caller. */
const maxUnsentBytes = 16 * 1024;

const memoryExhausted: RelayOutcome = { result: "broken", reason: "the memory budget for responses is exhausted" };

export function createResponseRelay(call: OpenCall, opts: ResponseRelayOptions): ResponseRelay {
    const { status, check, reservation } = opts;
    const form = check.type === "accepted" ? check.form : undefined;
    const { response } = call;
    const splitter = form === "events" ? createEventSplitter() : undefined;
    const buffered = createByteBuffer();
    const unsent = createByteBuffer();
    /** Whether something has been sent since the event loop last ran its callbacks. */
    let hasSent = false;
    let chunkCount = 0;
    let eventCount = 0;
    let isStarted = false;
    /** Whether the response of the target is not read until the caller has read what was written. */
    let isPaused = false;

    const send = (bytes: Buffer): void => {
        if (response.destroyed || response.writableEnded) return;
        // A stream that is resumed at another target keeps the status and headers of its first response.
        if (!response.headersSent) response.writeHead(status, opts.headers as Record<string, string>);
        if (response.write(bytes) || isPaused) return;
        isPaused = true;
        opts.pause();
        response.once("drain", () => {
            isPaused = false;
            opts.resume();
        });
    };

    const flush = (): void => {
        if (unsent.getLength() === 0) return;
        send(unsent.take());
    };

    /** Sends the first bytes at once, and those that have been received together with them in one piece. */
    const write = (bytes: Buffer): void => {
        if (hasSent) {
            if (bytes.length >= maxUnsentBytes) {
                // Large pieces are not copied.
                flush();
                return send(bytes);
            }
            unsent.append(bytes);
            if (unsent.getLength() >= maxUnsentBytes) flush();
            return;
        }
        hasSent = true;
        send(bytes);
        process.nextTick(() => {
            hasSent = false;
            flush();
        });
    };

    /** Reserves what is held back, and what the caller has not read. */
    const tryReserve = (heldBytes: number): boolean =>
        reservation.trySet(heldBytes + (isPaused ? response.writableLength : 0));

    const start = (): void => {
        isStarted = true;
        opts.onStarted();
    };

    const pushEvents = (chunk: Buffer): RelayOutcome | undefined => {
        if (splitter === undefined) return undefined;
        const events = splitter.push(chunk);
        if (splitter.countIncompleteBytes() > maxEventBytes)
            return { result: "broken", reason: "an event exceeds the size limit", isCutOff: true };
        if (events.completeEvents.length > 0) {
            write(events.completeEvents);
            call.lastEventId = events.lastEventId ?? call.lastEventId;
            if (!isStarted) start();
            eventCount += events.eventCount;
            opts.onEvents(eventCount);
        }
        return tryReserve(splitter.countIncompleteBytes()) ? undefined : memoryExhausted;
    };

    const rejection: RelayOutcome | undefined = check.type === "accepted"
        ? undefined
        : { result: check.type, reason: check.reason };

    const pushBytes = (chunk: Buffer): RelayOutcome | undefined => {
        if (isStarted) {
            write(chunk);
            return tryReserve(0) ? undefined : memoryExhausted;
        }
        chunkCount += 1;
        const bufferedBytes = buffered.getLength() + chunk.length;
        const hasMemory = tryReserve(bufferedBytes);
        const isOverLimit = bufferedBytes > maxBufferedBytes;
        const isTooCostly = bufferedBytes + chunkCount * chunkCostBytes > maxBufferedBytes;
        if (rejection !== undefined && (isTooCostly || !hasMemory))
            return { ...rejection, isCutOff: isTooCostly };
        if (!hasMemory) return memoryExhausted;
        if (form === "error" && isTooCostly)
            return { result: "broken", reason: "the error response exceeds the size limit", isCutOff: true };
        buffered.append(chunk);
        if (!isOverLimit) return undefined;
        send(buffered.take());
        start();
        return tryReserve(0) ? undefined : memoryExhausted;
    };

    const finishStream = (): RelayOutcome => {
        if ((splitter?.countIncompleteBytes() ?? 0) > 0)
            return { result: "broken", reason: "the stream ended within an event" };
        if (!response.headersSent) response.writeHead(status, opts.headers as Record<string, string>);
        response.end();
        return { result: "complete" };
    };

    const finishBuffered = (): RelayOutcome => {
        if (rejection !== undefined) return rejection;
        const body = buffered.take();
        if (form === "error") {
            call.failure = { status, headers: opts.headers, body };
            return { result: "failed", reason: `status ${status}` };
        }
        if (isStarted) response.end();
        else sendBufferedResponse(call, status, opts.headers, body);
        return { result: "complete" };
    };

    return {
        push: splitter === undefined ? pushBytes : pushEvents,
        finish: () => {
            flush();
            return splitter === undefined ? finishBuffered() : finishStream();
        },
        flush,
        hasStarted: () => isStarted,
    };
}

/** Sends a response whose body has been received completely. */
export function sendBufferedResponse(
    call: OpenCall,
    status: number,
    headers: Record<string, string | readonly string[]>,
    body: Buffer,
): void {
    const { response, incoming } = call;
    if (response.destroyed) return;
    const length = incoming.method === "HEAD" ? {} : { "content-length": String(body.length) };
    response.writeHead(status, { ...headers, ...length } as Record<string, string>);
    response.end(body);
}
