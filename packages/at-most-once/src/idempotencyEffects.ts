/** Effects of the idempotency slice that several of its decisions share, with the numbers of its log events. */
import type { EndRequestEffect, IncompleteOutcome, LogEffect } from "@rhubarbwheel/types/effects";
import type { RequestSummary } from "@rhubarbwheel/types/events";

/** Numbers 1500 to 1599 of `docs/events.md`. */
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

// Long enough for a short outage of the store to pass, short enough that an order is not held up for long.
const storeRetryAfterMs = 2000;

export function createEndRequest(
    request: Pick<RequestSummary, "id">,
    outcome: IncompleteOutcome,
    code: string,
): EndRequestEffect {
    const retryAfterMs = code === "KEY_STORE_UNAVAILABLE" ? { retryAfterMs: storeRetryAfterMs } : {};
    return { type: "endRequest", requestId: request.id, outcome, code, ...retryAfterMs };
}
