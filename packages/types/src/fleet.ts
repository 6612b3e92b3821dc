/** What a router believes about the fleet: routes, pools of targets, workspaces and other routers. Durations are in ms. */

/**
 * What may be repeated: `idempotent` calls may run more than once, `nonIdempotent` ones run at most once. A `stream` is a
 * series of events; it runs at most once unless its route says that it may be resumed.
 */
export type RouteKind = "idempotent" | "nonIdempotent" | "stream";

export interface RouteDestination {
    readonly service: string;
    /** Relative weight, greater than zero. */
    readonly weight: number;
}

export interface Route {
    readonly name: string;
    readonly host: string;
    /** Begins and ends with a slash. */
    readonly pathPrefix: string;
    readonly kind: RouteKind;
    /** Whether a broken stream may go on at another target after its last event. */
    readonly resumable: boolean;
    /** Whether calls need no credential of a workspace. */
    readonly open: boolean;
    /** Longest time that a caller is kept waiting for the whole answer. */
    readonly timeoutMs: number;
    /** Time to the answer, or to the first event of a stream, that callers hope for. */
    readonly latencyTargetMs: number;
    /** Most targets to which one call may be sent. */
    readonly maxTargets: number;
    readonly destinations: readonly RouteDestination[];
    /** Regions whose targets may run the call; all if missing. */
    readonly regions?: readonly string[];
}

/** Properties of a batching model engine. */
export interface EngineSpec {
    /** Most requests that run at once. */
    readonly batchSize: number;
    /** Tokens that running requests and cached prompt parts can hold together. */
    readonly memoryTokens: number;
    /** Set if an engine can copy prompt parts from another one instead of reading them. */
    readonly prefixCopies?: PrefixCopySpec;
}

/** How engines copy prompt parts from each other. */
export interface PrefixCopySpec {
    readonly bytesPerToken: number;
    /** Capacity of the link of one engine. */
    readonly bytesPerMs: number;
}

/** Targets of one service, which serve the same calls. */
export interface PoolSpec {
    readonly service: string;
    /** Most connections that one target accepts from all routers together. */
    readonly maxConnections: number;
    /** Requests a second, over all routers, that a cold target bears; 0 if the service has no cold starts. */
    readonly coldRequestsPerSecond: number;
    /** Missing for plain services. */
    readonly engine?: EngineSpec;
}

/** Limits on what callers may send. */
export interface CallerLimits {
    readonly maxHeaderBytes: number;
    readonly maxBodyBytes: number;
    readonly headerTimeoutMs: number;
    /** Time after which an idle connection of a caller is closed. */
    readonly idleTimeoutMs: number;
}

export interface WorkspaceAccess {
    readonly workspace: string;
    readonly credentials: readonly string[];
    readonly regions?: readonly string[];
}

/** One version of the operators' configuration, complete. */
export interface FleetConfiguration {
    readonly version: number;
    readonly routes: readonly Route[];
    readonly pools: readonly PoolSpec[];
    readonly limits: CallerLimits;
    /** Missing if calls need no credentials at all. */
    readonly workspaces?: readonly WorkspaceAccess[];
    /** Tokens a second that all engines produce together: each prompt token counts once, each generated one twice. */
    readonly tokensPerSecond?: number;
}

/** A target as it announces itself. */
export interface TargetEntry {
    /** Changes with most starts of the target. */
    readonly target: string;
    readonly service: string;
    /** `ip:port`. */
    readonly address: string;
    readonly failureDomain: string;
    /** Requests that run at once. */
    readonly slots: number;
    readonly state: "ready" | "leaving";
    /** Time for which the target stays cold, counted from when the entry was written. */
    readonly coldForMs: number;
    /** Unix time of the target's start in milliseconds, if it tells. */
    readonly startedAt?: number;
}

/** A router as it announces itself. */
export interface RouterEntry {
    readonly router: string;
    readonly incarnation: number;
    /** `ip:port` at which it receives datagrams of other routers. */
    readonly address: string;
    readonly failureDomain: string;
}

export interface ClosedDomainEntry {
    readonly failureDomain: string;
}

/** Entries of the platform's store that a router follows, by kind. */
export interface ViewEntries {
    readonly configuration: FleetConfiguration;
    readonly targets: TargetEntry;
    readonly closedDomains: ClosedDomainEntry;
    readonly routers: RouterEntry;
}

export type ViewKind = keyof ViewEntries;

export const viewKinds: readonly ViewKind[] = ["configuration", "targets", "closedDomains", "routers"];
