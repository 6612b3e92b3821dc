/** Decides from status and headers whether the response of a target is accepted. */
import type { Call } from "@rhubarbwheel/types/ports";
import type { ResponseHeaders } from "./targetHeaders.js";
import { readHeader } from "./targetHeaders.js";

export type ResponseForm = "events" | "json" | "body";

export type ResponseCheck =
    | { readonly type: "accepted"; readonly form: ResponseForm; }
    /** The target states that it did not run the call. */
    | { readonly type: "notRun"; readonly reason: string; }
    | { readonly type: "invalid"; readonly reason: string; };

interface ReceivedResponse {
    readonly requestId: string;
    readonly status: number;
    readonly headers: ResponseHeaders;
    readonly resuming: boolean;
}

/** Without a length or chunked encoding, a complete body cannot be distinguished from a truncated one. */
function hasKnownLength(call: Call, response: ReceivedResponse): boolean {
    const isBodiless = call.method === "HEAD" || response.status === 204 || response.status === 304;
    const isFramed = response.headers["content-length"] !== undefined
        || response.headers["transfer-encoding"] !== undefined;
    return isBodiless || isFramed;
}

function checkModelResponse(call: Call, response: ReceivedResponse): ResponseCheck {
    const { status, headers } = response;
    if (status === 429) return { type: "invalid", reason: "status 429" };
    if (response.resuming && status !== 200) return { type: "invalid", reason: `resume refused with status ${status}` };
    if (status !== 200) {
        if (!hasKnownLength(call, response)) return { type: "invalid", reason: "response of unknown length" };
        return { type: "accepted", form: "body" };
    }
    const encoding = readHeader(headers, "content-encoding") ?? "identity";
    if (encoding !== "identity") return { type: "invalid", reason: `content encoding ${encoding}` };
    const contentType = (readHeader(headers, "content-type") ?? "").split(";")[0]?.trim().toLowerCase();
    if (contentType === "text/event-stream" && call.streaming) return { type: "accepted", form: "events" };
    if (contentType === "application/json" && !response.resuming) return { type: "accepted", form: "json" };
    return { type: "invalid", reason: `content type ${contentType === "" ? "missing" : contentType}` };
}

export function checkResponse(call: Call, response: ReceivedResponse): ResponseCheck {
    const { status, headers } = response;
    const responseRequestId = readHeader(headers, "x-request-id");
    if (responseRequestId !== undefined && responseRequestId !== "" && responseRequestId !== response.requestId)
        return { type: "invalid", reason: "response to another request" };
    const isModel = call.serviceKind === "model";
    // Only model engines are trusted here: a plain service may send this by mistake, and a second run could do harm.
    if (isModel && status === 503 && readHeader(headers, "x-not-run") === "true")
        return { type: "notRun", reason: "status 503, not run" };
    if (status >= 500) return { type: "invalid", reason: `status ${status}` };
    if (isModel) return checkModelResponse(call, response);
    if (!hasKnownLength(call, response)) return { type: "invalid", reason: "response of unknown length" };
    return { type: "accepted", form: "body" };
}
