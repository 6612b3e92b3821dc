/** Effects that the reducer returns to the effect runner. Effects are plain data; results are dispatched as events. */
import type { RouterEvent } from "./events.js";
import type { PeerMessage } from "./peer-messages.js";

export interface SendToTargetEffect {
    readonly type: "sendToTarget";
    readonly requestId: string;
    /** Attempt number within the request, from 1; events of other attempts are ignored. */
    readonly attempt: number;
    readonly service: string;
    readonly target: string;
    readonly address: string;
    readonly answerTimeoutMs: number;
    /** Set to resume an interrupted stream after the output that the caller has received. */
    readonly resume?: boolean;
}

export interface CancelAtTargetEffect {
    readonly type: "cancelAtTarget";
    readonly requestId: string;
    readonly attempt: number;
}

export type IncompleteOutcome = "notRun" | "unknown";

/** Ends a request without a complete response. */
export interface EndRequestEffect {
    readonly type: "endRequest";
    readonly requestId: string;
    readonly outcome: IncompleteOutcome;
    /** Code from `@rhubarbwheel/error`, for example `QUEUE_TIMEOUT`. */
    readonly code: string;
    readonly retryAfterMs?: number;
}

export interface PollLoadEffect {
    readonly type: "pollLoad";
    readonly service: string;
    readonly target: string;
    readonly address: string;
}

export interface SendToPeerEffect {
    readonly type: "sendToPeer";
    readonly router: string;
    /** `host:port` of the peer interface. */
    readonly address: string;
    readonly message: PeerMessage;
}

export interface ReadConfigurationEffect {
    readonly type: "readConfiguration";
}

export interface WatchConfigurationEffect {
    readonly type: "watchConfiguration";
    readonly afterRevision: number;
    readonly timeoutMs: number;
}

export interface ListHostsEffect {
    readonly type: "listHosts";
}

/** Acquires or renews a lease by a conditional write. */
export interface AcquireLeaseEffect {
    readonly type: "acquireLease";
    readonly lease: string;
    readonly durationMs: number;
}

export interface ReleaseLeaseEffect {
    readonly type: "releaseLease";
    readonly lease: string;
}

/** Binds a key chosen by the caller to a minted key by a conditional create, or reads the existing binding. */
export interface BindKeyEffect {
    readonly type: "bindKey";
    readonly requestId: string;
    readonly workspace: string;
    readonly callerKey: string;
    readonly mintedKey: string;
}

/** Forwards a keyed call to the router that minted its key. */
export interface ForwardCallEffect {
    readonly type: "forwardCall";
    readonly requestId: string;
    readonly router: string;
    readonly address: string;
    readonly mintedKey: string;
}

/** Responds to a keyed call with the recorded response of `sourceRequestId`. */
export interface ReplayAnswerEffect {
    readonly type: "replayAnswer";
    readonly requestId: string;
    readonly sourceRequestId: string;
}

/** Evicts the recorded response of a request. */
export interface DropAnswerEffect {
    readonly type: "dropAnswer";
    readonly requestId: string;
}

export interface LogEffect {
    readonly type: "log";
    /** Number from the catalogue in `docs/events.md`. */
    readonly event: number;
    readonly fields: Readonly<Record<string, string | number | boolean | undefined>>;
}

/** Dispatches an event to all slices within the same reducer step. */
export interface RaiseEffect<E = RouterEvent> {
    readonly type: "raise";
    readonly event: E;
}

/** The drain is complete and the process may exit. */
export interface StopEffect {
    readonly type: "stop";
}

export type Effect =
    | SendToTargetEffect
    | CancelAtTargetEffect
    | EndRequestEffect
    | PollLoadEffect
    | SendToPeerEffect
    | ReadConfigurationEffect
    | WatchConfigurationEffect
    | ListHostsEffect
    | AcquireLeaseEffect
    | ReleaseLeaseEffect
    | BindKeyEffect
    | ForwardCallEffect
    | ReplayAnswerEffect
    | DropAnswerEffect
    | LogEffect
    | RaiseEffect
    | StopEffect;
