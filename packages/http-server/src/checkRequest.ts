/** Rejects requests that a proxy, the router and a target could interpret differently, such as smuggled requests. */
import type { IncomingMessage } from "node:http";
import { RequestError } from "./requestError.js";

// Headers that may occur only once. Node.js keeps the first value of a repeated header or joins the values; for these
// headers another server may interpret the request differently.
const singletonHeaders = new Set([
    "authorization",
    "content-length",
    "content-type",
    "expect",
    "host",
    "idempotency-key",
    "if-match",
    "if-none-match",
    "transfer-encoding",
]);

// eslint-disable-next-line no-control-regex -- the pattern matches control characters
const controlCharacters = /[\u0000-\u0008\u000a-\u001f\u007f]/;

/** Throws a `RequestError` that names the invalid header or describes the problem with the path. */
export function checkRequest(req: IncomingMessage): void {
    checkHeaders(req);
    checkPath(req.url ?? "");
}

function checkHeaders(req: IncomingMessage): void {
    const seenNames = new Set<string>();
    for (let index = 0; index < req.rawHeaders.length; index += 2) {
        const name = (req.rawHeaders[index] ?? "").toLowerCase();
        if (singletonHeaders.has(name) && seenNames.has(name))
            throw createHeaderError(`"${name}" occurs more than once.`);
        if (controlCharacters.test(req.rawHeaders[index + 1] ?? ""))
            throw createHeaderError(`"${name}" contains a control character.`);
        seenNames.add(name);
    }
    const transferCoding = req.headers["transfer-encoding"];
    if (transferCoding !== undefined && transferCoding.toLowerCase() !== "chunked")
        throw createHeaderError("\"transfer-encoding\" must be \"chunked\".");
    if (transferCoding !== undefined && seenNames.has("content-length"))
        throw createHeaderError("\"content-length\" and \"transfer-encoding\" are mutually exclusive.");
}

/** Throws a `RequestError` if no call with this path, with or without a query, is accepted. */
export function checkPath(url: string): void {
    if (!url.startsWith("/") || url.startsWith("//")) throw createPathError("The request target must be a path.");
    if (!/^[\u0021-\u007e]*$/.test(url) || /[\\#]/.test(url))
        throw createPathError("The path contains a character that is not allowed.");
    const decoded = decodePath(url.split("?", 1)[0] ?? "");
    if (controlCharacters.test(decoded)) throw createPathError("The path contains an encoded control character.");
    if (decoded.split(/[/\\]/).some(segment => segment === "." || segment === ".."))
        throw createPathError("The path contains a dot segment.");
}

function decodePath(path: string): string {
    try {
        return decodeURIComponent(path);
    }
    catch {
        throw createPathError("The path contains an invalid percent-encoding.");
    }
}

function createHeaderError(detail: string): RequestError {
    return new RequestError("HEADER_INVALID", { detail });
}

function createPathError(detail: string): RequestError {
    return new RequestError("PATH_INVALID", { detail });
}
