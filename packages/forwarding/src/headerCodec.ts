/** Interface for the HTTP headers of calls and responses. The platform adapter provides the implementation. */
import type { PromptSize, ReportedLoad, TargetNotice } from "@rhubarbwheel/types/placement";
import type { IncomingHttpHeaders } from "node:http";

/** Headers by lower-case name. A repeated header has an array of values. */
export type Headers = Readonly<Record<string, string | readonly string[] | undefined>>;

/** Data from the headers of a call. */
export interface CallMetadata {
    /** Identifies the call at the target and is repeated in the target's response. */
    readonly callerId: string;
    /** Time for which the caller waits after sending the call. */
    readonly deadlineMs?: number;
    readonly credential?: string;
    readonly prompt?: PromptSize;
    /** Id of the last event that the caller has received of a stream that it resumes. */
    readonly lastEventId?: string;
    /** Id of the caller's call that brought the first event of that stream. */
    readonly resumedCallerId?: string;
}

/** Data from the headers of a target's response. */
export interface ResponseMetadata {
    /** Id of the call that the response belongs to. */
    readonly callerId?: string;
    /** Whether the target guarantees that it did not and will not run the call. */
    readonly isRejection: boolean;
    /** Whether the address now belongs to another target. */
    readonly isMisdirected: boolean;
    readonly load?: ReportedLoad;
    readonly notice: TargetNotice;
}

export interface TargetHeaderOptions {
    readonly target: string;
    /** Address of another target that has parts of the prompt cached. */
    readonly prefixSourceAddress?: string;
    readonly workspace?: string;
    readonly timeLimitMs: number;
    /** Id of the event after which to resume a stream. */
    readonly lastEventId?: string;
    /** Whether to remove the credential, because it identifies a workspace to the router only. */
    readonly removeCredential: boolean;
}

export interface HeaderCodec {
    /** Lower-case names of headers that a call may have only once: router and target could use different ones. */
    readonly uniqueHeaders: ReadonlySet<string>;
    /** Returns an error message if a required header is missing or malformed. */
    readonly parseCallHeaders: (headers: IncomingHttpHeaders) => CallMetadata | string;
    /** Returns the headers of an attempt as alternating names and values. `rawHeaders` are those of the call. */
    readonly createTargetHeaders: (rawHeaders: readonly string[], opts: TargetHeaderOptions) => string[];
    readonly parseResponseHeaders: (status: number, headers: Headers) => ResponseMetadata;
    /** Returns the response headers to relay to the caller. */
    readonly filterResponseHeaders: (headers: Headers) => Record<string, string | readonly string[]>;
}
