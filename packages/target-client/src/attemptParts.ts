/** Small parts of an attempt. */
import type { AnswerForm } from "./checkAnswer.js";
import { createBodyReader, createEventReader, createJsonReader } from "./createAnswerReader.js";
import type { AnswerReader, PassOn } from "./createAnswerReader.js";
import type { TargetLimits } from "./targetLimits.js";

export function createAnswerReader(form: AnswerForm, passOn: PassOn, limits: TargetLimits): AnswerReader {
    const create = { events: createEventReader, json: createJsonReader, body: createBodyReader }[form];
    return create(passOn, limits);
}

/** Returns a short reason for logs: the error's code where it has one. */
export function readErrorReason(error: unknown): string {
    const { code, message } = error as { readonly code?: unknown; readonly message?: unknown; };
    return typeof code === "string" ? code : String(message ?? "unknown error");
}
