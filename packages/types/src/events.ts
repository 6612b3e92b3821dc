/** Everything that can happen to a router. `now` is monotonic time in milliseconds at which the event is reduced. */
import type { PeerMessage } from "./peer-messages.js";
import type { HostEntry, Resource, ServiceSpec } from "./resources.js";

/** What the reducer knows about a call; its bytes stay with the HTTP server. */
export interface RequestSummary {
    readonly id: string;
    readonly workspace: string;
    readonly service: string;
    /** Whether the call may be sent more than once. */
    readonly idempotent: boolean;
    /** Estimated input cost, from the size of the request. */
    readonly inputCost: number;
    /** Caller's hint of the output cost, for example from `max_tokens`. */
    readonly outputCostHint?: number;
    /** Hash of the prompt prefix, used to prefer a target that has it cached. */
    readonly prefixHash?: number;
    /** Minted idempotency key under which a non-idempotent call runs. */
    readonly key?: string;
}

export interface LoadReport {
    readonly target: string;
    /** Changes with each start of the target. */
    readonly startId: string;
    readonly running: number;
    readonly queued: number;
    /** Age of the sample on arrival. */
    readonly ageMs: number;
}

export type AttemptResult = "complete" | "refused" | "broken";

interface At {
    readonly now: number;
}

export interface TickEvent extends At {
    readonly type: "tick";
}

export interface RequestArrivedEvent extends At {
    readonly type: "requestArrived";
    readonly request: RequestSummary;
}

/** The caller hung up. */
export interface RequestCancelledEvent extends At {
    readonly type: "requestCancelled";
    readonly requestId: string;
}

/** The target has begun to answer. */
export interface TargetAcceptedEvent extends At {
    readonly type: "targetAccepted";
    readonly requestId: string;
    readonly attempt: number;
    readonly target: string;
    readonly startId?: string;
}

/** Cumulative cost of an attempt that is still streaming; sent at most a few times a second per request. */
export interface TargetProgressEvent extends At {
    readonly type: "targetProgress";
    readonly requestId: string;
    readonly attempt: number;
    readonly cost: number;
}

/** An attempt has ended. `refused` means that the target did not run the call; `broken` that it may have run, wholly or in part. */
export interface TargetEndedEvent extends At {
    readonly type: "targetEnded";
    readonly requestId: string;
    readonly attempt: number;
    readonly target: string;
    readonly result: AttemptResult;
    /** Whether any byte of the call may have left this router. */
    readonly sent: boolean;
    /** Whether any byte of the answer has been passed to the caller. */
    readonly answered: boolean;
    readonly cost: number;
    readonly startId?: string;
    /** Short reason for logs, for example `ECONNREFUSED` or `status 503`. */
    readonly reason?: string;
}

export interface LoadReportedEvent extends At {
    readonly type: "loadReported";
    readonly service: string;
    readonly report: LoadReport;
}

export interface LoadUnavailableEvent extends At {
    readonly type: "loadUnavailable";
    readonly service: string;
    readonly target: string;
    /** Whether the connection was refused, which means that the target is not running. */
    readonly refused: boolean;
}

export interface PeerMessageEvent extends At {
    readonly type: "peerMessage";
    readonly from: string;
    readonly message: PeerMessage;
}

/** A message to the peer could not be delivered. */
export interface PeerUnreachableEvent extends At {
    readonly type: "peerUnreachable";
    readonly router: string;
}

/** Answer to `readConfiguration`: every resource and tombstone of the store at `revision`. */
export interface ConfigurationReadEvent extends At {
    readonly type: "configurationRead";
    readonly revision: number;
    readonly resources: readonly Resource[];
    /** Time at which the call was sent: the answer confirms the configuration as of then. */
    readonly askedAt: number;
}

/** Answer to `watchConfiguration`, possibly with no changes. */
export interface ConfigurationChangedEvent extends At {
    readonly type: "configurationChanged";
    readonly fromRevision: number;
    readonly revision: number;
    readonly resources: readonly Resource[];
    /** Latest time as of which the store is known to have answered. */
    readonly askedAt: number;
    /** Set when an accepted write of this router is reported, and not the answer to `watchConfiguration`. */
    readonly ownWrite?: boolean;
}

export interface PlatformUnavailableEvent extends At {
    readonly type: "platformUnavailable";
    readonly call: "readConfiguration" | "watchConfiguration" | "listHosts" | "acquireLease";
    /** The store no longer holds the changes after the revision that was asked for; everything must be read. */
    readonly revisionGone?: boolean;
}

export interface HostsListedEvent extends At {
    readonly type: "hostsListed";
    readonly hosts: readonly HostEntry[];
}

export interface LeaseAnsweredEvent extends At {
    readonly type: "leaseAnswered";
    readonly lease: string;
    readonly result: "held" | "taken" | "unavailable";
    /** Monotonic time until which the lease holds, counted from when the call was sent. */
    readonly validUntil: number;
    /** Grows with each change of holder. */
    readonly fencingNumber: number;
}

/** Answer to `bindKey`. */
export interface KeyBoundEvent extends At {
    readonly type: "keyBound";
    readonly requestId: string;
    /** `bound`: `mintedKey` now belongs to the caller's key, now or from an earlier call; `unavailable`: the store could not say. */
    readonly result: "bound" | "unavailable";
    readonly mintedKey?: string;
}

/** A call with an idempotency key; it becomes `requestArrived` once this router may run it. */
export interface KeyedRequestEvent extends At {
    readonly type: "keyedRequest";
    readonly request: RequestSummary;
    /** Key from the caller: minted by a router, or chosen by the caller. */
    readonly callerKey: string;
    /** SHA-256 of method, path and body; a key reused for another call is refused. */
    readonly fingerprint: string;
    /** Set when a peer has forwarded the call: it must not be forwarded again. */
    readonly forwardedBy?: string;
}

/** The HTTP server stored (or could not store) the whole answer of a keyed call. */
export interface AnswerRecordedEvent extends At {
    readonly type: "answerRecorded";
    readonly requestId: string;
    readonly outcome: "complete" | "notRun" | "unknown";
    readonly sizeBytes: number;
}

/** A forwarded call has ended. `unreachable`: no byte reached the peer. */
export interface ForwardAnsweredEvent extends At {
    readonly type: "forwardAnswered";
    readonly requestId: string;
    readonly result: "answered" | "broken" | "unreachable";
}

export interface DrainRequestedEvent extends At {
    readonly type: "drainRequested";
}

/** Raised by the membership slice. */
export interface MembershipChangedEvent extends At {
    readonly type: "membershipChanged";
    readonly router: string;
    readonly state: "alive" | "suspect" | "dead" | "left";
    readonly incarnation: number;
}

/** Raised by the configuration slice after it has applied changes. */
export interface ConfigurationAppliedEvent extends At {
    readonly type: "configurationApplied";
    readonly changed: readonly Resource[];
    readonly revision: number;
}

/** Raised by the configuration slice. A router that is not `fresh` starts no new work. */
export interface FreshnessChangedEvent extends At {
    readonly type: "freshnessChanged";
    readonly freshness: "empty" | "fresh" | "stale";
}

/** Raised by the entry queue when a request has ended in any way; `cost` is what was charged. */
export interface RequestEndedEvent extends At {
    readonly type: "requestEnded";
    readonly requestId: string;
    readonly workspace: string;
    readonly service: string;
    readonly outcome: "complete" | "notRun" | "unknown";
    readonly cost: number;
}

export type RouterEvent =
    | TickEvent
    | RequestArrivedEvent
    | RequestCancelledEvent
    | KeyedRequestEvent
    | AnswerRecordedEvent
    | TargetAcceptedEvent
    | TargetProgressEvent
    | TargetEndedEvent
    | LoadReportedEvent
    | LoadUnavailableEvent
    | PeerMessageEvent
    | PeerUnreachableEvent
    | ConfigurationReadEvent
    | ConfigurationChangedEvent
    | PlatformUnavailableEvent
    | HostsListedEvent
    | LeaseAnsweredEvent
    | KeyBoundEvent
    | ForwardAnsweredEvent
    | DrainRequestedEvent
    | MembershipChangedEvent
    | ConfigurationAppliedEvent
    | FreshnessChangedEvent
    | RequestEndedEvent;

/** A service with its name, as slices read it from the configuration. */
export interface NamedService {
    readonly name: string;
    readonly version: number;
    readonly spec: ServiceSpec;
}
