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

/** What a router knows of the platform's host list, read by itself or learned from peers. */
export interface HostListDigest {
    /** Time since the list was read. */
    readonly ageMs: number;
    /** Number of routers on the list, seeds included. */
    readonly routerCount: number;
    /** Hash of the names of the targets that are leaving. */
    readonly leavingHash: number;
}

/** What a router knows about its configuration; travels on probes and acknowledgements. */
export interface ConfigurationDigest {
    /** Greatest store revision up to which the sender holds every change. */
    readonly revision: number;
    /** Time since the sender's configuration was last confirmed; `undefined` when it never was. */
    readonly confirmedAgeMs?: number;
    /** Whether the sender's last call to the platform's store failed or, if it made none, calls of its peers failed. */
    readonly storeUnreachable: boolean;
    /** Time since the call on which `storeUnreachable` is based, the sender's or a peer's; `undefined` without any. */
    readonly storeCheckedAgeMs?: number;
    /** Missing until the sender knows of a host list. */
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
    /** Router that was reached, which differs from the sender for an indirect probe. */
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

/** Slots of one target at one entry router. */
export interface SlotCount {
    readonly target: string;
    /** Generation of the target under which the slots were granted. */
    readonly generation: number;
    readonly held: number;
    readonly inUse: number;
}

/** Cumulative cost that the reporting router has charged to one workspace in this pool, and its waiting requests. */
export interface WorkspaceUsage {
    readonly workspace: string;
    readonly totalCost: number;
    readonly queued: number;
    /** Moving average of the cost of one request. */
    readonly estimatedCost: number;
}

/** State of a target as an entry router saw it on a request; a reason to treat the target as cold. */
export interface TargetObservation {
    readonly target: string;
    readonly generation: number;
    readonly kind: "refused" | "broken" | "startIdChanged" | "slow";
    readonly startId?: string;
}

/** Last announced virtual times, which let a new coordinator take over. */
export interface VirtualTimeCopy {
    /** Coordinator that announced it, with the number of its announcement; the greatest version wins. */
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

/** Entry router to coordinator. Totals are cumulative, so a lost or repeated report does no harm. */
export interface PoolReportMessage {
    readonly type: "poolReport";
    readonly pool: string;
    /** Incarnation of the reporting router. */
    readonly incarnation: number;
    readonly sequence: number;
    readonly usage: readonly WorkspaceUsage[];
    readonly slots: readonly SlotCount[];
    /** Cumulative number of slots that the router has received in grants, per target and generation. */
    readonly granted: readonly GrantTotal[];
    readonly observations: readonly TargetObservation[];
    /** Totals of this router that `copy` already contains. */
    readonly totalsInCopy: readonly { readonly workspace: string; readonly totalCost: number; }[];
    /** Present until the first announcement of a new coordinator has arrived. */
    readonly copy?: VirtualTimeCopy;
}

export interface GrantTotal {
    readonly target: string;
    readonly generation: number;
    readonly total: number;
    /** In reports: requests completed on slots of this generation, which is the evidence that ends a cold start. */
    readonly completed?: number;
}

export type TargetCondition = "warm" | "cold" | "closed";

export interface TargetState {
    readonly target: string;
    readonly generation: number;
    readonly condition: TargetCondition;
    /** Limit that the coordinator applies at present, which is lower than the configured one during a cold start. */
    readonly limit: number;
    /** Set after a failure until a newer load report shows whether the target runs on. */
    readonly suspect?: boolean;
    /** Start id that the coordinator saw last. */
    readonly startId?: string;
}

/** Coordinator to entry router. */
export interface PoolAnnouncementMessage {
    readonly type: "poolAnnouncement";
    readonly pool: string;
    /** Incarnation of the entry router that this is meant for; a restarted router ignores the grants to its predecessor. */
    readonly incarnation: number;
    /** Grows by one with each announcement; a new coordinator starts above the greatest version that it was told. */
    readonly version: number;
    /** Sequence number of the last report of the receiver that is included. */
    readonly reportSequence: number;
    /** Set when grants, virtual times and targets that have not changed since the last announcement are left out. */
    readonly partial?: boolean;
    /** Cumulative number of slots granted to the receiver, per target and generation, so that a repeated grant does no harm. */
    readonly granted: readonly GrantTotal[];
    readonly poolVirtualTime: number;
    readonly virtualTimes: readonly WorkspaceVirtualTime[];
    /** Greatest virtual time at which an entry router may reuse a slot without asking. */
    readonly ceiling: number;
    /** Whether a request waits anywhere in the pool; unused slots are then returned at once. */
    readonly contended: boolean;
    readonly targets: readonly TargetState[];
}

export interface ConfigurationUpdateMessage {
    readonly type: "configurationUpdate";
    readonly resources: readonly Resource[];
    /** The receiver holds everything up to this revision once it has applied `resources` on top of `fromRevision`. */
    readonly fromRevision: number;
    readonly revision: number;
    readonly digest: ConfigurationDigest;
    /** Targets that are leaving according to the host list; present if the request asked for them. */
    readonly leavingTargets?: readonly string[];
}

/** Asks for every change after `revision`. */
export interface ConfigurationRequestMessage {
    readonly type: "configurationRequest";
    readonly revision: number;
    /** Set to ask also for the targets that are leaving, unless they have this hash. */
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
