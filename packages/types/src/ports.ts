/** Interfaces between the daemon and the packages that do I/O. The daemon connects them to the reducer. */
import type { AttemptResult, LoadReport } from "./events.js";
import type { PeerMessage } from "./peer-messages.js";
import type { HostEntry, Resource, ResourceKind, ResourceOf, ResourceSpecs } from "./resources.js";

/** A call received by the HTTP server, authenticated and validated. */
export interface Call {
    readonly id: string;
    readonly workspace: string;
    readonly service: string;
    readonly serviceKind: "model" | "plain";
    readonly idempotent: boolean;
    readonly method: string;
    /** Path and query to request at the target, starting with `/`. */
    readonly path: string;
    /** End-to-end headers to forward, with lower-case names. Hop-by-hop headers and credentials are removed. */
    readonly headers: Readonly<Record<string, string>>;
    readonly body: Buffer;
    /** Whether the caller asked for a stream of server-sent events. */
    readonly streaming: boolean;
    /** Idempotency key sent by the caller. */
    readonly callerKey?: string;
    /** Router that forwarded this call, if any. */
    readonly forwardedBy?: string;
    readonly inputCost: number;
    readonly outputCostHint?: number;
    readonly prefixHash?: number;
    readonly responder: CallResponder;
}

/** Writes the response to a call. Exactly one of `finish` and `fail` ends it. */
export interface CallResponder {
    /** Sends status and headers. Called once, by the first attempt that responds. */
    readonly start: (status: number, headers: Readonly<Record<string, string>>) => void;
    /** Writes a chunk of the body; false signals backpressure: await `waitForDrain`. */
    readonly write: (chunk: Uint8Array) => boolean;
    /** Resolves when more may be written; rejects if the caller disconnects or does not read within the timeout. */
    readonly waitForDrain: () => Promise<void>;
    /** Ends a complete response. */
    readonly finish: () => void;
    /** Ends the call without a complete response. After `start`, aborts it so that it cannot appear complete. */
    readonly fail: (failure: CallFailure) => void;
}

export interface CallFailure {
    /** Code from `@rhubarbwheel/error`. */
    readonly code: string;
    readonly outcome: "notRun" | "unknown";
    readonly retryAfterMs?: number;
    readonly detail?: string;
}

/** Callbacks of an attempt. `onEnded` is called exactly once, last. */
export interface AttemptObserver {
    readonly onAccepted: (startId: string | undefined) => void;
    /** Cumulative cost so far, at most every 100 ms. */
    readonly onProgress: (cost: number) => void;
    readonly onEnded: (end: AttemptEnd) => void;
}

export interface AttemptEnd {
    readonly result: AttemptResult;
    readonly sent: boolean;
    readonly responseStarted: boolean;
    readonly cost: number;
    readonly startId?: string;
    readonly reason?: string;
}

export interface AttemptOptions {
    readonly attempt: number;
    readonly address: string;
    readonly answerTimeoutMs: number;
    readonly costPerCall: number;
    /** Whether to resume an interrupted stream after the output that the caller has received. */
    readonly resume: boolean;
    readonly observer: AttemptObserver;
}

export interface TargetClient {
    /** Sends the call and writes the response to `call.responder`; the daemon calls `finish` or `fail`. */
    readonly startAttempt: (call: Call, opts: AttemptOptions) => { readonly cancel: () => void; };
    readonly pollLoad: (target: string, address: string) => Promise<PollResult>;
    readonly close: () => Promise<void>;
}

export type PollResult =
    | { readonly type: "reported"; readonly report: LoadReport; }
    | { readonly type: "unavailable"; readonly refused: boolean; };

/** A conditional write of one resource. */
export interface ResourceWrite<K extends ResourceKind = ResourceKind> {
    readonly kind: K;
    readonly name: string;
    /** 0 to create; otherwise the required current version. */
    readonly expectedVersion: number;
    /** Omitted to delete. */
    readonly spec?: ResourceSpecs[K];
    /** Identifies this write, so that its result can be looked up if the response is lost. */
    readonly writeId: string;
}

export type WriteResult =
    | { readonly type: "accepted"; readonly resource: Resource; }
    | { readonly type: "conflict"; readonly currentVersion: number | undefined; }
    /** Known not to have been applied. */
    | { readonly type: "unavailable"; }
    /** May or may not have been applied. */
    | { readonly type: "unknown"; };

export type ReadResult<T> =
    | { readonly type: "read"; readonly value: T; }
    | { readonly type: "unavailable"; };

export interface ResourceList {
    readonly revision: number;
    /** Includes tombstones. */
    readonly resources: readonly Resource[];
}

export interface LeaseResult {
    readonly result: "held" | "taken" | "unavailable";
    /** Remaining duration, from when the request was sent. */
    readonly validForMs: number;
    readonly fencingNumber: number;
}

export interface PlatformClient {
    readonly readConfiguration: () => Promise<ReadResult<ResourceList>>;
    readonly readResource: <K extends ResourceKind>(
        kind: K,
        name: string,
    ) => Promise<ReadResult<ResourceOf<K> | undefined>>;
    readonly watchConfiguration: (
        afterRevision: number,
        timeoutMs: number,
    ) => Promise<
        { readonly type: "changed"; readonly list: ResourceList; } | { readonly type: "unavailable"; } | {
            readonly type: "revisionGone";
        }
    >;
    readonly writeResource: (write: ResourceWrite) => Promise<WriteResult>;
    readonly listHosts: () => Promise<ReadResult<readonly HostEntry[]>>;
    readonly acquireLease: (lease: string, holder: string, durationMs: number) => Promise<LeaseResult>;
    readonly releaseLease: (lease: string, holder: string) => Promise<void>;
    /** Binds a caller's key to `mintedKey` by a conditional create, or returns the key it is bound to. */
    readonly bindKey: (
        workspace: string,
        callerKey: string,
        mintedKey: string,
    ) => Promise<{ readonly type: "bound"; readonly mintedKey: string; } | { readonly type: "unavailable"; }>;
    /** Number of requests to the platform so far, for metrics and capacity planning. */
    readonly countRequests: () => number;
    readonly close: () => Promise<void>;
}

/** A keyed call that is forwarded to the router that minted the key. */
export interface ForwardedCall {
    readonly requestId: string;
    readonly forwardedBy: string;
    readonly mintedKey: string;
    readonly workspace: string;
    readonly service: string;
    readonly method: string;
    readonly path: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: Uint8Array;
}

export interface ForwardedResponse {
    readonly outcome: "complete" | "notRun" | "unknown";
    readonly status: number;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: Uint8Array;
    /** Set when the outcome is not `complete`. */
    readonly code?: string;
    readonly retryAfterMs?: number;
}

export type ForwardResult =
    | { readonly type: "answered"; readonly response: ForwardedResponse; }
    /** The call may have reached the peer. */
    | { readonly type: "broken"; }
    /** No byte of the call reached the peer. */
    | { readonly type: "unreachable"; };

export interface PeerTransport {
    /** Queues a message; messages to a peer that are queued in the same event loop turn are sent as one batch. */
    readonly send: (router: string, address: string, message: PeerMessage) => void;
    readonly forwardCall: (router: string, address: string, call: ForwardedCall) => Promise<ForwardResult>;
    /** Control traffic so far, in both directions. */
    readonly countTraffic: () => { readonly messages: number; readonly bytes: number; };
    readonly close: () => Promise<void>;
}
