/** Refuses requests that two parties in a row could read differently: smuggling, ambiguous headers and paths. */
import type { IncomingMessage } from "node:http";
import { RequestError } from "./requestError.js";

// Node.js keeps the first or the joined value of a repeated header; for these, either can mean another request.
const singleHeaders = new Set([
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

// eslint-disable-next-line no-control-regex -- control characters are what is searched for
const controlCharacters = /[\u0000-\u0008\u000a-\u001f\u007f]/;

/** Throws a `RequestError` that names the offending part. */
export function checkRequest(req: IncomingMessage): void {
    checkHeaders(req);
    checkPath(req.url ?? "");
}

function checkHeaders(req: IncomingMessage): void {
    const seen = new Set<string>();
    for (let index = 0; index < req.rawHeaders.length; index += 2) {
        const name = (req.rawHeaders[index] ?? "").toLowerCase();
        if (singleHeaders.has(name) && seen.has(name)) throw refuseHeader(`"${name}" is given more than once.`);
        if (controlCharacters.test(req.rawHeaders[index + 1] ?? ""))
            throw refuseHeader(`"${name}" contains a control character.`);
        seen.add(name);
    }
    const coding = req.headers["transfer-encoding"];
    if (coding !== undefined && coding.toLowerCase() !== "chunked")
        throw refuseHeader("\"transfer-encoding\" may only be chunked.");
    if (coding !== undefined && seen.has("content-length"))
        throw refuseHeader("\"content-length\" and \"transfer-encoding\" exclude each other.");
}

function checkPath(url: string): void {
    if (!url.startsWith("/") || url.startsWith("//")) throw refusePath("Only a path is accepted as request target.");
    if (!/^[\u0021-\u007e]*$/.test(url) || /[\\#]/.test(url)) throw refusePath("A character is not allowed.");
    const decoded = decodePath(url.split("?", 1)[0] ?? "");
    if (controlCharacters.test(decoded)) throw refusePath("An encoded control character is not allowed.");
    if (decoded.split(/[/\\]/).some(segment => segment === "." || segment === ".."))
        throw refusePath("Dot segments are not allowed.");
}

function decodePath(path: string): string {
    try {
        return decodeURIComponent(path);
    }
    catch {
        throw refusePath("A percent encoding is not valid.");
    }
}

function refuseHeader(detail: string): RequestError {
    return new RequestError("HEADER_INVALID", { detail });
}

function refusePath(detail: string): RequestError {
    return new RequestError("PATH_INVALID", { detail });
}
