/**
 * The numbered log events. Numbers are stable: a removed event leaves a gap. `docs/events.md` is made from this file by
 * `npm run generate:docs` in this package.
 */

export type EventLevel = "debug" | "info" | "warn" | "error";

export interface EventKind {
    /** camelCase, unique. */
    readonly name: string;
    readonly level: EventLevel;
    readonly message: string;
    /** Names of the fields that the event may carry. */
    readonly fields: readonly string[];
}

/** First number of each range of 100, with the part of the router that the range belongs to. */
export const eventRanges: Readonly<Record<number, string>> = {
    1000: "Daemon",
    1100: "Routing",
    1200: "Placement",
    1300: "Membership",
    1400: "Configuration",
    1500: "Idempotency",
};

export const eventCatalogue: Readonly<Record<number, EventKind>> = {
    1000: {
        name: "routerStarted",
        level: "info",
        message: "The router has started.",
        fields: ["router", "incarnation", "failureDomain", "address", "peerAddress"],
    },
    1001: {
        name: "drainStarted",
        level: "info",
        message: "The router drains: new calls are refused, requests in progress finish.",
        fields: ["requests"],
    },
    1002: {
        name: "drainFinished",
        level: "info",
        message: "The drain has finished.",
        fields: ["durationMs"],
    },
    1003: {
        name: "drainTimedOut",
        level: "error",
        message: "The drain timeout ended requests in progress.",
        fields: ["requests", "timeoutMs"],
    },
    1004: {
        name: "settingsInvalid",
        level: "error",
        message: "A setting is not valid.",
        fields: ["flag", "variable", "problem", "remedy"],
    },
    1010: {
        name: "peerProblem",
        level: "warn",
        message: "A peer was refused, or a message to or from it was dropped.",
        fields: ["peer", "problem"],
    },
    1011: {
        name: "peerUnreachable",
        level: "warn",
        message: "A message to a peer was or may have been lost.",
        fields: ["peer"],
    },
};
