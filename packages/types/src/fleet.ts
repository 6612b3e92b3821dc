/** A router's view of the fleet: routes, pools of targets, workspaces and other routers. Durations are in ms. */
import type { RolloutEntry } from "./rollout.js";

/**
 * Retry safety of a route's calls: `idempotent` calls may run more than once, `nonIdempotent` ones run at most once. A
 * `stream` of server-sent events runs at most once unless its route is resumable.
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
    /** Whether an interrupted stream may be resumed at another target after its last event. */
    readonly resumable: boolean;
    /** Whether calls are accepted without a workspace credential. */
    readonly isPublic: boolean;
    /** Timeout for the complete response. */
    readonly timeoutMs: number;
    /** Target latency of the response, or of the first event of a stream. */
    readonly latencyTargetMs: number;
    /** Maximum number of attempts per call, not counting those that were unsent or misdirected. */
    readonly maxAttempts: number;
    readonly destinations: readonly RouteDestination[];
    /** Regions whose targets may run the call; all if omitted. */
    readonly regions?: readonly string[];
}

/** Properties of a batching model engine. */
export interface EngineSpec {
    /** Maximum number of concurrently running requests. */
    readonly maxBatchSize: number;
    /** KV cache capacity, shared by running requests and cached prompt prefixes. */
    readonly kvCacheTokens: number;
    /** Number of tokens of one event of a stream; omitted if unknown. */
    readonly tokensPerEvent?: number;
    /** Set if an engine can copy cached prompt prefixes from another engine instead of recomputing them. */
    readonly prefixTransfer?: PrefixTransferSpec;
}

/** Transfer of cached prompt prefixes between engines. */
export interface PrefixTransferSpec {
    readonly kvBytesPerToken: number;
    /** Network bandwidth of one engine. */
    readonly linkBytesPerMs: number;
}

/** The interchangeable targets of one service. */
export interface PoolSpec {
    readonly service: string;
    /** Maximum number of connections that one target accepts from all routers together. */
    readonly maxConnections: number;
    /** Rate limit of a cold target over all routers; 0 if the service has no cold starts. */
    readonly coldRequestsPerSecond: number;
    /** Path at which a target reports its health, such as how long it stays cold; omitted if it reports none. */
    readonly healthPath?: string;
    /** Omitted for plain services. */
    readonly engine?: EngineSpec;
}

/** Limits on what callers may send. */
export interface CallerLimits {
    readonly maxHeaderBytes: number;
    readonly maxBodyBytes: number;
    readonly headerTimeoutMs: number;
    /** Time after which an idle caller connection is closed. */
    readonly idleTimeoutMs: number;
}

export interface WorkspaceAccess {
    readonly workspace: string;
    readonly credentials: readonly string[];
    readonly regions?: readonly string[];
}

/** A complete version of the operators' configuration. */
export interface FleetConfiguration {
    readonly version: number;
    readonly routes: readonly Route[];
    readonly pools: readonly PoolSpec[];
    readonly limits: CallerLimits;
    /** Omitted if no call needs credentials. */
    readonly workspaces?: readonly WorkspaceAccess[];
    /** Total throughput of all engines; a prompt token counts once and a generated token twice. */
    readonly tokensPerSecond?: number;
}

/** A target's own registration in the store. */
export interface TargetEntry {
    /** Usually changes when the target restarts. */
    readonly target: string;
    readonly service: string;
    /** `ip:port`. */
    readonly address: string;
    readonly failureDomain: string;
    /** Maximum number of concurrent requests. */
    readonly slots: number;
    readonly state: "ready" | "leaving";
    /** Time for which the target stays cold after the entry was written. */
    readonly coldForMs: number;
    /** Start time of the target, if it reports one. */
    readonly startedAtUnixMs?: number;
    /** Version of the software that it runs, if the target states one. */
    readonly version?: string;
}

/** A router's own registration in the store. */
export interface RouterEntry {
    readonly router: string;
    readonly incarnation: number;
    /** `ip:port` on which it receives datagrams from other routers. */
    readonly address: string;
    readonly failureDomain: string;
    /** Processor time that the host gives the router, in cores; omitted by older routers. */
    readonly cores?: number;
    /** Secret with which routers that can read the store authenticate to this one; omitted by older routers. */
    readonly relayKey?: string;
}

export interface ClosedDomainEntry {
    readonly failureDomain: string;
}

/** Entries of the platform's store that a router watches, by kind. */
export interface ViewEntries {
    readonly configuration: FleetConfiguration;
    readonly targets: TargetEntry;
    readonly closedDomains: ClosedDomainEntry;
    readonly routers: RouterEntry;
    readonly rollouts: RolloutEntry;
}

export type ViewKind = keyof ViewEntries;

/** Kinds that every router follows. */
export const viewKinds: readonly ViewKind[] = ["configuration", "targets", "closedDomains", "routers"];

/** Kinds that routers follow in a deployment with rollouts. */
export const viewKindsWithRollouts: readonly ViewKind[] = [...viewKinds, "rollouts"];
