/** Determines the route, workspace and service of a call, or the reason for refusing it. */
import type { FleetView } from "@rhubarbwheel/fleet-view/createFleetView";
import { otherRouterRetryAfterMs } from "@rhubarbwheel/routing/computeRetryAfterMs";
import { chooseService } from "@rhubarbwheel/routing/createRouteTable";
import type { Route, WorkspaceAccess } from "@rhubarbwheel/types/fleet";
import type { IncomingMessage } from "node:http";
import type { CallMetadata, HeaderCodec } from "./headerCodec.js";

export interface RoutedCall {
    readonly metadata: CallMetadata;
    readonly route: Route;
    readonly service: string;
    readonly access?: WorkspaceAccess;
    readonly regions?: readonly string[];
}

export interface CallRefusal {
    /** Code from `@rhubarbwheel/error`. */
    readonly code: string;
    readonly detail?: string;
    readonly retryAfterMs?: number;
}

export interface RouteCallOptions {
    readonly view: FleetView;
    readonly headerCodec: HeaderCodec;
    readonly now: number;
    /** Random number in [0, 1). */
    readonly random: number;
}

function intersectRegions(route: Route, access: WorkspaceAccess | undefined): readonly string[] | undefined {
    if (route.regions === undefined) return access?.regions;
    if (access?.regions === undefined) return route.regions;
    return route.regions.filter(region => access.regions?.includes(region));
}

/** Finds a repeated header of which a router and a target might use different occurrences. */
function findDuplicateHeader(rawHeaders: readonly string[], uniqueHeaders: ReadonlySet<string>): string | undefined {
    const found = new Set<string>();
    for (let index = 0; index < rawHeaders.length; index += 2) {
        const name = (rawHeaders[index] ?? "").toLowerCase();
        if (!uniqueHeaders.has(name)) continue;
        if (found.has(name)) return name;
        found.add(name);
    }
    return undefined;
}

/** Computes the size of the request line and the headers as sent. */
export function computeRequestHeadBytes(incoming: IncomingMessage): number {
    const separatorBytes = 4;
    let bytes = (incoming.method?.length ?? 0) + (incoming.url?.length ?? 0) + " HTTP/1.1\r\n".length + 1;
    for (let index = 0; index < incoming.rawHeaders.length; index += 2)
        bytes += incoming.rawHeaders[index]!.length + incoming.rawHeaders[index + 1]!.length + separatorBytes;
    return bytes;
}

export function routeCall(incoming: IncomingMessage, opts: RouteCallOptions): RoutedCall | CallRefusal {
    const { view, headerCodec, now } = opts;
    const routes = view.getRoutes();
    const configuration = view.getConfiguration();
    if (routes === undefined || configuration === undefined || !view.isComplete())
        return { code: "CONFIGURATION_EMPTY", retryAfterMs: otherRouterRetryAfterMs };
    if (computeRequestHeadBytes(incoming) > configuration.limits.maxHeaderBytes) return { code: "HEADERS_TOO_LARGE" };
    const duplicate = findDuplicateHeader(incoming.rawHeaders, headerCodec.uniqueHeaders);
    if (duplicate !== undefined) return { code: "HEADER_INVALID", detail: `${duplicate} occurs more than once.` };
    const url = incoming.url ?? "";
    if (!url.startsWith("/")) return { code: "PATH_INVALID" };
    const path = url.split("?", 1)[0] ?? "";
    const route = routes.findRoute(incoming.headers.host ?? "", path);
    if (route === undefined) return { code: "ROUTE_UNKNOWN" };
    const metadata = headerCodec.parseCallHeaders(incoming.headers);
    if (typeof metadata === "string") return { code: "HEADER_INVALID", detail: metadata };
    const needsCredential = routes.needsCredentials && !route.isPublic;
    if (needsCredential && view.getCredentialFreshness(now) !== "current")
        return { code: "CONFIGURATION_STALE", retryAfterMs: otherRouterRetryAfterMs };
    const access = needsCredential && metadata.credential !== undefined
        ? routes.findWorkspace(metadata.credential)
        : undefined;
    if (needsCredential && access === undefined)
        return { code: metadata.credential === undefined ? "CREDENTIAL_MISSING" : "CREDENTIAL_UNKNOWN" };
    const service = chooseService(route, opts.random);
    if (service === undefined) return { code: "NO_TARGET", retryAfterMs: otherRouterRetryAfterMs };
    return { metadata, route, service, access, regions: intersectRegions(route, access) };
}
