/** Splits a stream of server-sent events from a model engine into complete events. */
import { createByteBuffer } from "@rhubarbwheel/bytes/createByteBuffer";

export interface ScannedEvents {
    /** Bytes of the complete events, ready to be relayed. */
    readonly completeEvents: readonly Uint8Array[];
    /** Why the stream is invalid, if it is; nothing after this point is read. */
    readonly invalidReason?: string;
}

export interface ReportedUsage {
    readonly inputTokens: number;
    readonly outputTokens: number;
}

export interface EventScanner {
    readonly push: (chunk: Buffer) => ScannedEvents;
    /** `data:` events so far, `[DONE]` excluded. */
    readonly countEvents: () => number;
    /** Whether `[DONE]` was read, which ends the stream. */
    readonly isComplete: () => boolean;
    readonly getUsage: () => ReportedUsage | undefined;
}

const lineFeed = 0x0a;
const carriageReturn = 0x0d;
const dataField = Buffer.from("data:");
const usageField = Buffer.from("\"usage\"");

/** Parses the `usage` object of a model's response, if it has one. */
export function parseUsage(value: unknown): ReportedUsage | undefined {
    const usage = (value as { readonly usage?: { prompt_tokens?: unknown; completion_tokens?: unknown; }; } | undefined)
        ?.usage;
    const inputTokens = Number(usage?.prompt_tokens);
    const outputTokens = Number(usage?.completion_tokens);
    const isValid = Number.isFinite(inputTokens) && Number.isFinite(outputTokens) && inputTokens >= 0
        && outputTokens >= 0;
    return isValid ? { inputTokens, outputTokens } : undefined;
}

function parseJson(text: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch {
        return undefined;
    }
}

export function createEventScanner(opts: { readonly maxEventBytes: number; }): EventScanner {
    /** Bytes of an event whose end has not arrived. */
    const incompleteEvent = createByteBuffer();
    /** Length of the complete lines at the start of `incompleteEvent`, which have been read. */
    let scannedBytes = 0;
    let hasData = false;
    let eventCount = 0;
    let isStreamComplete = false;
    let usage: ReportedUsage | undefined;

    /** Reads one line without its line end; returns why it is invalid, if it is. */
    const readLine = (line: Buffer): string | undefined => {
        if (line.length < dataField.length || !line.subarray(0, dataField.length).equals(dataField)) return undefined;
        const payload = line.subarray(dataField.length);
        const text = payload.length < 16 ? payload.toString("latin1").trim() : undefined;
        if (text === "[DONE]") {
            isStreamComplete = true;
            return undefined;
        }
        hasData = true;
        // Parsing every event would double the cost of relaying it; the braces suffice to detect other content.
        const isObject = payload.includes(0x7b) && payload.lastIndexOf(0x7d) >= payload.length - 2;
        if (!isObject) return "event is not a JSON object";
        if (!payload.includes(usageField)) return undefined;
        const value = parseJson(payload.toString("utf8"));
        if (value === undefined) return "event is not valid JSON";
        usage = parseUsage(value) ?? usage;
        return undefined;
    };

    const endEvent = (): void => {
        if (hasData) eventCount += 1;
        hasData = false;
    };

    const push = (chunk: Buffer): ScannedEvents => {
        if (isStreamComplete) return { completeEvents: [] };
        // The bytes before the chunk have no line end after `scannedBytes`.
        let searchStart = incompleteEvent.getLength();
        incompleteEvent.append(chunk);
        const bytes = incompleteEvent.getTail(incompleteEvent.getLength());
        let lineStart = scannedBytes;
        let eventEnd = 0;
        let invalidReason: string | undefined;
        while (!isStreamComplete && invalidReason === undefined) {
            const lineEnd = bytes.indexOf(lineFeed, searchStart);
            if (lineEnd < 0) break;
            const contentEnd = bytes[lineEnd - 1] === carriageReturn && lineEnd > lineStart ? lineEnd - 1 : lineEnd;
            const isBlank = contentEnd === lineStart;
            if (isBlank) endEvent();
            else invalidReason = readLine(bytes.subarray(lineStart, contentEnd));
            lineStart = lineEnd + 1;
            searchStart = lineStart;
            if (isBlank) eventEnd = lineStart;
        }
        const completeEvents: Uint8Array[] = [];
        if (eventEnd > 0) {
            const received = incompleteEvent.take();
            completeEvents.push(received.subarray(0, eventEnd));
            incompleteEvent.append(received.subarray(eventEnd));
        }
        // The blank line after `[DONE]` may arrive in a later packet or not at all, but callers require it.
        if (isStreamComplete && invalidReason === undefined) completeEvents.push(Buffer.from("data: [DONE]\n\n"));
        scannedBytes = lineStart - eventEnd;
        if (invalidReason === undefined && incompleteEvent.getLength() > opts.maxEventBytes && !isStreamComplete)
            invalidReason = "event over the size limit";
        return invalidReason === undefined ? { completeEvents } : { completeEvents, invalidReason };
    };

    return { push, countEvents: () => eventCount, isComplete: () => isStreamComplete, getUsage: () => usage };
}
