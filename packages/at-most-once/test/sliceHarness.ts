/** Drives one idempotency slice and shows its effects as short lines. */
import type { Effect } from "@rhubarbwheel/types/effects";
import type { KeyedRequestEvent, RouterEvent } from "@rhubarbwheel/types/events";
import type { Member } from "@rhubarbwheel/types/slices";
import type { Idempotency } from "../src/createIdempotency.js";
import { createIdempotency } from "../src/createIdempotency.js";

export function createTestSlice(
    opts: {
        readonly router?: string;
        readonly incarnation?: number;
        readonly maxRecords?: number;
        readonly maxBytes?: number;
        readonly getMember?: (router: string) => Member | undefined;
    } = {},
): Idempotency {
    const { router = "r1", incarnation = 1, maxRecords = 10, maxBytes = 1000 } = opts;
    return createIdempotency({
        identity: { router, incarnation, address: `${router}:1`, failureDomain: "a" },
        membership: { getMember: opts.getMember ?? (() => undefined) },
        mintRandom: () => `secret of ${router} ${incarnation}`,
        limits: { maxRecords, maxBytes },
    });
}

export function createMember(router: string, state: Member["state"], incarnation = 1): Member {
    return { router, state, incarnation, address: `${router}:1`, failureDomain: "a" };
}

export function keyed(
    id: string,
    callerKey: string,
    opts: { readonly workspace?: string; readonly fingerprint?: string; readonly forwardedBy?: string; } = {},
): KeyedRequestEvent {
    const { workspace = "oryx", fingerprint = "f", forwardedBy } = opts;
    const request = { id, workspace, service: "desk", idempotent: false, inputCost: 1 };
    const event = { type: "keyedRequest", now: 1, request, callerKey, fingerprint } as const;
    return forwardedBy === undefined ? event : { ...event, forwardedBy };
}

export function recorded(
    requestId: string,
    outcome: "complete" | "notRun" | "unknown" = "complete",
    sizeBytes = 10,
): RouterEvent {
    return { type: "answerRecorded", now: 2, requestId, outcome, sizeBytes };
}

export function cancelled(requestId: string): RouterEvent {
    return { type: "requestCancelled", now: 2, requestId };
}

export function ended(requestId: string, outcome: "complete" | "notRun" | "unknown"): RouterEvent {
    return { type: "requestEnded", now: 3, requestId, workspace: "oryx", service: "desk", outcome, cost: 1 };
}

export function showEffect(effect: Effect): string | undefined {
    switch (effect.type) {
        case "raise":
            return effect.event.type === "requestArrived" ? `run ${effect.event.request.id}` : effect.event.type;
        case "endRequest":
            return `end ${effect.requestId} ${effect.outcome} ${effect.code}`;
        case "replayAnswer":
            return `replay ${effect.sourceRequestId} to ${effect.requestId}`;
        case "dropAnswer":
            return `drop ${effect.requestId}`;
        case "forwardCall":
            return `forward ${effect.requestId} to ${effect.router}`;
        case "bindKey":
            return `bind ${effect.requestId} ${effect.callerKey}`;
        default:
            return undefined;
    }
}

/** Reduces the events and lists what the slice decided, without log lines. */
export function reduceAll(slice: Idempotency, events: readonly RouterEvent[]): string[] {
    return events.flatMap(event => slice.reduce(event)).map(showEffect).filter(line => line !== undefined);
}
