/** Log events of the membership protocol between routers. */
import type { EventKind } from "../eventKind.js";

export const membershipEvents: Readonly<Record<number, EventKind>> = {
    1300: {
        name: "memberAlive",
        level: "info",
        message: "A router is alive.",
        fields: ["router", "incarnation", "failureDomain"],
    },
    1301: {
        name: "memberSuspect",
        level: "warn",
        message: "A router did not reply to probes.",
        fields: ["router", "incarnation", "failureDomain"],
    },
    1302: {
        name: "memberDead",
        level: "warn",
        message: "A suspected router did not refute the suspicion in time.",
        fields: ["router", "incarnation", "failureDomain"],
    },
    1303: {
        name: "memberLeft",
        level: "info",
        message: "A router has left the fleet.",
        fields: ["router", "incarnation", "failureDomain"],
    },
    1304: {
        name: "suspicionRefuted",
        level: "info",
        message: "Another router considered this one suspect or gone; this router announces a new incarnation.",
        fields: ["router", "incarnation", "claimed"],
    },
    1305: {
        name: "memberForgotten",
        level: "debug",
        message: "A router that has been gone for a long time was removed from the member list.",
        fields: ["router"],
    },
    1306: {
        name: "pauseDetected",
        level: "warn",
        message: "This router was paused; it restarts probing and suspicion timeouts.",
        fields: ["gapMs"],
    },
};
