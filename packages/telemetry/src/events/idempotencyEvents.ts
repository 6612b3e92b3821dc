/** Log events of calls with idempotency keys. */
import type { EventKind } from "../eventKind.js";

export const idempotencyEvents: Readonly<Record<number, EventKind>> = {
    1500: {
        name: "keyedCallStarted",
        level: "info",
        message: "The first call with a key runs.",
        fields: ["requestId", "workspace"],
    },
    1501: {
        name: "duplicateWaits",
        level: "info",
        message: "A call waits for the answer to an earlier call with the same key.",
        fields: ["requestId", "workspace", "sourceRequestId"],
    },
    1502: {
        name: "answerReplayed",
        level: "info",
        message: "A call got the recorded answer to an earlier call with the same key.",
        fields: ["requestId", "workspace", "sourceRequestId"],
    },
    1503: {
        name: "keyBound",
        level: "debug",
        message: "A key chosen by a caller is bound to a minted key.",
        fields: ["requestId", "workspace"],
    },
    1504: {
        name: "callForwarded",
        level: "info",
        message: "A call goes to the router that minted its key.",
        fields: ["requestId", "workspace", "router"],
    },
    1505: {
        name: "keyedCallEnded",
        level: "info",
        message: "A call with a key was ended without running.",
        fields: ["requestId", "workspace", "outcome", "code", "router"],
    },
    1506: {
        name: "recordEvicted",
        level: "debug",
        message: "A recorded answer was dropped to make room; retries get unknown.",
        fields: ["requestId", "workspace"],
    },
};
