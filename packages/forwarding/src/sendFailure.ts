/** Errors of the router itself, as callers see them. */
import { getErrorKind } from "@rhubarbwheel/error/routerError";
import type { ServerResponse } from "node:http";

export interface FailureOptions {
    readonly retryAfterMs?: number;
    readonly detail?: string;
    /** Whether the connection must be closed, because the rest of the call has not been read. */
    readonly close?: boolean;
}

/** Sends the error with this code; does nothing if an answer has begun. */
export function sendFailure(response: ServerResponse, code: string, opts: FailureOptions = {}): void {
    if (response.headersSent || response.destroyed) return;
    const kind = getErrorKind(code);
    const { detail, retryAfterMs } = opts;
    const message = detail === undefined ? kind.message : `${kind.message} ${detail}`;
    const body = JSON.stringify({ error: { code: kind.code, message, hint: kind.hint } });
    response.writeHead(kind.status, {
        "content-type": "application/json",
        "content-length": Buffer.byteLength(body),
        ...(retryAfterMs === undefined ? {} : { "retry-after": (retryAfterMs / 1_000).toFixed(3) }),
        ...(opts.close === true ? { connection: "close" } : {}),
    });
    response.end(body);
}
