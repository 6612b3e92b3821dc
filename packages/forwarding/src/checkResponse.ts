/** Decides from its status and headers what the response to an attempt is. */
import type { ResponseMetadata } from "./headerCodec.js";
import { mayRelayStatus, type OpenCall } from "./openCall.js";

export type ResponseCheck =
    /** The target guarantees that it did not and will not run the call. */
    | { readonly type: "rejected" | "misdirected"; readonly reason: string; }
    /** `events`: a stream, relayed event by event; `error`: held back, because the call may be retried. */
    | { readonly type: "accepted"; readonly form: "events" | "body" | "error"; }
    /** A response to this call that the caller cannot get, because another response has begun. */
    | { readonly type: "failed"; readonly reason: string; }
    /** No response to this call, so that it is unknown whether the target ran it. */
    | { readonly type: "invalid"; readonly reason: string; };

/** Check of a response that is read to its end. */
export type ReadableCheck = Exclude<ResponseCheck, { readonly type: "invalid" | "failed"; }>;

const maxStatus = 599;

function getForm(call: OpenCall, status: number): "events" | "body" | "error" {
    // Without the target's word that the call has not run, a status that promises it is only a failure.
    if (status >= 500 || !mayRelayStatus(status)) return "error";
    return call.kind === "stream" && status >= 200 && status < 300 ? "events" : "body";
}

/**
 * A rejection must have the id of the call like any other response: a faulty target may send an earlier one again on a
 * connection that is in use for another call.
 */
export function checkResponse(call: OpenCall, status: number, metadata: ResponseMetadata): ResponseCheck {
    if (status > maxStatus) return { type: "invalid", reason: `${status} is not a status` };
    if (metadata.callerId === undefined) return { type: "invalid", reason: `status ${status} without an id` };
    if (metadata.callerId !== call.metadata.callerId)
        return { type: "invalid", reason: `status ${status} with the id of another call` };
    if (metadata.isMisdirected) return { type: "misdirected", reason: `status ${status}` };
    if (metadata.isRejection) return { type: "rejected", reason: `status ${status}` };
    const form = getForm(call, status);
    // Only the events of a resumed stream may follow what has been sent.
    if (call.response.headersSent && form !== "events")
        return { type: "failed", reason: `status ${status} after the response has begun` };
    return { type: "accepted", form };
}
