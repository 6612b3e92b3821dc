/** Error responses that the router itself sends to callers. */
import { getErrorKind } from "@rhubarbwheel/error/routerError";
import type { ServerResponse } from "node:http";

export interface ErrorResponseOptions {
    readonly retryAfterMs?: number;
    readonly detail?: string;
    /** Whether to close the connection, for example because the rest of the call has not been read. */
    readonly closeConnection?: boolean;
}

/** Sends the error response for `code`, unless a response has already started. */
export function sendErrorResponse(response: ServerResponse, code: string, opts: ErrorResponseOptions = {}): void {
    if (response.headersSent || response.destroyed) return;
    const kind = getErrorKind(code);
    const { detail, retryAfterMs } = opts;
    const message = detail === undefined ? kind.message : `${kind.message} ${detail}`;
    const body = JSON.stringify({ error: { code: kind.code, message, hint: kind.hint } });
    response.writeHead(kind.status, {
        "content-type": "application/json",
        "content-length": Buffer.byteLength(body),
        ...(retryAfterMs === undefined ? {} : { "retry-after": (retryAfterMs / 1_000).toFixed(3) }),
        ...(opts.closeConnection === true ? { connection: "close" } : {}),
    });
    response.end(body);
}
