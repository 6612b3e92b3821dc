/** Events and effects of a router that uses the platform's store and a placement coordinator per pool. */
import type { LogEffect, RaiseEffect, StopEffect } from "./effects.js";
import type { DrainRequestedEvent } from "./events.js";
import type { RouteKind, RouterEntry, ViewKind } from "./fleet.js";
import type {
    PlacedAttemptResult,
    PlacementMessage,
    PromptPart,
    PromptSize,
    ReportedLoad,
    TargetNotice,
} from "./placement.js";
import type { RolloutStatusWrittenEvent, WriteRolloutStatusEffect } from "./rollout.js";
import type {
    ReadRunningCallsEffect,
    ReadServiceVersionsEffect,
    RunningCallsReadEvent,
    ServiceVersionsReadEvent,
    ServiceVersionsWrittenEvent,
    WriteServiceVersionsEffect,
} from "./service-versions.js";
import type {
    ConfigurationConfirmedEvent,
    RelayLostEvent,
    RelayReportedEvent,
    ViewChangedEvent,
    ViewInterruptedEvent,
    ViewListedEvent,
} from "./view-events.js";

/** Metadata of a call for the reducer; the forwarder keeps headers and body. */
export interface RoutedRequest {
    readonly requestId: string;
    /** Id that the caller gave the call, for logs. */
    readonly callerId: string;
    readonly route: string;
    readonly service: string;
    readonly workspace?: string;
    readonly kind: RouteKind;
    readonly resumable: boolean;
    /** Maximum number of attempts per call, not counting those that were unsent or misdirected. */
    readonly maxAttempts: number;
    readonly latencyTargetMs: number;
    /** Time from arrival to the deadline of the complete response: the earlier of the caller's and the route's. */
    readonly timeLimitMs: number;
    readonly regions?: readonly string[];
    readonly prompt?: PromptSize;
    /** Set if the caller resumes a stream of which an earlier call has brought it events. */
    readonly resumption?: StreamResumption;
}

/** What a caller says about the stream that it resumes. */
export interface StreamResumption {
    /** Id of the call that brought the first event; omitted if the caller does not name it. */
    readonly callerId?: string;
}

export interface TimedEvent {
    /** Monotonic time in milliseconds at which the event is reduced. */
    readonly now: number;
}

/** The time returned by `getWakeAt` has been reached. */
export interface WakeEvent extends TimedEvent {
    readonly type: "wake";
}

export interface RequestRoutedEvent extends TimedEvent {
    readonly type: "requestRouted";
    readonly request: RoutedRequest;
}

/** The caller disconnected. */
export interface CallerGoneEvent extends TimedEvent {
    readonly type: "callerGone";
    readonly requestId: string;
}

/** The first part of the response has been sent to the caller: an event of a stream, or the start of a large body. */
export interface AttemptStartedEvent extends TimedEvent {
    readonly type: "attemptStarted";
    readonly requestId: string;
    readonly attempt: number;
    readonly load?: ReportedLoad;
}

/** Events of streams have been sent to callers; dispatched at intervals, for all streams with new ones at once. */
export interface AttemptsProgressedEvent extends TimedEvent {
    readonly type: "attemptsProgressed";
    readonly attempts: readonly AttemptProgress[];
}

export interface AttemptProgress {
    readonly requestId: string;
    readonly attempt: number;
    /** Events of the stream that the attempt has sent to the caller. */
    readonly eventCount: number;
}

/** The last event of each attempt, dispatched exactly once. */
export interface AttemptFinishedEvent extends TimedEvent {
    readonly type: "attemptFinished";
    readonly requestId: string;
    readonly attempt: number;
    /** The response of a `failed` attempt is buffered until the reducer relays or discards it. */
    readonly result: PlacedAttemptResult;
    /** Whether any part of the response has been sent to the caller. */
    readonly responseStarted: boolean;
    /** Events of a stream that the attempt has sent to the caller; omitted for other responses. */
    readonly eventCount?: number;
    readonly load?: ReportedLoad;
    /** Whether the response exceeded a limit of this router, such as its number of pieces, headers or bytes. */
    readonly isCutOff?: boolean;
    /** Short reason for logs. */
    readonly reason?: string;
}

/** A target has said something about itself in its response to an attempt of this router. */
export interface TargetNoticedEvent extends TimedEvent {
    readonly type: "targetNoticed";
    readonly requestId: string;
    readonly target: string;
    /** Start of the target to which the attempt was sent; it may have started again since. */
    readonly targetStartedAtUnixMs?: number;
    readonly notice: TargetNotice;
    /** Time at which the attempt was sent. */
    readonly sentAt: number;
}

export interface RouterMessageEvent extends TimedEvent {
    readonly type: "routerMessage";
    readonly from: string;
    /** `ip:port` to which a reply is sent. */
    readonly address: string;
    readonly message: PlacementMessage;
}

/** Result of `readKeptParts`: the prompt parts in the target's prefix cache. */
export interface KeptPartsReadEvent extends TimedEvent {
    readonly type: "keptPartsRead";
    readonly service: string;
    readonly target: string;
    readonly parts: readonly PromptPart[];
}

/** Result of `readTargetHealth`: how long the target stays cold, 0 if it is not. */
export interface TargetHealthReadEvent extends TimedEvent {
    readonly type: "targetHealthRead";
    readonly service: string;
    readonly target: string;
    readonly coldForMs: number;
}

/** Monotonic and wall clock have diverged: the host was suspended, or the wall clock was set. */
export interface ClockJumpedEvent extends TimedEvent {
    readonly type: "clockJumped";
    readonly byMs: number;
}

export type PlacementEvent =
    | WakeEvent
    | RequestRoutedEvent
    | CallerGoneEvent
    | AttemptStartedEvent
    | AttemptsProgressedEvent
    | AttemptFinishedEvent
    | TargetNoticedEvent
    | RouterMessageEvent
    | ViewListedEvent
    | ViewChangedEvent
    | ViewInterruptedEvent
    | RelayReportedEvent
    | RelayLostEvent
    | ConfigurationConfirmedEvent
    | ClockJumpedEvent
    | KeptPartsReadEvent
    | TargetHealthReadEvent
    | RolloutStatusWrittenEvent
    | ServiceVersionsReadEvent
    | ServiceVersionsWrittenEvent
    | RunningCallsReadEvent
    | DrainRequestedEvent;

export interface StartAttemptEffect {
    readonly type: "startAttempt";
    readonly requestId: string;
    readonly attempt: number;
    readonly target: string;
    /** Start time of the target, if it reports one. */
    readonly targetStartedAtUnixMs?: number;
    readonly address: string;
    /** Address of another target that has parts of the prompt cached. */
    readonly prefixSourceAddress?: string;
    readonly workspace?: string;
    /** Deadline passed to the target, as time remaining. */
    readonly timeLimitMs: number;
    /** Whether a pooled connection may be used, which the target may be closing as the call is sent. */
    readonly mayReuseConnection: boolean;
}

export interface CancelAttemptEffect {
    readonly type: "cancelAttempt";
    readonly requestId: string;
    readonly attempt: number;
}

/** Ends a request with an error of this router. */
export interface FailRequestEffect {
    readonly type: "failRequest";
    readonly requestId: string;
    /** Code from `@rhubarbwheel/error`. */
    readonly code: string;
    readonly retryAfterMs?: number;
}

/** Relays the error response of the last attempt to the caller. */
export interface RelayFailureEffect {
    readonly type: "relayFailure";
    readonly requestId: string;
}

/** Aborts a response that has started by closing the connection, so that it cannot appear complete. */
export interface BreakAnswerEffect {
    readonly type: "breakAnswer";
    readonly requestId: string;
}

/** Requests the list of prompt parts in an engine's prefix cache. */
export interface ReadKeptPartsEffect {
    readonly type: "readKeptParts";
    readonly service: string;
    readonly target: string;
    readonly address: string;
}

/** Requests the health of a target. */
export interface ReadTargetHealthEffect {
    readonly type: "readTargetHealth";
    readonly service: string;
    readonly target: string;
    readonly address: string;
    readonly path: string;
}

/** Registers this router in the store again. */
export interface AnnounceRouterEffect {
    readonly type: "announceRouter";
}

/** Removes a router's entry from the store if its incarnation has not changed. */
export interface RemoveRouterEffect {
    readonly type: "removeRouter";
    readonly router: string;
    readonly incarnation: number;
}

/** Opens connections to the routers that relay the store to this one, and closes those to any others. */
export interface ConnectRelaysEffect {
    readonly type: "connectRelays";
    readonly relays: readonly RouterEntry[];
}

/** Watches only these kinds in the store; for the others this router depends on relays. */
export interface WatchStoreEffect {
    readonly type: "watchStore";
    readonly kinds: readonly ViewKind[];
}

export interface SendToRouterEffect {
    readonly type: "sendToRouter";
    readonly router: string;
    readonly address: string;
    readonly message: PlacementMessage;
}

export type PlacementEffect =
    | StartAttemptEffect
    | CancelAttemptEffect
    | FailRequestEffect
    | RelayFailureEffect
    | BreakAnswerEffect
    | SendToRouterEffect
    | ReadKeptPartsEffect
    | ReadTargetHealthEffect
    | WriteRolloutStatusEffect
    | ReadServiceVersionsEffect
    | WriteServiceVersionsEffect
    | ReadRunningCallsEffect
    | AnnounceRouterEffect
    | RemoveRouterEffect
    | ConnectRelaysEffect
    | WatchStoreEffect
    | LogEffect
    | RaiseEffect<PlacementEvent>
    | StopEffect;

export interface PlacementSlice {
    readonly reduce: (event: PlacementEvent) => readonly PlacementEffect[];
    /** Monotonic time at which the slice needs a `wake` event; Infinity for none. */
    readonly getWakeAt: () => number;
}
