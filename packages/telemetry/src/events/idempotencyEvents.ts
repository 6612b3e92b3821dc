/** Log events of calls with idempotency keys. */
import type { EventKind } from "../eventKind.js";

export const idempotencyEvents: Readonly<Record<number, EventKind>> = {
    1500: {
        name: "keyedCallStarted",
        level: "info",
        message: "The first call with an idempotency key was started.",
        fields: ["requestId", "workspace"],
    },
    1501: {
        name: "duplicateWaits",
        level: "info",
        message: "A call waits for the response to an earlier call with the same idempotency key.",
        fields: ["requestId", "workspace", "sourceRequestId"],
    },
    1502: {
        name: "answerReplayed",
        level: "info",
        message: "A call got the recorded response to an earlier call with the same idempotency key.",
        fields: ["requestId", "workspace", "sourceRequestId"],
    },
    1503: {
        name: "keyBound",
        level: "debug",
        message: "An idempotency key chosen by a caller was bound to a minted key.",
        fields: ["requestId", "workspace"],
    },
    1504: {
        name: "callForwarded",
        level: "info",
        message: "A call was forwarded to the router that minted its idempotency key.",
        fields: ["requestId", "workspace", "router"],
    },
    1505: {
        name: "keyedCallEnded",
        level: "info",
        message: "A call with an idempotency key was ended without running at this router.",
        fields: ["requestId", "workspace", "outcome", "code", "router"],
    },
    1506: {
        name: "recordEvicted",
        level: "debug",
        message: "A recorded response was evicted; retries of its call get the outcome unknown.",
        fields: ["requestId", "workspace"],
    },
};
