/** A call whose caller has not got its whole answer yet. */
import type { RouteKind } from "@rhubarbwheel/types/fleet";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { CallMetadata } from "./headerCodec.js";

/** An error of a target that is kept until it is known whether the call is sent again. */
export interface KeptFailure {
    readonly status: number;
    readonly headers: Record<string, string | readonly string[]>;
    readonly body: Buffer;
}

export interface OpenCall {
    readonly requestId: string;
    readonly head: CallMetadata;
    readonly kind: RouteKind;
    readonly removeCredential: boolean;
    readonly incoming: IncomingMessage;
    readonly response: ServerResponse;
    readonly body: Buffer;
    /** Event after which another attempt has to go on. */
    lastEventId?: string;
    failure?: KeptFailure;
}

/** Statuses by which a router promises that a call has not run; an answer of a target that has run it must not bear them. */
const promisingStatuses: readonly number[] = [408, 421, 429, 503];

/** Whether a target's error may be passed on with its own status. */
export function mayRelayStatus(status: number): boolean {
    return !promisingStatuses.includes(status);
}
