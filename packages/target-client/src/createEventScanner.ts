/** Reads a stream of server-sent events from a model engine and splits it into whole events. */

export interface ScannedEvents {
    /** Bytes of the whole events, ready to be passed on. */
    readonly passed: readonly Uint8Array[];
    /** Why the stream is not acceptable; nothing after it is read. */
    readonly invalid?: string;
}

export interface ReportedUsage {
    readonly inputTokens: number;
    readonly outputTokens: number;
}

export interface EventScanner {
    readonly push: (chunk: Buffer) => ScannedEvents;
    /** `data:` events so far, `[DONE]` excluded. */
    readonly countEvents: () => number;
    /** Whether `[DONE]` was read: the stream is complete. */
    readonly isDone: () => boolean;
    readonly getUsage: () => ReportedUsage | undefined;
}

const lineFeed = 0x0a;
const carriageReturn = 0x0d;
const dataField = Buffer.from("data:");
const usageField = Buffer.from("\"usage\"");

/** Reads the `usage` object of a model's answer, if it has one. */
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
    /** Start of an event whose end has not arrived. */
    let tail: Buffer = Buffer.alloc(0);
    /** Bytes of `tail` in which no line end is left to find. */
    let scannedBytes = 0;
    let eventHasData = false;
    let events = 0;
    let done = false;
    let usage: ReportedUsage | undefined;

    /** Reads one line without its line end; returns why it is not acceptable. */
    const readLine = (line: Buffer): string | undefined => {
        if (line.length < dataField.length || !line.subarray(0, dataField.length).equals(dataField)) return undefined;
        const payload = line.subarray(dataField.length);
        const text = payload.length < 16 ? payload.toString("latin1").trim() : undefined;
        if (text === "[DONE]") {
            done = true;
            return undefined;
        }
        eventHasData = true;
        // Parsing every event would double the cost of relaying it; the braces tell apart text that is no JSON object.
        const isObject = payload.includes(0x7b) && payload.lastIndexOf(0x7d) >= payload.length - 2;
        if (!isObject) return "event is not a JSON object";
        if (!payload.includes(usageField)) return undefined;
        const value = parseJson(payload.toString("utf8"));
        if (value === undefined) return "event is not valid JSON";
        usage = parseUsage(value) ?? usage;
        return undefined;
    };

    const endEvent = (): void => {
        if (eventHasData) events += 1;
        eventHasData = false;
    };

    const push = (chunk: Buffer): ScannedEvents => {
        if (done) return { passed: [] };
        const bytes = tail.length === 0 ? chunk : Buffer.concat([tail, chunk]);
        let lineStart = scannedBytes;
        let eventEnd = 0;
        let invalid: string | undefined;
        while (!done && invalid === undefined) {
            const lineEnd = bytes.indexOf(lineFeed, lineStart);
            if (lineEnd < 0) break;
            const contentEnd = bytes[lineEnd - 1] === carriageReturn && lineEnd > lineStart ? lineEnd - 1 : lineEnd;
            const isBlank = contentEnd === lineStart;
            if (isBlank) endEvent();
            else invalid = readLine(bytes.subarray(lineStart, contentEnd));
            lineStart = lineEnd + 1;
            if (isBlank) eventEnd = lineStart;
        }
        const passed: Uint8Array[] = eventEnd > 0 ? [bytes.subarray(0, eventEnd)] : [];
        // The blank line after `[DONE]` may come in a later packet or not at all; callers need it.
        if (done && invalid === undefined) passed.push(Buffer.from("data: [DONE]\n\n"));
        tail = bytes.subarray(eventEnd);
        scannedBytes = lineStart - eventEnd;
        if (invalid === undefined && tail.length > opts.maxEventBytes && !done) invalid = "event over the size limit";
        return invalid === undefined ? { passed } : { passed, invalid };
    };

    return { push, countEvents: () => events, isDone: () => done, getUsage: () => usage };
}
