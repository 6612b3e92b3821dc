/** Removes hop-by-hop and router headers from requests to targets and from responses to callers. */
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

// The target client sets its own host and length; the credential must not leave the router.
const excludedRequestHeaders = new Set(["authorization", "content-length", "expect", "host"]);

const ownPrefix = "rhubarbwheel-";

/** Returns the headers of a call to send to a target. */
export function filterRequestHeaders(
    headers: Readonly<Record<string, string | readonly string[] | undefined>>,
): Record<string, string> {
    return filterHeaders(headers, name => excludedRequestHeaders.has(name));
}

/** Returns the headers of a target's response to relay to the caller, without invalid ones. */
export function filterResponseHeaders(headers: Readonly<Record<string, string>>): Record<string, string> {
    return filterHeaders(headers, (name, value) => !isValidHeader(name, value));
}

function filterHeaders(
    headers: Readonly<Record<string, string | readonly string[] | undefined>>,
    isExcluded: (name: string, value: string) => boolean,
): Record<string, string> {
    const listedHeaders = new Set(
        String(headers["connection"] ?? "").toLowerCase().split(",").map(name => name.trim()),
    );
    const filteredHeaders: Record<string, string> = {};
    for (const [key, values] of Object.entries(headers)) {
        const name = key.toLowerCase();
        if (values === undefined || hopByHopHeaders.has(name) || listedHeaders.has(name) || name.startsWith(ownPrefix))
            continue;
        const value = typeof values === "string" ? values : values.join(", ");
        if (!isExcluded(name, value)) filteredHeaders[name] = value;
    }
    return filteredHeaders;
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
