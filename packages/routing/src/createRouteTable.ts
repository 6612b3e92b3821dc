/** Looks up the route of a call, the workspace of a credential, and the service for a call. */
import type { FleetConfiguration, Route, WorkspaceAccess } from "@rhubarbwheel/types/fleet";

export interface RouteTable {
    readonly version: number;
    /** The route of `host` with the longest prefix of `path`; `path` has no query. */
    readonly findRoute: (host: string, path: string) => Route | undefined;
    readonly findWorkspace: (credential: string) => WorkspaceAccess | undefined;
    /** Whether calls on routes that are not public need a credential. */
    readonly needsCredentials: boolean;
}

/** Removes the port of a `Host` header and converts it to lower case. */
function normalizeHost(host: string): string {
    return host.replace(/:\d*$/, "").toLowerCase();
}

export function createRouteTable(configuration: FleetConfiguration): RouteTable {
    const hosts = new Map<string, Map<string, Route>>();
    for (const route of configuration.routes) {
        const host = normalizeHost(route.host);
        const prefixes = hosts.get(host) ?? new Map<string, Route>();
        prefixes.set(route.pathPrefix, route);
        hosts.set(host, prefixes);
    }
    const credentials = new Map(
        (configuration.workspaces ?? []).flatMap(access =>
            access.credentials.map(credential => [credential, access] as const)
        ),
    );

    const findRoute = (host: string, path: string): Route | undefined => {
        const prefixes = hosts.get(normalizeHost(host));
        if (prefixes === undefined) return undefined;
        // Prefixes end with a slash, so one lookup per slash of the path is sufficient.
        for (let end = path.lastIndexOf("/"); end >= 0; end = end === 0 ? -1 : path.lastIndexOf("/", end - 1)) {
            const route = prefixes.get(path.slice(0, end + 1));
            if (route !== undefined) return route;
        }
        return undefined;
    };

    return {
        version: configuration.version,
        findRoute,
        findWorkspace: credential => credentials.get(credential),
        needsCredentials: configuration.workspaces !== undefined,
    };
}

/** Chooses the service of a call by the weights of its route; `random` is in [0, 1). */
export function chooseService(route: Route, random: number): string | undefined {
    let totalWeight = 0;
    for (const destination of route.destinations) totalWeight += destination.weight;
    let remainingWeight = random * totalWeight;
    for (const destination of route.destinations) {
        remainingWeight -= destination.weight;
        if (remainingWeight < 0) return destination.service;
    }
    return route.destinations.at(-1)?.service;
}
