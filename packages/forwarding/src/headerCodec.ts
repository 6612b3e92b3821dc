/** How calls, answers and their headers are spelled. The forwarder is given these functions by its adapter. */
import type { PromptSize, ReportedLoad } from "@rhubarbwheel/types/placement";
import type { IncomingHttpHeaders } from "node:http";

/** Headers by name in lower case; a name that occurs several times has a list of values. */
export type Headers = Readonly<Record<string, string | readonly string[] | undefined>>;

/** What the headers of a call say. */
export interface CallMetadata {
    /** Identifies the call to the target, and the target's answer to it. */
    readonly callerId: string;
    /** Time that the caller waits, from the sending of the call. */
    readonly deadlineMs?: number;
    readonly credential?: string;
    readonly prompt?: PromptSize;
    /** Last event that the caller has of a stream that it resumes. */
    readonly lastEventId?: string;
}

/** What the headers of a target's answer say. */
export interface ResponseMetadata {
    /** Id of the call that the answer belongs to. */
    readonly callerId?: string;
    /** The target says that it did not run the call, and never will. */
    readonly isRejection: boolean;
    /** The address belongs to another target now. */
    readonly isMisdirected: boolean;
    readonly load?: ReportedLoad;
}

export interface TargetHeaderOptions {
    readonly target: string;
    /** Address of another target that keeps parts of the prompt. */
    readonly prefixSourceAddress?: string;
    readonly workspace?: string;
    readonly timeLimitMs: number;
    /** Event after which a stream is to go on. */
    readonly lastEventId?: string;
    /** Whether credentials identify workspaces here, so that they must not reach the target. */
    readonly removeCredential: boolean;
}

export interface HeaderCodec {
    /** Headers in lower case that a call may bear only once, because routers and targets could read different ones. */
    readonly uniqueHeaders: ReadonlySet<string>;
    /** Returns the problem as a text if a header that is needed is missing or malformed. */
    readonly parseCallHeaders: (headers: IncomingHttpHeaders) => CallMetadata | string;
    /** Headers of an attempt, alternating names and values. `rawHeaders` are those of the call in the same form. */
    readonly buildTargetHeaders: (rawHeaders: readonly string[], opts: TargetHeaderOptions) => string[];
    readonly parseResponseHeaders: (status: number, headers: Headers) => ResponseMetadata;
    /** Headers with which an answer is passed on. */
    readonly filterResponseHeaders: (headers: Headers) => Record<string, string | readonly string[]>;
}
