/** End-to-end headers: what may pass from a caller to a target and back. */
import { validateHeaderName, validateHeaderValue } from "node:http";

const hopByHopHeaders = new Set([
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
]);

// The target client sets its own host and length; the credential is for this router only.
const requestOnlyHeaders = new Set(["authorization", "content-length", "expect", "host"]);

const ownPrefix = "rhubarbwheel-";

/** Headers of a request to pass on to a target. */
export function filterRequestHeaders(
    headers: Readonly<Record<string, string | readonly string[] | undefined>>,
): Record<string, string> {
    return filterHeaders(headers, name => requestOnlyHeaders.has(name));
}

/** Headers of an answer to pass on to a caller; invalid ones are left out. */
export function filterResponseHeaders(headers: Readonly<Record<string, string>>): Record<string, string> {
    return filterHeaders(headers, (name, value) => !isValidHeader(name, value));
}

function filterHeaders(
    headers: Readonly<Record<string, string | readonly string[] | undefined>>,
    isUnwanted: (name: string, value: string) => boolean,
): Record<string, string> {
    const named = new Set(String(headers["connection"] ?? "").toLowerCase().split(",").map(name => name.trim()));
    const kept: Record<string, string> = {};
    for (const [key, values] of Object.entries(headers)) {
        const name = key.toLowerCase();
        if (values === undefined || hopByHopHeaders.has(name) || named.has(name) || name.startsWith(ownPrefix))
            continue;
        const value = typeof values === "string" ? values : values.join(", ");
        if (!isUnwanted(name, value)) kept[name] = value;
    }
    return kept;
}

function isValidHeader(name: string, value: string): boolean {
    try {
        validateHeaderName(name);
        validateHeaderValue(name, value);
        return true;
    }
    catch {
        return false;
    }
}
