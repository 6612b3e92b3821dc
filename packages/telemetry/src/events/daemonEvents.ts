/** Log events of the router process. */
import type { EventKind } from "../eventKind.js";

export const daemonEvents: Readonly<Record<number, EventKind>> = {
    1000: {
        name: "routerStarted",
        level: "info",
        message: "The router has started.",
        fields: ["router", "incarnation", "failureDomain", "port", "peerPort"],
    },
    1001: {
        name: "drainStarted",
        level: "info",
        message: "The router is draining: new calls are refused, requests in progress are completed.",
        fields: ["router", "requests"],
    },
    1002: {
        name: "drainFinished",
        level: "info",
        message: "The drain has finished without aborting a request.",
        fields: ["router", "durationMs"],
    },
    1003: {
        name: "internalError",
        level: "error",
        message: "An unexpected error occurred; the event, effect or call that caused it was abandoned.",
        fields: ["source", "requestId", "reason"],
    },
    1004: {
        name: "drainTimedOut",
        level: "error",
        message: "The drain timeout expired before all requests had ended.",
        fields: ["router", "requests", "timeoutMs"],
    },
    1005: {
        name: "drainRepeated",
        level: "info",
        message: "The router was asked again to stop; the drain goes on.",
        fields: ["router"],
    },
    1010: {
        name: "peerProblem",
        level: "warn",
        message: "A peer was refused, or a message to or from it was dropped.",
        fields: ["router", "reason", "omitted"],
    },
    1011: {
        name: "settingsReloaded",
        level: "info",
        message: "The settings file was reloaded.",
        fields: ["router", "changed", "needRestart", "problem"],
    },
    1012: {
        name: "logLinesOmitted",
        level: "warn",
        message: "Log lines were omitted to limit the log volume.",
        fields: ["omitted"],
    },
    1013: {
        name: "connectionRefused",
        level: "info",
        message: "A caller connection was closed because it sent an invalid request.",
        fields: ["reason"],
    },
};
