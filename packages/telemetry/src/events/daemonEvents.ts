/** Log events of the process of a router. */
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
        message: "The router drains: new calls are refused, requests in progress finish.",
        fields: ["router", "requests"],
    },
    1002: {
        name: "drainFinished",
        level: "info",
        message: "The drain has finished, and nothing was cut off.",
        fields: ["router", "durationMs"],
    },
    1003: {
        name: "internalError",
        level: "error",
        message: "A step of the router failed; what caused it, an event, an effect or a call, is lost.",
        fields: ["source", "requestId", "reason"],
    },
    1004: {
        name: "drainTimedOut",
        level: "error",
        message: "The drain timeout ended requests in progress.",
        fields: ["router", "requests", "timeoutMs"],
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
        message: "The settings file was read again.",
        fields: ["router", "changed", "needRestart", "problem"],
    },
    1012: {
        name: "logLinesOmitted",
        level: "warn",
        message: "Log lines were left out to bound the volume of the log.",
        fields: ["omitted"],
    },
    1013: {
        name: "connectionRefused",
        level: "info",
        message: "A connection of a caller was closed, because what it sent is not a valid request.",
        fields: ["reason"],
    },
};
