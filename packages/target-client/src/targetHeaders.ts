/** Headers between routers and targets. */
import type { Call } from "@rhubarbwheel/types/ports";

export type AnswerHeaders = Readonly<Record<string, string | readonly string[] | undefined>>;

/** Headers that concern one connection, and those that only a router may set. */
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

/** Headers that concern one connection, and those that targets address to routers. */
const blockedAnswerHeaders = new Set([
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

/** Returns the headers of an attempt. A model's answer is read here, so it must not be compressed. */
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

/** Returns a header as one string, or `undefined` when it is missing. */
export function readHeader(headers: AnswerHeaders, name: string): string | undefined {
    const value = headers[name];
    return typeof value === "string" || value === undefined ? value : value.join(", ");
}

/** Returns the headers that are passed on to the caller. */
export function filterAnswerHeaders(
    headers: AnswerHeaders,
    opts: { readonly keepLength: boolean; },
): Record<string, string> {
    const named = (readHeader(headers, "connection") ?? "").toLowerCase().split(",").map(name => name.trim());
    const passed: Record<string, string> = {};
    for (const name of Object.keys(headers)) {
        if (blockedAnswerHeaders.has(name) || named.includes(name)) continue;
        if (name === "content-length" && !opts.keepLength) continue;
        const value = readHeader(headers, name);
        if (value !== undefined) passed[name] = value;
    }
    return passed;
}
