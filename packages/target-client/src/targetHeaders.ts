/** HTTP headers of requests to targets and of their responses. */
import type { Call } from "@rhubarbwheel/types/ports";

export type ResponseHeaders = Readonly<Record<string, string | readonly string[] | undefined>>;

/** Hop-by-hop headers, and headers that only a router may set. */
const blockedRequestHeaders = new Set([
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "x-request-id",
    "x-resume",
]);

/** Hop-by-hop headers, and headers that targets send to routers only. */
const blockedResponseHeaders = new Set([
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "x-not-run",
    "x-request-id",
    "x-start-id",
]);

/** Returns the request headers of an attempt. A model's response is parsed here, so it must not be compressed. */
export function createRequestHeaders(
    call: Call,
    requestId: string,
    resume: string | undefined,
): Record<string, string> {
    const headers: Record<string, string> = {};
    for (const [name, value] of Object.entries(call.headers))
        if (!blockedRequestHeaders.has(name)) headers[name] = value;
    headers["x-request-id"] = requestId;
    if (call.serviceKind === "model") headers["accept-encoding"] = "identity";
    if (resume !== undefined) headers["x-resume"] = resume;
    return headers;
}

/** Returns a header as one string, or `undefined` when it is not set. */
export function readHeader(headers: ResponseHeaders, name: string): string | undefined {
    const value = headers[name];
    return typeof value === "string" || value === undefined ? value : value.join(", ");
}

/** Returns the headers that are relayed to the caller. */
export function filterResponseHeaders(
    headers: ResponseHeaders,
    opts: { readonly keepLength: boolean; },
): Record<string, string> {
    const connectionHeaders = (readHeader(headers, "connection") ?? "").toLowerCase().split(",").map(name =>
        name.trim()
    );
    const filtered: Record<string, string> = {};
    for (const name of Object.keys(headers)) {
        if (blockedResponseHeaders.has(name) || connectionHeaders.includes(name)) continue;
        if (name === "content-length" && !opts.keepLength) continue;
        const value = readHeader(headers, name);
        if (value !== undefined) filtered[name] = value;
    }
    return filtered;
}
