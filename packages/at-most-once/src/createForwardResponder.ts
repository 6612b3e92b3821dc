/** Returns the response of a forwarded call to the router that forwarded it. */
import type { CallResponder, ForwardedResponse } from "@rhubarbwheel/types/ports";
import { sendResponse } from "./sendResponse.js";

// A forwarded response is sent in one peer message, whose size limit is normally 4 MiB.
const defaultMaxResponseBytes = 1024 * 1024;

export interface ForwardResponder {
    readonly responder: CallResponder;
    /** Resolves when the call has ended; never rejects. */
    readonly response: Promise<ForwardedResponse>;
}

/**
 * Buffers the response at the owner of the key. For a response over the limit the caller gets the outcome `unknown`,
 * although the call ran.
 */
export function createForwardResponder(
    opts: { readonly maxResponseBytes?: number; } = {},
): ForwardResponder {
    const maxResponseBytes = opts.maxResponseBytes ?? defaultMaxResponseBytes;
    let status = 0;
    let headers: Readonly<Record<string, string>> = {};
    let chunks: Uint8Array[] = [];
    let bodyBytes = 0;
    let resolveResponse: (response: ForwardedResponse) => void;
    const response = new Promise<ForwardedResponse>(resolve => {
        resolveResponse = resolve;
    });
    const endIncomplete = (outcome: "notRun" | "unknown", code: string, retryAfterMs?: number): void =>
        resolveResponse({
            outcome,
            status: 0,
            headers: {},
            body: new Uint8Array(),
            code,
            ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
        });

    return {
        response,
        responder: {
            start: (responseStatus, responseHeaders) => {
                status = responseStatus;
                headers = responseHeaders;
            },
            write: chunk => {
                bodyBytes += chunk.byteLength;
                if (bodyBytes <= maxResponseBytes) chunks.push(Buffer.from(chunk));
                else chunks = [];
                return true;
            },
            waitForDrain: () => Promise.resolve(),
            finish: () =>
                bodyBytes > maxResponseBytes
                    ? endIncomplete("unknown", "KEY_RECORD_EVICTED")
                    : resolveResponse({ outcome: "complete", status, headers, body: Buffer.concat(chunks) }),
            fail: failure => endIncomplete(failure.outcome, failure.code, failure.retryAfterMs),
        },
    };
}

/** Sends the response of the key's owner to the caller of the router that forwarded the call. */
export async function sendForwardedResponse(response: ForwardedResponse, responder: CallResponder): Promise<void> {
    if (response.outcome === "complete") return sendResponse(response, responder);
    responder.fail({
        code: response.code ?? "INTERNAL",
        outcome: response.outcome,
        ...(response.retryAfterMs === undefined ? {} : { retryAfterMs: response.retryAfterMs }),
    });
}
