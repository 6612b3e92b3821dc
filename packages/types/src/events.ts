/** Events of a router. `now` is the monotonic time in milliseconds at which the event is reduced. */
import type { PeerMessage } from "./peer-messages.js";
import type { HostEntry, Resource, ServiceSpec } from "./resources.js";

/** Metadata of a call for the reducer; the HTTP server keeps headers and body. */
export interface RequestSummary {
    readonly id: string;
    readonly workspace: string;
    readonly service: string;
    /** Whether the call may be sent more than once. */
    readonly idempotent: boolean;
    /** Input cost, estimated from the size of the request. */
    readonly inputCost: number;
    /** Upper bound of the output cost given by the caller, for example by `max_tokens`. */
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
    /** Age of the sample when it arrived. */
    readonly ageMs: number;
}

export type AttemptResult = "complete" | "refused" | "broken";

interface TimedEvent {
    readonly now: number;
}

export interface TickEvent extends TimedEvent {
    readonly type: "tick";
}

export interface RequestArrivedEvent extends TimedEvent {
    readonly type: "requestArrived";
    readonly request: RequestSummary;
}

/** The caller disconnected. */
export interface RequestCancelledEvent extends TimedEvent {
    readonly type: "requestCancelled";
    readonly requestId: string;
}

/** The target has started to respond. */
export interface TargetAcceptedEvent extends TimedEvent {
    readonly type: "targetAccepted";
    readonly requestId: string;
    readonly attempt: number;
    readonly target: string;
    readonly startId?: string;
}

/** Cumulative cost of an attempt that is still streaming; at most a few events per second and request. */
export interface TargetProgressEvent extends TimedEvent {
    readonly type: "targetProgress";
    readonly requestId: string;
    readonly attempt: number;
    readonly cost: number;
}

/** An attempt has ended. `refused`: the target did not run the call. `broken`: it may have run it, even partly. */
export interface TargetEndedEvent extends TimedEvent {
    readonly type: "targetEnded";
    readonly requestId: string;
    readonly attempt: number;
    readonly target: string;
    readonly result: AttemptResult;
    /** Whether any byte of the call may have been sent. */
    readonly sent: boolean;
    /** Whether any byte of the response has been sent to the caller. */
    readonly responseStarted: boolean;
    readonly cost: number;
    readonly startId?: string;
    /** Short reason for logs, for example `ECONNREFUSED` or `status 503`. */
    readonly reason?: string;
}

export interface LoadReportedEvent extends TimedEvent {
    readonly type: "loadReported";
    readonly service: string;
    readonly report: LoadReport;
}

export interface LoadUnavailableEvent extends TimedEvent {
    readonly type: "loadUnavailable";
    readonly service: string;
    readonly target: string;
    /** Whether the connection was refused because the target is not running. */
    readonly refused: boolean;
}

export interface PeerMessageEvent extends TimedEvent {
    readonly type: "peerMessage";
    readonly from: string;
    readonly message: PeerMessage;
}

/** A message to the peer could not be delivered. */
export interface PeerUnreachableEvent extends TimedEvent {
    readonly type: "peerUnreachable";
    readonly router: string;
}

/** Result of `readConfiguration`: all resources and tombstones of the store at `revision`. */
export interface ConfigurationReadEvent extends TimedEvent {
    readonly type: "configurationRead";
    readonly revision: number;
    readonly resources: readonly Resource[];
    /** Time at which the request was sent, as of which the response confirms the configuration. */
    readonly requestSentAt: number;
}

/** Result of `watchConfiguration`, possibly without changes. */
export interface ConfigurationChangedEvent extends TimedEvent {
    readonly type: "configurationChanged";
    readonly fromRevision: number;
    readonly revision: number;
    readonly resources: readonly Resource[];
    /** Time as of which the store's response confirms the configuration. */
    readonly requestSentAt: number;
    /** Set for an accepted write of this router, as opposed to a result of `watchConfiguration`. */
    readonly ownWrite?: boolean;
}

export interface PlatformUnavailableEvent extends TimedEvent {
    readonly type: "platformUnavailable";
    readonly operation: "readConfiguration" | "watchConfiguration" | "listHosts" | "acquireLease";
    /** The store has compacted the changes after the requested revision; a full read is needed. */
    readonly revisionGone?: boolean;
}

export interface HostsListedEvent extends TimedEvent {
    readonly type: "hostsListed";
    readonly hosts: readonly HostEntry[];
}

export interface LeaseAnsweredEvent extends TimedEvent {
    readonly type: "leaseAnswered";
    readonly lease: string;
    readonly result: "held" | "taken" | "unavailable";
    /** Monotonic time at which the lease expires, computed from when the request was sent. */
    readonly validUntil: number;
    /** Increases with each change of holder. */
    readonly fencingNumber: number;
}

/** Result of `bindKey`. */
export interface KeyBoundEvent extends TimedEvent {
    readonly type: "keyBound";
    readonly requestId: string;
    /** `bound`: `mintedKey` is bound to the caller's key, now or by an earlier call. `unavailable`: store failure. */
    readonly result: "bound" | "unavailable";
    readonly mintedKey?: string;
}

/** A call with an idempotency key; `requestArrived` is raised once this router may run it. */
export interface KeyedRequestEvent extends TimedEvent {
    readonly type: "keyedRequest";
    readonly request: RequestSummary;
    /** Key sent by the caller, who chose it or had a router mint it. */
    readonly callerKey: string;
    /** SHA-256 of method, path and body; a key reused for another call is refused. */
    readonly fingerprint: string;
    /** Router that forwarded the call, if any; a forwarded call is not forwarded again. */
    readonly forwardedBy?: string;
}

/** The HTTP server has recorded the complete response of a keyed call, or failed to. */
export interface AnswerRecordedEvent extends TimedEvent {
    readonly type: "answerRecorded";
    readonly requestId: string;
    readonly outcome: "complete" | "notRun" | "unknown";
    readonly sizeBytes: number;
}

/** A forwarded call has ended. `unreachable`: no byte reached the peer. */
export interface ForwardAnsweredEvent extends TimedEvent {
    readonly type: "forwardAnswered";
    readonly requestId: string;
    readonly result: "answered" | "broken" | "unreachable";
}

export interface DrainRequestedEvent extends TimedEvent {
    readonly type: "drainRequested";
}

/** Raised by the membership slice. */
export interface MembershipChangedEvent extends TimedEvent {
    readonly type: "membershipChanged";
    readonly router: string;
    readonly state: "alive" | "suspect" | "dead" | "left";
    readonly incarnation: number;
}

/** Raised by the configuration slice after it has applied changes. */
export interface ConfigurationAppliedEvent extends TimedEvent {
    readonly type: "configurationApplied";
    readonly changed: readonly Resource[];
    readonly revision: number;
}

/** Raised by the configuration slice. A router that is not `fresh` starts no new work. */
export interface FreshnessChangedEvent extends TimedEvent {
    readonly type: "freshnessChanged";
    readonly freshness: "empty" | "fresh" | "stale";
}

/** Raised by the entry queue when a request has ended with any outcome; `cost` is the charged cost. */
export interface RequestEndedEvent extends TimedEvent {
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

/** A service of the configuration with its name and version. */
export interface NamedService {
    readonly name: string;
    readonly version: number;
    readonly spec: ServiceSpec;
}
