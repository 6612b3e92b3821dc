/** Resources that operators write and watch. Durations are in milliseconds, sizes in bytes. */

export type ResourceKind = "workspaces" | "services" | "failuredomains";

/** Capacity share and credentials of one customer. */
export interface WorkspaceSpec {
    /** Relative weight, greater than zero. */
    readonly share: number;
    /** SHA-256 hashes (lower-case hex) of the bearer tokens that identify the workspace. */
    readonly credentialHashes: readonly string[];
    /** Maximum number of queued requests of the workspace per router; further ones are refused with `notRun`. */
    readonly maxQueuedPerRouter?: number;
}

export interface TargetSpec {
    readonly name: string;
    /** Base URL, for example `http://127.0.0.1:9001`. */
    readonly address: string;
    readonly failureDomain: string;
}

/** A route of a plain service whose calls are safe to retry. */
export interface IdempotentRoute {
    readonly method: string;
    /** Path prefix below the service, starting with `/`. */
    readonly pathPrefix: string;
}

export interface ServiceSpec {
    readonly kind: "model" | "plain";
    readonly targets: readonly TargetSpec[];
    /** Maximum number of concurrent requests at a warm target. */
    readonly targetLimit: number;
    /** Maximum number of concurrent requests at a cold target, over the whole fleet. */
    readonly coldLimit: number;
    /** Requests that a started target completes before its limit rises above `coldLimit`, default 20. */
    readonly warmUpRequests?: number;
    /** Model names that the service serves; only for kind `model`. */
    readonly models?: readonly string[];
    /** Calls not listed here are non-idempotent; only for kind `plain`. */
    readonly idempotentRoutes?: readonly IdempotentRoute[];
    /** Cost charged per call of a plain service, default 1. */
    readonly costPerCall?: number;
    /** Timeout for waiting in the queue for a slot, default 30,000 ms. */
    readonly queueTimeoutMs?: number;
    /** Idle timeout between two bytes of a response, default 60,000 ms. */
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

/** A stored resource. `deleted` marks a tombstone, which keeps the last `spec`. */
export interface ResourceOf<K extends ResourceKind> {
    readonly kind: K;
    readonly name: string;
    /** Increases by at least one with each accepted change of this resource, including deletions. */
    readonly version: number;
    /** Revision of the store at the last change of this resource. */
    readonly revision: number;
    readonly spec: ResourceSpecs[K];
    readonly deleted?: boolean;
}

export type Resource = { [K in ResourceKind]: ResourceOf<K>; }[ResourceKind];

/** An entry of the platform's host list. */
export interface HostEntry {
    /** Router identifier, or target name. */
    readonly name: string;
    readonly role: "router" | "target";
    /** `host:port` of the peer interface of a router; base URL of a target. */
    readonly address: string;
    readonly failureDomain: string;
    readonly state: "live" | "leaving";
}
