/** Decides from its status and headers what the response to an attempt is. */
import type { ResponseMetadata } from "./headerCodec.js";
import type { OpenCall } from "./openCall.js";

export type ResponseCheck =
    /** The target guarantees that it did not and will not run the call. */
    | { readonly type: "rejected" | "misdirected"; readonly reason: string; }
    /** A response of the target to this call. */
    | { readonly type: "accepted"; }
    /** No response to this call, so that it is unknown whether the target ran it. */
    | { readonly type: "invalid"; readonly reason: string; };

export type ValidCheck = Exclude<ResponseCheck, { readonly type: "invalid"; }>;

/**
 * A rejection must have the id of the call like any other response: a faulty target may send an earlier one again on a
 * connection that is in use for another call.
 */
export function checkResponse(call: OpenCall, status: number, metadata: ResponseMetadata): ResponseCheck {
    if (metadata.callerId === undefined) return { type: "invalid", reason: `status ${status} without an id` };
    if (metadata.callerId !== call.metadata.callerId)
        return { type: "invalid", reason: `status ${status} with the id of another call` };
    if (metadata.isMisdirected) return { type: "misdirected", reason: `status ${status}` };
    if (metadata.isRejection) return { type: "rejected", reason: `status ${status}` };
    return { type: "accepted" };
}
