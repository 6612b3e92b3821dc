/** Interface of a reducer slice, and the read-only queries that slices provide to each other. */
import type { Effect } from "./effects.js";
import type { NamedService, RouterEvent } from "./events.js";
import type { ConfigurationDigest, MemberState } from "./peer-messages.js";
import type { FailureDomainSpec, WorkspaceSpec } from "./resources.js";

export interface Slice {
    /** Updates the state of the slice and returns the effects to run. Deterministic for the same events and seed. */
    readonly reduce: (event: RouterEvent) => readonly Effect[];
}

/** Identity of a router process, from its settings. */
export interface RouterIdentity {
    readonly router: string;
    /** Increases with each start of the same router, for example its start time in milliseconds. */
    readonly incarnation: number;
    /** `host:port` of the peer interface. */
    readonly address: string;
    readonly failureDomain: string;
}

export interface Member {
    readonly router: string;
    readonly incarnation: number;
    readonly state: MemberState;
    readonly address: string;
    readonly failureDomain: string;
}

export interface MembershipQueries {
    /** Alive and suspect routers, this one included, sorted by name. */
    readonly listRoutable: () => readonly Member[];
    readonly getMember: (router: string) => Member | undefined;
    /** Number of routers in the platform's host list or the settings, including this one. */
    readonly countListed: () => number;
    /** Number of listed routers that this router considers alive, including itself. */
    readonly countListedAlive: () => number;
    /** Router that coordinates the pool, by rendezvous hashing over the routable members. */
    readonly findCoordinator: (pool: string) => Member;
}

export interface ConfigurationQueries {
    readonly listServices: () => readonly NamedService[];
    readonly getService: (name: string) => NamedService | undefined;
    readonly getWorkspace: (name: string) => WorkspaceSpec | undefined;
    readonly getFailureDomain: (name: string) => FailureDomainSpec | undefined;
    /** Whether the target accepts new work: listed in the service, host not leaving, failure domain not out. */
    readonly isTargetOpen: (service: string, target: string) => boolean;
    readonly getFreshness: () => "empty" | "fresh" | "stale";
    readonly getDigest: (now: number) => ConfigurationDigest;
}
