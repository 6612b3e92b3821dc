/** Helpers that create effects of the idempotency slice, and the numbers of its log events. */
import type { EndRequestEffect, IncompleteOutcome, LogEffect } from "@rhubarbwheel/types/effects";
import type { RequestSummary } from "@rhubarbwheel/types/events";

/** Numbers 1500 to 1599 are reserved for this slice in `docs/events.md`. */
export const idempotencyLogEvents = {
    keyedCallStarted: 1500,
    duplicateWaits: 1501,
    answerReplayed: 1502,
    keyBound: 1503,
    callForwarded: 1504,
    keyedCallEnded: 1505,
    recordEvicted: 1506,
} as const;

export function createLog(
    event: keyof typeof idempotencyLogEvents,
    request: Pick<RequestSummary, "id" | "workspace">,
    fields: LogEffect["fields"],
): LogEffect {
    return {
        type: "log",
        event: idempotencyLogEvents[event],
        fields: { requestId: request.id, workspace: request.workspace, ...fields },
    };
}

// Covers a short outage of the store without delaying a retry for long.
const storeRetryAfterMs = 2000;

export function createEndRequest(
    request: Pick<RequestSummary, "id">,
    outcome: IncompleteOutcome,
    code: string,
): EndRequestEffect {
    const retryAfterMs = code === "KEY_STORE_UNAVAILABLE" ? { retryAfterMs: storeRetryAfterMs } : {};
    return { type: "endRequest", requestId: request.id, outcome, code, ...retryAfterMs };
}
