/** Messages and shapes by which routers place requests on targets. Durations are in ms. */
import type { ConfirmationAskMessage, ConfirmationReplyMessage } from "./confirmation.js";

/** One part of a prompt; a target that keeps it and all parts before it need not read it again. */
export interface PromptPart {
    readonly id: string;
    readonly tokens: number;
}

/** Size of a model request; plain calls have none. */
export interface PromptSize {
    readonly promptTokens: number;
    /** Most tokens that may be generated. */
    readonly outputTokens: number;
    /** Parts of the prompt in order. */
    readonly parts: readonly PromptPart[];
}

/** What a coordinator needs to know to place a request. */
export interface PlacementRequest {
    readonly requestId: string;
    readonly service: string;
    readonly workspace?: string;
    readonly prompt?: PromptSize;
    readonly latencyTargetMs: number;
    /** Time that the request has spent at its entry router. */
    readonly waitedMs: number;
    /** Time until its answer must be complete. */
    readonly timeLeftMs: number;
    /** Regions whose targets may run it; all if missing. */
    readonly regions?: readonly string[];
    /** Failure domain of the entry router; targets there are preferred if all else is equal. */
    readonly failureDomain: string;
    /** Targets that have failed this request. */
    readonly excluded: readonly string[];
}

/** Entry router to coordinator: asks for a target. */
export interface PlacementAskMessage {
    readonly type: "placementAsk";
    readonly request: PlacementRequest;
}

export type RefusalReason = "overloaded" | "shareUsed" | "noTarget";

/** Coordinator to entry router. */
export interface PlacementReplyMessage {
    readonly type: "placementReply";
    readonly requestId: string;
    readonly service: string;
    /** Missing if the request is refused. */
    readonly target?: string;
    /** Prompt tokens that the target is expected to read for this request. */
    readonly newTokens?: number;
    /** Another target from which the first one copies the parts of the prompt that it does not keep. */
    readonly prefixSource?: string;
    /** Time that the request is expected to wait at the target; the shortest wait at any target if it is refused. */
    readonly waitMs?: number;
    /** Longest wait up to which the request would have been placed; only if it is refused. */
    readonly maxWaitMs?: number;
    /** Part of its share that the workspace had used; only if it is refused. */
    readonly usedRatio?: number;
    readonly refusal?: RefusalReason;
    /** When a refused caller should come back. */
    readonly retryAfterMs?: number;
}

/**
 * `rejected`: the target says that it did not run the call. `misdirected`: the address belongs to another target now, which
 * did not run it. `failed`: the target answered with an error. `broken`: it may have run the call. `unsent`: no byte of the
 * call has left.
 */
export type AttemptResult = "complete" | "rejected" | "misdirected" | "failed" | "broken" | "unsent" | "cancelled";

/** Load that a target reported on an answer. */
export interface ReportedLoad {
    readonly running: number;
    readonly waiting: number;
}

/** Entry router to coordinator: an attempt has got its first event, or has ended. Repeats do no harm. */
export interface AttemptNoticeMessage {
    readonly type: "attemptNotice";
    readonly requestId: string;
    readonly service: string;
    readonly target: string;
    /** Missing while the attempt goes on. */
    readonly result?: AttemptResult;
    /** Time from the send to the first byte of the answer, or to the end if there was none. */
    readonly latencyMs: number;
    readonly load?: ReportedLoad;
}

/** An attempt that goes on. */
export interface Holding {
    readonly requestId: string;
    readonly target: string;
    readonly workspace?: string;
    readonly promptTokens: number;
    readonly outputTokens: number;
    readonly newTokens: number;
    /** Time since the attempt was sent. */
    readonly ageMs: number;
    readonly started: boolean;
}

/** Entry router to coordinator: attempts that go on. A holding that is repeated no more has ended. */
export interface HoldingsMessage {
    readonly type: "holdings";
    readonly service: string;
    readonly holdings: readonly Holding[];
}

export type PlacementMessage =
    | PlacementAskMessage
    | PlacementReplyMessage
    | AttemptNoticeMessage
    | HoldingsMessage
    | ConfirmationAskMessage
    | ConfirmationReplyMessage;
