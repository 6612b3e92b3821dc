/** Resources that operators write and watch. Durations are in milliseconds, sizes in bytes. */

export type ResourceKind = "workspaces" | "services" | "failuredomains";

/** Share of capacity and the credentials of one customer business. */
export interface WorkspaceSpec {
    /** Relative weight, greater than zero. */
    readonly share: number;
    /** SHA-256 hashes (lower-case hex) of the bearer tokens that identify the workspace. */
    readonly credentialHashes: readonly string[];
    /** Most requests of the workspace that may wait at one router; later ones are answered `notRun`. */
    readonly maxQueuedPerRouter?: number;
}

export interface TargetSpec {
    readonly name: string;
    /** Base URL, for example `http://127.0.0.1:9001`. */
    readonly address: string;
    readonly failureDomain: string;
}

/** One route of a plain service whose calls may be repeated safely. */
export interface IdempotentRoute {
    readonly method: string;
    /** Path prefix below the service, starting with `/`. */
    readonly pathPrefix: string;
}

export interface ServiceSpec {
    readonly kind: "model" | "plain";
    readonly targets: readonly TargetSpec[];
    /** Most requests in progress at one warm target. */
    readonly targetLimit: number;
    /** Most requests in progress at one cold target, over the whole fleet. */
    readonly coldLimit: number;
    /** Requests that a target completes after a start before its limit rises above `coldLimit`, default 20. */
    readonly warmUpRequests?: number;
    /** Model names that the service answers to; only for kind `model`. */
    readonly models?: readonly string[];
    /** Calls not listed here are non-idempotent; only for kind `plain`. */
    readonly idempotentRoutes?: readonly IdempotentRoute[];
    /** Cost charged per call of a plain service, default 1. */
    readonly costPerCall?: number;
    /** Longest time that a request may wait for a slot, default 30,000 ms. */
    readonly queueTimeoutMs?: number;
    /** Longest time between two bytes of an answer, default 60,000 ms. */
    readonly answerTimeoutMs?: number;
}

export interface FailureDomainSpec {
    readonly state: "in" | "out";
}

export interface ResourceSpecs {
    readonly workspaces: WorkspaceSpec;
    readonly services: ServiceSpec;
    readonly failuredomains: FailureDomainSpec;
}

/** A resource as stored. `deleted` marks a tombstone, whose `spec` is the last one. */
export interface ResourceOf<K extends ResourceKind> {
    readonly kind: K;
    readonly name: string;
    /** Grows by at least one with each accepted change of this resource, deletions included. */
    readonly version: number;
    /** Revision of the whole store at the last change of this resource. */
    readonly revision: number;
    readonly spec: ResourceSpecs[K];
    readonly deleted?: boolean;
}

export type Resource = { [K in ResourceKind]: ResourceOf<K>; }[ResourceKind];

/** One entry of the platform's host list. */
export interface HostEntry {
    /** Router identifier, or target name. */
    readonly name: string;
    readonly role: "router" | "target";
    /** `host:port` of the peer interface of a router; base URL of a target. */
    readonly address: string;
    readonly failureDomain: string;
    readonly state: "live" | "leaving";
}
