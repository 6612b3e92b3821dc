/** Messages between routers. Field names match `packages/peer-protocol/proto/peer.proto`. */
import type { Resource } from "./resources.js";

export type MemberState = "alive" | "suspect" | "dead" | "left";

export interface MemberUpdate {
    readonly router: string;
    readonly incarnation: number;
    readonly state: MemberState;
    /** `host:port` of the peer interface. */
    readonly address: string;
    readonly failureDomain: string;
}

/** Summary of the platform's host list, read from the store or received from peers. */
export interface HostListDigest {
    /** Time since the list was read. */
    readonly ageMs: number;
    /** Number of routers on the list, including seeds. */
    readonly routerCount: number;
    /** Hash of the names of leaving targets. */
    readonly leavingHash: number;
}

/** Summary of a router's configuration, carried by probes and acknowledgements. */
export interface ConfigurationDigest {
    /** Store revision up to which the sender has all changes. */
    readonly revision: number;
    /** Time since the sender's configuration was last confirmed; omitted if it never was. */
    readonly confirmedAgeMs?: number;
    /** Whether the sender's last request to the store failed or, if it made none, those of its peers. */
    readonly storeUnreachable: boolean;
    /** Time since the request on which `storeUnreachable` is based, the sender's or a peer's; omitted if none. */
    readonly storeCheckedAgeMs?: number;
    /** Omitted until the sender has a host list. */
    readonly hosts?: HostListDigest;
}

export interface ProbeMessage {
    readonly type: "probe";
    readonly sequence: number;
    readonly updates: readonly MemberUpdate[];
    readonly digest: ConfigurationDigest;
}

export interface ProbeAckMessage {
    readonly type: "probeAck";
    readonly sequence: number;
    /** Router that was probed; differs from the sender for an indirect probe. */
    readonly router: string;
    readonly updates: readonly MemberUpdate[];
    readonly digest: ConfigurationDigest;
}

/** Asks the receiver to probe `router` on behalf of the sender. */
export interface ProbeRequestMessage {
    readonly type: "probeRequest";
    readonly sequence: number;
    readonly router: string;
    readonly updates: readonly MemberUpdate[];
}

export interface LeavingMessage {
    readonly type: "leaving";
    readonly update: MemberUpdate;
}

/** Slots of one target that an entry router holds. */
export interface SlotCount {
    readonly target: string;
    /** Generation of the target under which the slots were granted. */
    readonly generation: number;
    readonly held: number;
    readonly inUse: number;
}

/** Cumulative cost that the reporting router charged to a workspace in this pool, and its queued requests. */
export interface WorkspaceUsage {
    readonly workspace: string;
    readonly totalCost: number;
    readonly queued: number;
    /** Moving average of the cost per request. */
    readonly estimatedCost: number;
}

/** Symptom of a restarted or failing target that an entry router observed; the target is treated as cold. */
export interface TargetObservation {
    readonly target: string;
    readonly generation: number;
    readonly kind: "refused" | "broken" | "startIdChanged" | "slow";
    readonly startId?: string;
}

/** Last announced virtual times, from which a new coordinator restores the pool's state. */
export interface VirtualTimeCopy {
    /** Version of the announcement that it is from; the highest version wins. */
    readonly version: number;
    readonly poolVirtualTime: number;
    readonly entries: readonly WorkspaceVirtualTime[];
    /** Last announced target states; without them a new coordinator would treat every target as cold. */
    readonly targets: readonly TargetState[];
}

export interface WorkspaceVirtualTime {
    readonly workspace: string;
    readonly virtualTime: number;
}

/** Entry router to coordinator. Totals are cumulative, so lost or duplicate reports are harmless. */
export interface PoolReportMessage {
    readonly type: "poolReport";
    readonly pool: string;
    /** Incarnation of the reporting router. */
    readonly incarnation: number;
    readonly sequence: number;
    readonly usage: readonly WorkspaceUsage[];
    readonly slots: readonly SlotCount[];
    /** Cumulative number of slots granted to the router, per target and generation. */
    readonly granted: readonly GrantTotal[];
    readonly observations: readonly TargetObservation[];
    /** Totals of this router that `copy` already includes. */
    readonly totalsInCopy: readonly { readonly workspace: string; readonly totalCost: number; }[];
    /** Included until the first announcement of a new coordinator arrives. */
    readonly copy?: VirtualTimeCopy;
}

export interface GrantTotal {
    readonly target: string;
    readonly generation: number;
    readonly total: number;
    /** In reports: requests completed on slots of this generation; they end the cold start. */
    readonly completed?: number;
}

export type TargetCondition = "warm" | "cold" | "closed";

export interface TargetState {
    readonly target: string;
    readonly generation: number;
    readonly condition: TargetCondition;
    /** Current limit; lower than the configured one during a cold start. */
    readonly limit: number;
    /** Set after a failure until a newer load report shows whether the target is still running. */
    readonly suspect?: boolean;
    /** Start id last known to the coordinator. */
    readonly startId?: string;
}

/** Coordinator to entry router. */
export interface PoolAnnouncementMessage {
    readonly type: "poolAnnouncement";
    readonly pool: string;
    /** Incarnation of the receiver; a restarted router ignores grants to its previous incarnation. */
    readonly incarnation: number;
    /** Increases by one with each announcement; a new coordinator starts above the highest version reported to it. */
    readonly version: number;
    /** Sequence number of the receiver's last report that is taken into account. */
    readonly reportSequence: number;
    /** Set if grants, virtual times and targets that are unchanged since the last announcement are omitted. */
    readonly partial?: boolean;
    /** Cumulative number of slots granted to the receiver, per target and generation; duplicates are harmless. */
    readonly granted: readonly GrantTotal[];
    readonly poolVirtualTime: number;
    readonly virtualTimes: readonly WorkspaceVirtualTime[];
    /** Highest virtual time at which an entry router may reuse a slot without a new grant. */
    readonly ceiling: number;
    /** Whether any request is queued in the pool; unused slots are then returned immediately. */
    readonly contended: boolean;
    readonly targets: readonly TargetState[];
}

export interface ConfigurationUpdateMessage {
    readonly type: "configurationUpdate";
    readonly resources: readonly Resource[];
    /** Applied to a configuration that is complete up to this revision, `resources` complete it up to `revision`. */
    readonly fromRevision: number;
    readonly revision: number;
    readonly digest: ConfigurationDigest;
    /** Leaving targets according to the host list; included if the request asked for them. */
    readonly leavingTargets?: readonly string[];
}

/** Requests all changes after `revision`. */
export interface ConfigurationRequestMessage {
    readonly type: "configurationRequest";
    readonly revision: number;
    /** Set to also request the leaving targets, unless their hash is equal. */
    readonly leavingHash?: number;
}

export type PeerMessage =
    | ProbeMessage
    | ProbeAckMessage
    | ProbeRequestMessage
    | LeavingMessage
    | PoolReportMessage
    | PoolAnnouncementMessage
    | ConfigurationUpdateMessage
    | ConfigurationRequestMessage;
