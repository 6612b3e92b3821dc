/** Error responses: `{ "error": { code, message, hint, outcome, requestId } }`, with the status of the error kind. */
import { getErrorKind } from "@rhubarbwheel/error/routerError";
import type { ServerResponse } from "node:http";

export interface ErrorResponse {
    readonly code: string;
    readonly outcome: "notRun" | "unknown";
    readonly retryAfterMs?: number;
    /** Appended to the message. */
    readonly detail?: string;
    /** Further members of the error object, for example `problems`. */
    readonly members?: Readonly<Record<string, unknown>>;
}

// Sent in `retry-after` of a retryable error that has no estimate of its own.
const defaultRetryAfterMs = 1000;

/** Whether a retry of the same request may succeed. */
function isRetryable(response: ErrorResponse, status: number): boolean {
    return response.outcome === "notRun" && (response.retryAfterMs !== undefined || status === 429 || status === 503);
}

export function formatError(response: ErrorResponse, requestId: string): string {
    const { code, message, hint } = getErrorKind(response.code);
    const text = response.detail === undefined ? message : `${message} ${response.detail}`;
    return JSON.stringify({
        error: { code, message: text, hint, outcome: response.outcome, requestId, ...response.members },
    });
}

export function sendError(res: ServerResponse, requestId: string, response: ErrorResponse): void {
    if (res.headersSent || res.destroyed) return;
    const { status } = getErrorKind(response.code);
    const body = formatError(response, requestId);
    const retrySeconds = Math.max(1, Math.ceil((response.retryAfterMs ?? defaultRetryAfterMs) / 1000));
    res.writeHead(status, {
        "content-type": "application/json",
        "content-length": Buffer.byteLength(body),
        "rhubarbwheel-request-id": requestId,
        "rhubarbwheel-outcome": response.outcome,
        ...(isRetryable(response, status) ? { "retry-after": String(retrySeconds) } : {}),
    });
    res.end(body);
}
