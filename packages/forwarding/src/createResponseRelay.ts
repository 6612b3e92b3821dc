/** Relays the response of one attempt to the caller: streams event by event, other responses once complete. */
import type { PlacedAttemptResult } from "@rhubarbwheel/types/placement";
import type { ReadableCheck } from "./checkResponse.js";
import { createEventSplitter } from "./createEventSplitter.js";
import type { OpenCall } from "./openCall.js";

export interface ResponseRelayOptions {
    readonly status: number;
    readonly headers: Record<string, string | readonly string[]>;
    readonly check: ReadableCheck;
    readonly pause: () => void;
    readonly resume: () => void;
    /** Called when the first part of the response has been sent to the caller. */
    readonly onStarted: () => void;
}

export interface RelayOutcome {
    readonly result: PlacedAttemptResult;
    readonly reason?: string;
}

export interface ResponseRelay {
    /** Relays or buffers a chunk. Returns the outcome if the rest of the response must not be read. */
    readonly push: (chunk: Buffer) => RelayOutcome | undefined;
    /** Called when the target's response has ended without an error. */
    readonly finish: () => RelayOutcome;
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

export function createResponseRelay(call: OpenCall, opts: ResponseRelayOptions): ResponseRelay {
    const { status, check } = opts;
    const form = check.type === "accepted" ? check.form : undefined;
    const { response } = call;
    const splitter = form === "events" ? createEventSplitter() : undefined;
    const buffered: Buffer[] = [];
    let bufferedBytes = 0;
    let isStarted = false;
    /** Whether the response of the target is not read until the caller has read what was written. */
    let isPaused = false;

    const write = (bytes: Buffer): void => {
        if (response.destroyed) return;
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

    const start = (): void => {
        isStarted = true;
        opts.onStarted();
    };

    const pushEvents = (chunk: Buffer): RelayOutcome | undefined => {
        const events = splitter?.push(chunk);
        if (splitter === undefined || events === undefined) return undefined;
        if (splitter.getIncompleteEvent().length > maxEventBytes)
            return { result: "broken", reason: "an event exceeds the size limit" };
        if (events.completeEvents.length === 0) return undefined;
        write(events.completeEvents);
        call.lastEventId = events.lastEventId ?? call.lastEventId;
        if (!isStarted) start();
        return undefined;
    };

    const rejection: RelayOutcome | undefined = check.type === "accepted"
        ? undefined
        : { result: check.type, reason: check.reason };

    const pushBytes = (chunk: Buffer): RelayOutcome | undefined => {
        if (isStarted) {
            write(chunk);
            return undefined;
        }
        buffered.push(chunk);
        bufferedBytes += chunk.length;
        if (bufferedBytes <= maxBufferedBytes) return undefined;
        if (rejection !== undefined) return rejection;
        if (form === "error") return { result: "broken", reason: "the error response exceeds the size limit" };
        for (const bytes of buffered.splice(0)) write(bytes);
        start();
        return undefined;
    };

    const finishStream = (): RelayOutcome => {
        const incompleteEvent = splitter?.getIncompleteEvent() ?? Buffer.alloc(0);
        if (incompleteEvent.length > 0) return { result: "broken", reason: "the stream ended within an event" };
        if (!response.headersSent) response.writeHead(status, opts.headers as Record<string, string>);
        response.end();
        return { result: "complete" };
    };

    const finishBuffered = (): RelayOutcome => {
        if (rejection !== undefined) return rejection;
        const body = Buffer.concat(buffered);
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
        finish: splitter === undefined ? finishBuffered : finishStream,
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
