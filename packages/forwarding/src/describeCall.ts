/** Decides where a call goes: its route, its workspace and its service, or why it is refused. */
import type { FleetView } from "@rhubarbwheel/fleet-view/createFleetView";
import { otherRouterRetryAfterMs } from "@rhubarbwheel/routing/computeRetryAfter";
import { chooseService } from "@rhubarbwheel/routing/createRouteTable";
import type { Route, WorkspaceAccess } from "@rhubarbwheel/types/fleet";
import type { IncomingMessage } from "node:http";
import type { CallMetadata, HeaderCodec } from "./headerCodec.js";

export interface DescribedCall {
    readonly head: CallMetadata;
    readonly route: Route;
    readonly service: string;
    readonly access?: WorkspaceAccess;
    readonly regions?: readonly string[];
}

export interface CallProblem {
    /** Code from `@rhubarbwheel/error`. */
    readonly code: string;
    readonly detail?: string;
    readonly retryAfterMs?: number;
}

export interface DescribeCallOptions {
    readonly view: FleetView;
    readonly headerCodec: HeaderCodec;
    readonly now: number;
    /** Random number in [0, 1). */
    readonly random: number;
}

function joinRegions(route: Route, access: WorkspaceAccess | undefined): readonly string[] | undefined {
    if (route.regions === undefined) return access?.regions;
    if (access?.regions === undefined) return route.regions;
    return route.regions.filter(region => access.regions?.includes(region));
}

/** Finds a header that occurs twice although routers and targets must read the same one. */
function findRepeatedHeader(rawHeaders: readonly string[], unique: ReadonlySet<string>): string | undefined {
    const seen = new Set<string>();
    for (let index = 0; index < rawHeaders.length; index += 2) {
        const name = (rawHeaders[index] ?? "").toLowerCase();
        if (!unique.has(name)) continue;
        if (seen.has(name)) return name;
        seen.add(name);
    }
    return undefined;
}

/** Size of the request line and the headers as they were sent. */
export function measureHeadBytes(incoming: IncomingMessage): number {
    const separatorBytes = 4;
    let bytes = (incoming.method?.length ?? 0) + (incoming.url?.length ?? 0) + " HTTP/1.1\r\n".length + 1;
    for (let index = 0; index < incoming.rawHeaders.length; index += 2)
        bytes += incoming.rawHeaders[index]!.length + incoming.rawHeaders[index + 1]!.length + separatorBytes;
    return bytes;
}

export function describeCall(incoming: IncomingMessage, opts: DescribeCallOptions): DescribedCall | CallProblem {
    const { view, headerCodec, now } = opts;
    const routes = view.getRoutes();
    const configuration = view.getConfiguration();
    if (routes === undefined || configuration === undefined || !view.isComplete())
        return { code: "CONFIGURATION_EMPTY", retryAfterMs: otherRouterRetryAfterMs };
    if (measureHeadBytes(incoming) > configuration.limits.maxHeaderBytes) return { code: "HEADERS_TOO_LARGE" };
    const repeated = findRepeatedHeader(incoming.rawHeaders, headerCodec.uniqueHeaders);
    if (repeated !== undefined) return { code: "HEADER_INVALID", detail: `${repeated} occurs more than once.` };
    const url = incoming.url ?? "";
    if (!url.startsWith("/")) return { code: "PATH_INVALID" };
    const path = url.split("?", 1)[0] ?? "";
    const route = routes.findRoute(incoming.headers.host ?? "", path);
    if (route === undefined) return { code: "ROUTE_UNKNOWN" };
    const head = headerCodec.parseCallHeaders(incoming.headers);
    if (typeof head === "string") return { code: "HEADER_INVALID", detail: head };
    const needsCredential = routes.needsCredentials && !route.isPublic;
    if (needsCredential && view.getCredentialFreshness(now) !== "current")
        return { code: "CONFIGURATION_STALE", retryAfterMs: otherRouterRetryAfterMs };
    const access = needsCredential && head.credential !== undefined ? routes.findWorkspace(head.credential) : undefined;
    if (needsCredential && access === undefined)
        return { code: head.credential === undefined ? "CREDENTIAL_MISSING" : "CREDENTIAL_UNKNOWN" };
    const service = chooseService(route, opts.random);
    if (service === undefined) return { code: "NO_TARGET", retryAfterMs: otherRouterRetryAfterMs };
    return { head, route, service, access, regions: joinRegions(route, access) };
}
