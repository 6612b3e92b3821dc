/** Passes the answer of one attempt on to the caller: streams event by event, other answers once they are whole. */
import type { PlacedAttemptResult } from "@rhubarbwheel/types/placement";
import { createEventSplitter } from "./createEventSplitter.js";
import type { ResponseMetadata } from "./headerCodec.js";
import type { OpenCall } from "./openCall.js";

export interface AnswerRelayOptions {
    readonly status: number;
    readonly headers: Record<string, string | readonly string[]>;
    readonly head: ResponseMetadata;
    /** Whether the target says where its answer ends; without, it ends with the connection. */
    readonly hasLength: boolean;
    readonly pause: () => void;
    readonly resume: () => void;
    readonly onFirstEvent: () => void;
}

export interface RelayOutcome {
    readonly result: PlacedAttemptResult;
    readonly reason?: string;
}

export interface AnswerRelay {
    readonly push: (chunk: Buffer) => void;
    /** The target's answer has ended in order. */
    readonly finish: () => RelayOutcome;
    /** Whether the caller has received a part of the answer. */
    readonly hasAnswered: () => boolean;
}

/** Answers above this size are passed on as they arrive, and can no longer be repeated. */
const maxBufferedBytes = 1024 * 1024;

function isStream(call: OpenCall, status: number): boolean {
    return call.kind === "stream" && status >= 200 && status < 300;
}

export function createResponseRelay(call: OpenCall, opts: AnswerRelayOptions): AnswerRelay {
    const { status, head } = opts;
    const { response } = call;
    const splitter = isStream(call, status) ? createEventSplitter() : undefined;
    const kept: Buffer[] = [];
    let keptBytes = 0;
    let passedOn = false;

    const write = (bytes: Buffer): void => {
        if (response.destroyed) return;
        // A stream that goes on at another target keeps the head of its first answer.
        if (!response.headersSent) response.writeHead(status, opts.headers as Record<string, string>);
        if (!response.write(bytes)) {
            opts.pause();
            response.once("drain", opts.resume);
        }
    };

    const pushEvents = (chunk: Buffer): void => {
        const events = splitter?.push(chunk);
        if (events === undefined || events.whole.length === 0) return;
        write(events.whole);
        call.lastEventId = events.lastEventId ?? call.lastEventId;
        if (passedOn) return;
        passedOn = true;
        opts.onFirstEvent();
    };

    const pushBytes = (chunk: Buffer): void => {
        if (passedOn) return write(chunk);
        kept.push(chunk);
        keptBytes += chunk.length;
        if (keptBytes <= maxBufferedBytes || status >= 500 || head.isRejection) return;
        passedOn = true;
        for (const bytes of kept.splice(0)) write(bytes);
    };

    const finishStream = (): RelayOutcome => {
        const rest = splitter?.getRest() ?? Buffer.alloc(0);
        if (rest.length > 0 && !opts.hasLength) return { result: "broken", reason: "the stream ends within an event" };
        if (rest.length > 0) write(rest);
        if (!response.headersSent) response.writeHead(status, opts.headers as Record<string, string>);
        response.end();
        return { result: "complete" };
    };

    const finishWhole = (): RelayOutcome => {
        if (head.isRejection)
            return { result: head.isMisdirected ? "misdirected" : "rejected", reason: `status ${status}` };
        const body = Buffer.concat(kept);
        if (status >= 500) {
            call.failure = { status, headers: opts.headers, body };
            return { result: "failed", reason: `status ${status}` };
        }
        if (passedOn) response.end();
        else sendWhole(call, status, opts.headers, body);
        return { result: "complete" };
    };

    return {
        push: splitter === undefined ? pushBytes : pushEvents,
        finish: splitter === undefined ? finishWhole : finishStream,
        hasAnswered: () => passedOn,
    };
}

/** Sends an answer of which all bytes are there. */
export function sendWhole(
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
