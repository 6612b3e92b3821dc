/** Finds idempotent routes of a service that can never match, or never decide. */
import { checkPath } from "@rhubarbwheel/http-server/checkRequest";
import { isIdempotentRoute } from "@rhubarbwheel/http-server/parseCall";
import type { IdempotentRoute } from "@rhubarbwheel/types/resources";
import { createFinding, type EntryOf, type Finding } from "./finding.js";

/** Lists a path and the paths above it, without slashes at the end: `/a/b`, `/a` and the empty path. */
function listPrefixes(path: string): readonly string[] {
    const prefixes: string[] = [];
    let prefix = path.replace(/\/+$/, "");
    while (prefix !== "") {
        prefixes.push(prefix);
        prefix = prefix.slice(0, Math.max(0, prefix.lastIndexOf("/")));
    }
    return [...prefixes, ""];
}

export function checkRoutes(service: EntryOf<"services">): readonly Finding[] {
    const routes = service.spec.idempotentRoutes ?? [];
    // An index instead of a comparison of all pairs: a resource of 1 MB can have 20,000 routes.
    const firstIndexes = new Map<string, number>();
    for (const [index, route] of routes.entries()) {
        const key = formatKey(route.method, listPrefixes(route.pathPrefix)[0] ?? "");
        if (!firstIndexes.has(key)) firstIndexes.set(key, index);
    }
    return routes.flatMap((route, index) => {
        const field = `spec.idempotentRoutes[${index}]`;
        if (!matchesItself(service, route)) return [createNeverMatchesFinding(service, `${field}.pathPrefix`)];
        const coveringIndex = listPrefixes(route.pathPrefix)
            .map(prefix => firstIndexes.get(formatKey(route.method, prefix)))
            .find(other => other !== undefined && other !== index && matchesPrefixOf(service, routes[other], route));
        return coveringIndex === undefined ? [] : [createShadowedFinding(service, field, coveringIndex)];
    });
}

function formatKey(method: string, prefix: string): string {
    return `${method} ${prefix}`;
}

/** Whether the routers' own matching rule finds the route of a call whose path is the other route's prefix. */
function matchesPrefixOf(
    service: EntryOf<"services">,
    route: IdempotentRoute | undefined,
    other: IdempotentRoute,
): boolean {
    const idempotentRoutes = route === undefined ? [] : [route];
    return isIdempotentRoute({ ...service.spec, idempotentRoutes }, other.method, other.pathPrefix);
}

/** Whether a call with exactly this path can arrive, and is then found to be on the route. */
function matchesItself(service: EntryOf<"services">, route: IdempotentRoute): boolean {
    try {
        checkPath(`/services/${service.name}${route.pathPrefix}`);
    }
    catch {
        // The finding of the caller names the field; which rule of paths is violated does not change the hint.
        return false;
    }
    return matchesPrefixOf(service, route, route);
}

function createNeverMatchesFinding(service: EntryOf<"services">, field: string): Finding {
    return createFinding(service, field, {
        code: "ROUTE_NEVER_MATCHES",
        severity: "error",
        message: "No call matches this prefix: paths are compared without their query, and calls with dot segments, #,"
            + " backslashes or invalid percent-encodings are rejected.",
        hint: "Correct the prefix.",
    });
}

function createShadowedFinding(service: EntryOf<"services">, field: string, coveringIndex: number): Finding {
    return createFinding(service, field, {
        code: "ROUTE_SHADOWED",
        severity: "warning",
        message: `Each call of this route also matches spec.idempotentRoutes[${coveringIndex}].`,
        hint: "Remove this route, or the other one if it matches calls that must not run twice.",
    });
}
