/** Events and effects of a router that places requests through the platform's store and a coordinator for each pool. */
import type { LogEffect, RaiseEffect, StopEffect } from "./effects.js";
import type { DrainRequestedEvent } from "./events.js";
import type { RouteKind, ViewEntries, ViewKind } from "./fleet.js";
import type { AttemptResult, PlacementMessage, PromptPart, PromptSize, ReportedLoad } from "./placement.js";

/** What the reducer knows about a call; its bytes stay with the forwarder. */
export interface RoutedRequest {
    readonly requestId: string;
    /** The caller's own id of the call, for logs. */
    readonly callerId: string;
    readonly route: string;
    readonly service: string;
    readonly workspace?: string;
    readonly kind: RouteKind;
    readonly resumable: boolean;
    readonly maxTargets: number;
    readonly latencyTargetMs: number;
    /** Time from arrival until the answer must be complete: the caller's deadline or the route's, whichever is sooner. */
    readonly timeLimitMs: number;
    readonly regions?: readonly string[];
    readonly prompt?: PromptSize;
}

interface At {
    /** Monotonic time in milliseconds at which the event is reduced. */
    readonly now: number;
}

export interface WakeEvent extends At {
    readonly type: "wake";
}

export interface RequestRoutedEvent extends At {
    readonly type: "requestRouted";
    readonly request: RoutedRequest;
}

export interface CallerGoneEvent extends At {
    readonly type: "callerGone";
    readonly requestId: string;
}

/** The target has begun to answer with success, or a stream has brought its first event. */
export interface AttemptStartedEvent extends At {
    readonly type: "attemptStarted";
    readonly requestId: string;
    readonly attempt: number;
    readonly load?: ReportedLoad;
}

/** Comes exactly once for each attempt and last. */
export interface AttemptFinishedEvent extends At {
    readonly type: "attemptFinished";
    readonly requestId: string;
    readonly attempt: number;
    /** The answer of a `failed` attempt is kept until the reducer decides. */
    readonly result: AttemptResult;
    /** Whether the caller has received a part of the answer. */
    readonly answered: boolean;
    readonly load?: ReportedLoad;
    /** Short reason for logs. */
    readonly reason?: string;
}

export interface RouterMessageEvent extends At {
    readonly type: "routerMessage";
    readonly from: string;
    /** `ip:port` to which an answer goes. */
    readonly address: string;
    readonly message: PlacementMessage;
}

/** Everything of one kind that the store holds. */
export interface ViewListedEvent<K extends ViewKind = ViewKind> extends At {
    readonly type: "viewListed";
    readonly kind: K;
    readonly entries: readonly ViewEntries[K][];
    readonly revision: number;
    /** Time as of which the list is known to be complete. */
    readonly confirmedAt: number;
}

export interface ViewChange<K extends ViewKind = ViewKind> {
    readonly name: string;
    /** Missing if the entry was removed or cannot be read. */
    readonly entry?: ViewEntries[K];
}

/** Changes since the last list or change of the same kind, possibly none. */
export interface ViewChangedEvent<K extends ViewKind = ViewKind> extends At {
    readonly type: "viewChanged";
    readonly kind: K;
    readonly changes: readonly ViewChange<K>[];
    readonly revision: number;
    readonly confirmedAt: number;
}

/** Another router holds the same version of the configuration, and the store confirmed it at this time at the earliest. */
export interface ConfigurationConfirmedEvent extends At {
    readonly type: "configurationConfirmed";
    readonly version: number;
    readonly confirmedAt: number;
}

/** A call to the store failed. */
export interface ViewInterruptedEvent extends At {
    readonly type: "viewInterrupted";
    readonly kind: ViewKind;
    readonly reason: string;
}

/** Answer to `readKeptParts`. */
export interface KeptPartsReadEvent extends At {
    readonly type: "keptPartsRead";
    readonly service: string;
    readonly target: string;
    readonly parts: readonly PromptPart[];
}

/** The monotonic clock and the time of day no longer agree: the process was suspended, or the time of day was set. */
export interface ClockJumpedEvent extends At {
    readonly type: "clockJumped";
    readonly byMs: number;
}

export type PlacementEvent =
    | WakeEvent
    | RequestRoutedEvent
    | CallerGoneEvent
    | AttemptStartedEvent
    | AttemptFinishedEvent
    | RouterMessageEvent
    | ViewListedEvent
    | ViewChangedEvent
    | ViewInterruptedEvent
    | ConfigurationConfirmedEvent
    | ClockJumpedEvent
    | KeptPartsReadEvent
    | DrainRequestedEvent;

export interface StartAttemptEffect {
    readonly type: "startAttempt";
    readonly requestId: string;
    readonly attempt: number;
    readonly target: string;
    readonly address: string;
    /** Address of another target that keeps parts of the prompt. */
    readonly prefixSourceAddress?: string;
    readonly workspace?: string;
    /** Time that the target is given. */
    readonly timeLimitMs: number;
    /** Whether the call may be sent on a connection that was used before, which may turn out to be closed. */
    readonly mayReuseConnection: boolean;
}

export interface CancelAttemptEffect {
    readonly type: "cancelAttempt";
    readonly requestId: string;
    readonly attempt: number;
}

/** Ends a request without an answer of a target. */
export interface FailRequestEffect {
    readonly type: "failRequest";
    readonly requestId: string;
    /** Code from `@rhubarbwheel/error`. */
    readonly code: string;
    readonly retryAfterMs?: number;
}

/** Passes on the error that the target of the last attempt answered with. */
export interface RelayFailureEffect {
    readonly type: "relayFailure";
    readonly requestId: string;
}

/** Breaks the answer off, so that it cannot look complete. */
export interface BreakAnswerEffect {
    readonly type: "breakAnswer";
    readonly requestId: string;
}

/** Asks an engine which prompt parts it keeps. */
export interface ReadKeptPartsEffect {
    readonly type: "readKeptParts";
    readonly service: string;
    readonly target: string;
    readonly address: string;
}

/** Lists this router in the store again. */
export interface AnnounceRouterEffect {
    readonly type: "announceRouter";
}

/** Removes a router from the store if it is still the same start of it. */
export interface RemoveRouterEffect {
    readonly type: "removeRouter";
    readonly router: string;
    readonly incarnation: number;
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
    | AnnounceRouterEffect
    | RemoveRouterEffect
    | LogEffect
    | RaiseEffect<PlacementEvent>
    | StopEffect;

export interface PlacementSlice {
    readonly reduce: (event: PlacementEvent) => readonly PlacementEffect[];
    /** Monotonic time at which the slice needs a `wake` event; Infinity for none. */
    readonly getWakeAt: () => number;
}
