/** Messages and data types for placing requests on targets. Durations are in ms. */
import type { ConfirmationReplyMessage, ConfirmationRequestMessage } from "./confirmation.js";
import type { StorePosition } from "./storePosition.js";

/** A segment of a prompt. A target that has it and all preceding parts cached skips their prefill. */
export interface PromptPart {
    readonly id: string;
    readonly tokens: number;
}

/** Size of a model request; plain calls have none. */
export interface PromptSize {
    readonly promptTokens: number;
    /** Maximum number of generated tokens. */
    readonly outputTokens: number;
    /** Number of generated tokens that the caller expects; omitted if it names none. */
    readonly expectedOutputTokens?: number;
    /** Parts of the prompt in order. */
    readonly parts: readonly PromptPart[];
}

/** State of a prompt part that crashes engines. */
export interface QuarantinedPart {
    readonly id: string;
    /** Increases with each quarantine and each probe, so that routers can tell which of two states is newer. */
    readonly generation: number;
    /** Whether a response to a request with the part has completed since. */
    readonly isReleased: boolean;
    /** Time until one request with all parts of the group may run, to find out whether they still crash engines. */
    readonly probeInMs: number;
    /** Time between that probe and the next one. */
    readonly probeIntervalMs: number;
    /** Name of the parts that explain the same crashes; omitted for a part that alone explains them. */
    readonly group?: string;
}

/** Input of a coordinator's placement decision. */
export interface PlacementRequest {
    readonly requestId: string;
    readonly service: string;
    readonly workspace?: string;
    readonly prompt?: PromptSize;
    readonly latencyTargetMs: number;
    /** Time since the request arrived at its entry router. */
    readonly waitedMs: number;
    /** Time until the deadline for the complete response. */
    readonly timeLeftMs: number;
    /** Regions whose targets may run it; all if omitted. */
    readonly regions?: readonly string[];
    /** Failure domain of the entry router; its targets are preferred if all else is equal. */
    readonly failureDomain: string;
    /** Targets at which this request has failed. */
    readonly excluded: readonly string[];
    /** Parts of the prompt that are or were quarantined, as known to the entry router. */
    readonly quarantinedParts?: readonly QuarantinedPart[];
    /** Version of the service that has begun the stream, which may go on only there; any if omitted. */
    readonly version?: string;
    /** Name of the route; only while an order to roll out a version of the service is running. */
    readonly route?: string;
}

/** Entry router to coordinator: requests a target. */
export interface PlacementRequestMessage {
    readonly type: "placementAsk";
    readonly request: PlacementRequest;
}

/** `versionGone`: no target of the version that has begun the stream is left. `limited`: all targets leave, want no requests for some time, or have taken as many as they accept. */
export type RefusalReason = "overloaded" | "shareUsed" | "noTarget" | "partQuarantined" | "limited" | "versionGone";

/** Coordinator to entry router: the chosen target, or a refusal. */
export interface PlacementReplyMessage {
    readonly type: "placementReply";
    readonly requestId: string;
    readonly service: string;
    /** Omitted if the request is refused. */
    readonly target?: string;
    /** Prompt tokens that are not in the target's prefix cache and need prefill. */
    readonly newTokens?: number;
    /** Target from which the chosen one copies the prompt parts that it does not have cached. */
    readonly prefixSource?: string;
    /** Expected queueing time at the target; if refused, the shortest at any target. */
    readonly waitMs?: number;
    /** Queueing time up to which the request would have been admitted; only in refusals. */
    readonly maxWaitMs?: number;
    /** Fraction of its share that the workspace had used. */
    readonly usedRatio?: number;
    /** Requests in progress at the chosen target, without this one. */
    readonly runningRequests?: number;
    readonly refusal?: RefusalReason;
    /** Time after which a refused caller should retry. */
    readonly retryAfterMs?: number;
    /** Parts of the prompt that are or were quarantined, as known to the coordinator. */
    readonly quarantinedParts?: readonly QuarantinedPart[];
}

/**
 * `rejected`: the target reports that it did not run the call. `misdirected`: the address now belongs to another
 * target, which did not run it. `failed`: the target responded with an error. `broken`: it may have run the call.
 * `unsent`: no byte of the call was sent.
 */
export type PlacedAttemptResult =
    | "complete"
    | "rejected"
    | "misdirected"
    | "failed"
    | "broken"
    | "unsent"
    | "cancelled";

/** What a target says about itself in a response. */
export interface TargetNotice {
    /** It leaves, and wants no new requests from any router. */
    readonly isLeaving: boolean;
    /** Time for which it wants no requests from the router that it responded to. */
    readonly pauseMs?: number;
    /** Requests per second that it takes from all routers together. An unreadable one changes nothing. */
    readonly rateLimit: number | "none" | "unreadable";
}

/** What a target has said to all routers: from a router to the coordinator, and from there to the other routers. */
export interface TargetNoticeMessage {
    readonly type: "targetNotice";
    readonly target: string;
    /** Start time of the target, if it reports one. */
    readonly startedAtUnixMs?: number;
    readonly isLeaving: boolean;
    /** Omitted if it takes as many requests as it can run. */
    readonly rateLimit?: number;
    /** Time since the call was sent to which the target responded so. */
    readonly ageMs: number;
    /** Whether the coordinator sent it; only the first router to know tells the coordinator. */
    readonly isAnnounced: boolean;
}

/** Coordinator to all routers: a target has said in a health response that it is cold. */
export interface ColdNoticeMessage {
    readonly type: "coldNotice";
    readonly target: string;
    /** Start time of the target, if it reports one. */
    readonly startedAtUnixMs?: number;
    readonly coldForMs: number;
}

/** Load that a target reported in a response. */
export interface ReportedLoad {
    readonly running: number;
    readonly waiting: number;
    /** Maximum number of concurrent requests; omitted if not reported. */
    readonly slots?: number;
    /** Time that work takes on the target's host now; 1 is the usual time. Omitted if not reported. */
    readonly paceRatio?: number;
    /** Time since the response that reported it arrived; 0 if omitted. */
    readonly ageMs?: number;
}

/** Entry router to coordinator: an attempt received its first event or ended. Duplicates are harmless. */
export interface AttemptNoticeMessage {
    readonly type: "attemptNotice";
    readonly requestId: string;
    readonly service: string;
    readonly target: string;
    /** Omitted while the attempt is in flight. */
    readonly result?: PlacedAttemptResult;
    /** Time from the send of the attempt to the event that the notice reports; 0 for an unused placement. */
    readonly latencyMs: number;
    readonly load?: ReportedLoad;
    /** Ids of the prompt parts that other requests may share, if the attempt has ended but was not cancelled. */
    readonly partIds?: readonly string[];
}

/** Coordinator to all routers: prompt parts whose state has changed. */
export interface QuarantineNoticeMessage {
    readonly type: "quarantineNotice";
    readonly parts: readonly QuarantinedPart[];
}

/**
 * From a router that has become the coordinator of a pool to all others, with the position of the list of routers by which
 * it is. Those that the store turns away do not have it in their list.
 */
export interface CoordinatorNoticeMessage extends StorePosition {
    readonly type: "coordinatorNotice";
    readonly service: string;
    /** Incarnation of the sender. */
    readonly incarnation: number;
}

/** An attempt that has not ended; `Holding` on the wire. */
export interface InFlightAttempt {
    readonly requestId: string;
    readonly target: string;
    readonly workspace?: string;
    readonly promptTokens: number;
    readonly outputTokens: number;
    readonly expectedOutputTokens?: number;
    readonly newTokens: number;
    /** Time since the attempt was sent. */
    readonly ageMs: number;
    /** Time until the deadline of the complete response; omitted by older routers. */
    readonly timeLeftMs?: number;
    readonly started: boolean;
    /** Events of a stream that the caller has received. */
    readonly eventCount: number;
}

/** Entry router to coordinator: its in-flight attempts. An attempt that later reports omit has ended. */
export interface InFlightAttemptsMessage {
    readonly type: "holdings";
    readonly service: string;
    readonly holdings: readonly InFlightAttempt[];
}

/** Entry router to the routers that remember the stream: the version that has begun it. */
export interface StreamNoticeMessage {
    readonly type: "streamNotice";
    readonly service: string;
    /** Id of the call that brought the first event. */
    readonly callerId: string;
    /** Omitted if it is not certain. */
    readonly version?: string;
    /** Time for which callers may resume the stream. */
    readonly timeLeftMs: number;
}

/** Entry router to the routers that may remember a stream that a caller resumes. */
export interface StreamQueryMessage {
    readonly type: "streamQuery";
    readonly requestId: string;
    readonly service: string;
    readonly callerId: string;
}

export interface StreamReplyMessage {
    readonly type: "streamReply";
    readonly requestId: string;
    /** Whether the router remembers the stream. */
    readonly isKnown: boolean;
    /** Version that has begun the stream; omitted if it is not certain. */
    readonly version?: string;
    /** Versions that may have begun any stream of the service which is resumed now, as far as the router has seen them. */
    readonly seenVersions: readonly string[];
    /** Whether these are all. */
    readonly isComplete: boolean;
}

export type PlacementMessage =
    | StreamNoticeMessage
    | StreamQueryMessage
    | StreamReplyMessage
    | PlacementRequestMessage
    | PlacementReplyMessage
    | AttemptNoticeMessage
    | InFlightAttemptsMessage
    | QuarantineNoticeMessage
    | TargetNoticeMessage
    | ColdNoticeMessage
    | CoordinatorNoticeMessage
    | ConfirmationRequestMessage
    | ConfirmationReplyMessage;
