/** Readers of the three forms of response bodies: event streams and JSON of models, and bodies of plain services. */
import { createByteBuffer } from "@rhubarbwheel/bytes/createByteBuffer";
import type { ResponseForm } from "./checkResponse.js";
import { createEventScanner, parseUsage } from "./createEventScanner.js";
import type { ReportedUsage } from "./createEventScanner.js";
import type { TargetLimits } from "./targetLimits.js";

export interface ResponseReader {
    /** Reads a chunk of the body; returns why the response is invalid, if it is. */
    readonly push: (chunk: Buffer) => string | undefined;
    /** Handles the end of the body; returns why the response is invalid or incomplete, if it is. */
    readonly end: () => string | undefined;
    /** Whether the response is known to be complete before the end of the body. */
    readonly isComplete: () => boolean;
    readonly countEvents: () => number;
    readonly getUsage: () => ReportedUsage | undefined;
}

/** Relays a chunk to the caller; the first call starts the response. */
export type RelayChunk = (chunk: Uint8Array) => void;

function createEventReader(relayChunk: RelayChunk, limits: TargetLimits): ResponseReader {
    const scanner = createEventScanner(limits);
    return {
        push: chunk => {
            const { completeEvents, invalidReason } = scanner.push(chunk);
            for (const bytes of completeEvents) relayChunk(bytes);
            return invalidReason;
        },
        end: () => (scanner.isComplete() ? undefined : "stream ended without [DONE]"),
        isComplete: scanner.isComplete,
        countEvents: scanner.countEvents,
        getUsage: scanner.getUsage,
    };
}

/** Buffers the whole response and checks that it is a JSON object before relaying it. */
function createJsonReader(relayChunk: RelayChunk, limits: TargetLimits): ResponseReader {
    const buffered = createByteBuffer();
    let usage: ReportedUsage | undefined;
    return {
        push: chunk => {
            buffered.append(chunk);
            return buffered.getLength() > limits.maxJsonBytes ? "response over the size limit" : undefined;
        },
        end: () => {
            const body = buffered.take();
            try {
                const value: unknown = JSON.parse(body.toString("utf8"));
                if (typeof value !== "object" || !value) return "response is not a JSON object";
                usage = parseUsage(value);
            }
            catch {
                return "response is not valid JSON";
            }
            relayChunk(body);
            return undefined;
        },
        isComplete: () => false,
        countEvents: () => 0,
        getUsage: () => usage,
    };
}

/** Buffers a small response until it is complete; a larger one is relayed as it arrives. */
function createBodyReader(relayChunk: RelayChunk, limits: TargetLimits): ResponseReader {
    const buffered = createByteBuffer();
    return {
        push: chunk => {
            buffered.append(chunk);
            if (buffered.getLength() > limits.maxBufferedBytes) relayChunk(buffered.take());
            return undefined;
        },
        end: () => {
            relayChunk(buffered.take());
            return undefined;
        },
        isComplete: () => false,
        countEvents: () => 0,
        getUsage: () => undefined,
    };
}

export function createResponseReader(form: ResponseForm, relayChunk: RelayChunk, limits: TargetLimits): ResponseReader {
    const create = { events: createEventReader, json: createJsonReader, body: createBodyReader }[form];
    return create(relayChunk, limits);
}
