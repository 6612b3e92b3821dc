/** Decides from status and headers what an answer of a target is worth. */
import type { Call } from "@rhubarbwheel/types/ports";
import type { AnswerHeaders } from "./targetHeaders.js";
import { readHeader } from "./targetHeaders.js";

export type AnswerForm = "events" | "json" | "body";

export type AnswerCheck =
    | { readonly type: "accepted"; readonly form: AnswerForm; }
    /** The target states, and is trusted to know, that it did not run the call. */
    | { readonly type: "notRun"; readonly reason: string; }
    | { readonly type: "invalid"; readonly reason: string; };

interface CheckedAnswer {
    readonly requestId: string;
    readonly status: number;
    readonly headers: AnswerHeaders;
    readonly resuming: boolean;
}

/** A body that ends with the connection cannot be told from one that was cut off. */
function hasKnownLength(call: Call, answer: CheckedAnswer): boolean {
    const hasNoBody = call.method === "HEAD" || answer.status === 204 || answer.status === 304;
    const isFramed = answer.headers["content-length"] !== undefined
        || answer.headers["transfer-encoding"] !== undefined;
    return hasNoBody || isFramed;
}

function checkModelAnswer(call: Call, answer: CheckedAnswer): AnswerCheck {
    const { status, headers } = answer;
    if (status === 429) return { type: "invalid", reason: "status 429" };
    if (answer.resuming && status !== 200) return { type: "invalid", reason: `resume refused with status ${status}` };
    if (status !== 200) {
        if (!hasKnownLength(call, answer)) return { type: "invalid", reason: "answer of unknown length" };
        return { type: "accepted", form: "body" };
    }
    const encoding = readHeader(headers, "content-encoding") ?? "identity";
    if (encoding !== "identity") return { type: "invalid", reason: `content encoding ${encoding}` };
    const contentType = (readHeader(headers, "content-type") ?? "").split(";")[0]?.trim().toLowerCase();
    if (contentType === "text/event-stream" && call.streaming) return { type: "accepted", form: "events" };
    if (contentType === "application/json" && !answer.resuming) return { type: "accepted", form: "json" };
    return { type: "invalid", reason: `content type ${contentType === "" ? "missing" : contentType}` };
}

export function checkAnswer(call: Call, answer: CheckedAnswer): AnswerCheck {
    const { status, headers } = answer;
    const answeredId = readHeader(headers, "x-request-id");
    if (answeredId !== undefined && answeredId !== "" && answeredId !== answer.requestId)
        return { type: "invalid", reason: "answer to another request" };
    const isModel = call.serviceKind === "model";
    // A plain service may run a call and still say so by mistake; a second run would do harm there, not at a model.
    if (isModel && status === 503 && readHeader(headers, "x-not-run") === "true")
        return { type: "notRun", reason: "status 503, not run" };
    if (status >= 500) return { type: "invalid", reason: `status ${status}` };
    if (isModel) return checkModelAnswer(call, answer);
    if (!hasKnownLength(call, answer)) return { type: "invalid", reason: "answer of unknown length" };
    return { type: "accepted", form: "body" };
}
