/** Runs one idempotency slice on a script of events and formats its effects as short lines. */
import type { Effect } from "@rhubarbwheel/types/effects";
import type { KeyedRequestEvent, RouterEvent } from "@rhubarbwheel/types/events";
import type { Member } from "@rhubarbwheel/types/slices";
import type { Idempotency } from "../src/createIdempotency.js";
import { createIdempotency } from "../src/createIdempotency.js";

export interface TestSliceOptions {
    readonly router?: string;
    readonly incarnation?: number;
    readonly maxRecords?: number;
    readonly maxBytes?: number;
    readonly getMember?: (router: string) => Member | undefined;
}

export function createTestSlice(opts: TestSliceOptions = {}): Idempotency {
    const { router = "r1", incarnation = 1, maxRecords = 10, maxBytes = 1000 } = opts;
    return createIdempotency({
        identity: { router, incarnation, address: `${router}:1`, failureDomain: "a" },
        membership: { getMember: opts.getMember ?? (() => undefined) },
        generateKeySecret: () => `secret of ${router} ${incarnation}`,
        limits: { maxRecords, maxBytes },
    });
}

export function createMember(router: string, state: Member["state"], incarnation = 1): Member {
    return { router, state, incarnation, address: `${router}:1`, failureDomain: "a" };
}

export type KeyedOptions = Readonly<Partial<Record<"workspace" | "fingerprint" | "forwardedBy", string>>>;

export function createKeyedRequest(id: string, callerKey: string, opts: KeyedOptions = {}): KeyedRequestEvent {
    const { workspace = "oryx", fingerprint = "f", forwardedBy } = opts;
    const request = { id, workspace, service: "desk", idempotent: false, inputCost: 1 };
    const event = { type: "keyedRequest", now: 1, request, callerKey, fingerprint } as const;
    return forwardedBy === undefined ? event : { ...event, forwardedBy };
}

type Outcome = "complete" | "notRun" | "unknown";

export function createAnswerRecorded(requestId: string, outcome: Outcome, sizeBytes = 10): RouterEvent {
    return { type: "answerRecorded", now: 2, requestId, outcome, sizeBytes };
}

export function createRequestCancelled(requestId: string): RouterEvent {
    return { type: "requestCancelled", now: 2, requestId };
}

export function createRequestEnded(requestId: string, outcome: Outcome): RouterEvent {
    return { type: "requestEnded", now: 3, requestId, workspace: "oryx", service: "desk", outcome, cost: 1 };
}

/** Parses one line of a script; `keys` maps the short names of minted keys to their text. */
export function parseEvent(line: string, keys: Readonly<Record<string, string>>): RouterEvent {
    const [command = "", id = "", argument = "", ...rest] = line.trim().split(" ");
    const requestId = { now: 2, requestId: id };
    switch (command) {
        case "call": {
            const opts = Object.fromEntries(rest.map(option => option.split("="))) as KeyedOptions;
            return createKeyedRequest(id, keys[argument] ?? argument, opts);
        }
        case "cancel":
            return createRequestCancelled(id);
        case "ended":
            return createRequestEnded(id, argument as Outcome);
        case "bound":
            return { type: "keyBound", ...requestId, result: "bound", mintedKey: keys[argument] ?? argument };
        case "unbound":
            return { type: "keyBound", ...requestId, result: "unavailable" };
        case "forward":
            return { type: "forwardAnswered", ...requestId, result: argument as "answered" | "broken" | "unreachable" };
        default:
            return createAnswerRecorded(id, command as Outcome, argument === "" ? undefined : Number(argument));
    }
}

export function formatEffect(effect: Effect): string | undefined {
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
