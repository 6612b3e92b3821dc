/** Log events of the coordinator of a pool: slots, targets and takeovers. */
import type { EventKind } from "../eventKind.js";

export const placementEvents: Readonly<Record<number, EventKind>> = {
    1200: {
        name: "slotsGranted",
        level: "info",
        message: "The coordinator granted slots to workspaces and as a reserve.",
        fields: ["service", "slots", "workspaces", "reserve"],
    },
    1201: {
        name: "targetChanged",
        level: "info",
        message: "The condition, generation or limit of a target changed.",
        fields: ["service", "target", "condition", "generation", "limit", "reason"],
    },
    1202: {
        name: "takeoverStarted",
        level: "info",
        message: "This router became the coordinator of a pool and collects reports before it grants slots.",
        fields: ["service", "reason"],
    },
    1203: {
        name: "takeoverEnded",
        level: "info",
        message: "The coordinator has received the reports for its takeover, or stopped waiting for them.",
        fields: ["service", "complete", "routers"],
    },
    1204: {
        name: "coordinationStopped",
        level: "info",
        message: "This router is no longer the coordinator of a pool.",
        fields: ["service"],
    },
    1205: {
        name: "leaseAnswered",
        level: "debug",
        message: "The platform's store replied to a request for the lease of a cold target.",
        fields: ["service", "target", "result"],
    },
    1206: {
        name: "routerLost",
        level: "warn",
        message: "A router was lost; its slots stay in use until load reports show that the targets are less loaded.",
        fields: ["service", "router"],
    },
    1207: {
        name: "contentionChanged",
        level: "debug",
        message: "Requests started or stopped waiting for slots of a pool.",
        fields: ["service", "contended"],
    },
};
