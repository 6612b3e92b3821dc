/** Error answers: `{ "error": { code, message, hint, outcome, requestId } }`, with the status of the error kind. */
import { getErrorKind } from "@rhubarbwheel/error/routerError";
import type { ServerResponse } from "node:http";

export interface ErrorAnswer {
    readonly code: string;
    readonly outcome: "notRun" | "unknown";
    readonly retryAfterMs?: number;
    /** Appended to the message. */
    readonly detail?: string;
    /** Further members of the error object, for example `problems`. */
    readonly members?: Readonly<Record<string, unknown>>;
}

// A caller that was turned away for lack of capacity and got no better estimate comes back after this time.
const defaultRetryAfterMs = 1000;

/** Whether a later identical request may succeed. */
function isRetryable(answer: ErrorAnswer, status: number): boolean {
    return answer.outcome === "notRun" && (answer.retryAfterMs !== undefined || status === 429 || status === 503);
}

export function formatError(answer: ErrorAnswer, requestId: string): string {
    const { code, message, hint } = getErrorKind(answer.code);
    const text = answer.detail === undefined ? message : `${message} ${answer.detail}`;
    return JSON.stringify({
        error: { code, message: text, hint, outcome: answer.outcome, requestId, ...answer.members },
    });
}

export function sendError(res: ServerResponse, requestId: string, answer: ErrorAnswer): void {
    if (res.headersSent || res.destroyed) return;
    const { status } = getErrorKind(answer.code);
    const body = formatError(answer, requestId);
    const retrySeconds = Math.max(1, Math.ceil((answer.retryAfterMs ?? defaultRetryAfterMs) / 1000));
    res.writeHead(status, {
        "content-type": "application/json",
        "content-length": Buffer.byteLength(body),
        "rhubarbwheel-request-id": requestId,
        "rhubarbwheel-outcome": answer.outcome,
        ...(isRetryable(answer, status) ? { "retry-after": String(retrySeconds) } : {}),
    });
    res.end(body);
}
