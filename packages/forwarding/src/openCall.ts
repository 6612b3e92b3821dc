/** A call whose response has not been sent completely. */
import type { MemoryReservation } from "@rhubarbwheel/bytes/createMemoryBudget";
import type { RouteKind } from "@rhubarbwheel/types/fleet";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { CallMetadata } from "./headerCodec.js";

/** Error response of a target, buffered until it is decided whether the call is retried. */
export interface BufferedFailure {
    readonly status: number;
    readonly headers: Record<string, string | readonly string[]>;
    readonly body: Buffer;
}

export interface OpenCall {
    readonly requestId: string;
    readonly metadata: CallMetadata;
    readonly kind: RouteKind;
    readonly removeCredential: boolean;
    readonly incoming: IncomingMessage;
    readonly response: ServerResponse;
    readonly body: Buffer;
    /** Memory of the body; released when the response has been sent. */
    readonly bodyMemory: MemoryReservation;
    /** Id of the event after which another attempt has to resume the stream. */
    lastEventId?: string;
    failure?: BufferedFailure;
}

/** With these statuses a router guarantees that a call has not run. Error responses of a target must not have them. */
const notRunStatuses: readonly number[] = [408, 421, 429, 503];

/** Whether an error response of a target may be relayed with its own status. */
export function mayRelayStatus(status: number): boolean {
    return !notRunStatuses.includes(status);
}
