/** Readers of the three forms of answers: event streams and JSON of models, and any body of plain services. */
import type { AnswerForm } from "./checkAnswer.js";
import { createEventScanner, parseUsage } from "./createEventScanner.js";
import type { ReportedUsage } from "./createEventScanner.js";
import type { TargetLimits } from "./targetLimits.js";

export interface AnswerReader {
    /** Reads bytes of the body; returns why the answer is not acceptable. */
    readonly push: (chunk: Buffer) => string | undefined;
    /** Reads the end of the body; returns why the answer is incomplete. */
    readonly end: () => string | undefined;
    /** Whether the answer is known to be complete before the body ends. */
    readonly isDone: () => boolean;
    readonly countEvents: () => number;
    readonly getUsage: () => ReportedUsage | undefined;
}

/** Passes on bytes; the first call begins the answer to the caller. */
export type PassOn = (chunk: Uint8Array) => void;

function createEventReader(passOn: PassOn, limits: TargetLimits): AnswerReader {
    const scanner = createEventScanner(limits);
    return {
        push: chunk => {
            const { passed, invalid } = scanner.push(chunk);
            for (const bytes of passed) passOn(bytes);
            return invalid;
        },
        end: () => (scanner.isDone() ? undefined : "stream ended without [DONE]"),
        isDone: scanner.isDone,
        countEvents: scanner.countEvents,
        getUsage: scanner.getUsage,
    };
}

/** Holds the whole answer and checks that it is a JSON object before any of it is passed on. */
function createJsonReader(passOn: PassOn, limits: TargetLimits): AnswerReader {
    const held: Buffer[] = [];
    let heldBytes = 0;
    let usage: ReportedUsage | undefined;
    return {
        push: chunk => {
            held.push(chunk);
            heldBytes += chunk.length;
            return heldBytes > limits.maxJsonBytes ? "answer over the size limit" : undefined;
        },
        end: () => {
            const body = Buffer.concat(held);
            try {
                const value: unknown = JSON.parse(body.toString("utf8"));
                if (typeof value !== "object" || !value) return "answer is not a JSON object";
                usage = parseUsage(value);
            }
            catch {
                return "answer is not valid JSON";
            }
            passOn(body);
            return undefined;
        },
        isDone: () => false,
        countEvents: () => 0,
        getUsage: () => usage,
    };
}

/** Holds a small answer until it is complete; a larger one is passed on as it comes. */
function createBodyReader(passOn: PassOn, limits: TargetLimits): AnswerReader {
    let held: Buffer[] = [];
    let heldBytes = 0;
    const release = (): void => {
        const chunks = held;
        held = [];
        passOn(Buffer.concat(chunks));
    };
    return {
        push: chunk => {
            held.push(chunk);
            heldBytes += chunk.length;
            if (heldBytes > limits.holdBytes) release();
            return undefined;
        },
        end: () => {
            release();
            return undefined;
        },
        isDone: () => false,
        countEvents: () => 0,
        getUsage: () => undefined,
    };
}

export function createAnswerReader(form: AnswerForm, passOn: PassOn, limits: TargetLimits): AnswerReader {
    const create = { events: createEventReader, json: createJsonReader, body: createBodyReader }[form];
    return create(passOn, limits);
}
