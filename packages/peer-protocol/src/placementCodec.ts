/** Converts between placement messages and datagrams. */
import { rhubarbwheel } from "#generated/peer";
import type { ConfirmationReplyMessage, ConfirmationRequestMessage } from "@rhubarbwheel/types/confirmation";
import type {
    AttemptNoticeMessage,
    InFlightAttempt,
    InFlightAttemptsMessage,
    PlacementMessage,
    PlacementReplyMessage,
    PlacementRequest,
    PlacementRequestMessage,
    PromptPart,
    PromptSize,
    ReportedLoad,
} from "@rhubarbwheel/types/placement";
import { decodeWith, describeError, encodeWith } from "./peerCodec.js";
import {
    choice,
    double,
    flag,
    integer,
    list,
    optional,
    shape,
    text,
    type WireField,
    wrappedList,
} from "./wireFields.js";

type Untyped<T> = Omit<T, "type">;

const promptSize = shape<PromptSize>({
    promptTokens: integer,
    outputTokens: integer,
    parts: list(shape<PromptPart>({ id: text, tokens: integer })),
});

const placementRequest = shape<PlacementRequest>({
    requestId: text,
    service: text,
    workspace: optional(text),
    prompt: optional(promptSize),
    latencyTargetMs: double,
    waitedMs: double,
    timeLeftMs: double,
    regions: optional(wrappedList(text)),
    failureDomain: text,
    excluded: list(text),
});

const attemptResult = choice(["complete", "rejected", "failed", "broken", "unsent", "cancelled", "misdirected"]);

/** Fields of each kind of message; the key is the name of the kind in the `oneof` of the batch. */
const messageFields: {
    readonly [K in PlacementMessage["type"]]: WireField<Untyped<Extract<PlacementMessage, { readonly type: K; }>>>;
} = {
    placementAsk: shape<Untyped<PlacementRequestMessage>>({ request: placementRequest }),
    placementReply: shape<Untyped<PlacementReplyMessage>>({
        requestId: text,
        service: text,
        target: optional(text),
        newTokens: optional(double),
        prefixSource: optional(text),
        waitMs: optional(double),
        maxWaitMs: optional(double),
        usedRatio: optional(double),
        refusal: optional(choice(["overloaded", "shareUsed", "noTarget"])),
        retryAfterMs: optional(double),
    }),
    attemptNotice: shape<Untyped<AttemptNoticeMessage>>({
        requestId: text,
        service: text,
        target: text,
        result: optional(attemptResult),
        latencyMs: double,
        load: optional(shape<ReportedLoad>({ running: integer, waiting: integer })),
    }),
    confirmationAsk: shape<Untyped<ConfirmationRequestMessage>>({ sequence: integer }),
    confirmationReply: shape<Untyped<ConfirmationReplyMessage>>({
        sequence: integer,
        configurationVersion: integer,
        ageMs: double,
    }),
    holdings: shape<Untyped<InFlightAttemptsMessage>>({
        service: text,
        holdings: list(shape<InFlightAttempt>({
            requestId: text,
            target: text,
            workspace: optional(text),
            promptTokens: integer,
            outputTokens: integer,
            newTokens: integer,
            ageMs: double,
            started: flag,
        })),
    }),
};

export interface PlacementBatch {
    readonly from: string;
    readonly messages: readonly PlacementMessage[];
}

export interface DecodedPlacementBatch extends PlacementBatch {
    /** One entry for each message that was dropped, or a single one when the datagram could not be read at all. */
    readonly problems: readonly string[];
}

/** Throws `WireError` for a message that can't be represented, for example with a fractional count. */
export function encodePlacementBatch(batch: PlacementBatch): Buffer {
    return encodeWith(rhubarbwheel.peer.PlacementBatch, {
        from: batch.from,
        messages: batch.messages.map(message => ({
            [message.type]: (messageFields[message.type] as WireField<unknown>).toWire(message),
        })),
    });
}

function readEnvelope(envelope: object): PlacementMessage {
    const kind = (envelope as { kind?: string; }).kind;
    if (kind === undefined || !Object.hasOwn(messageFields, kind)) throw new Error("A message is of an unknown kind.");
    const type = kind as PlacementMessage["type"];
    const fields = messageFields[type].fromWire((envelope as Record<string, unknown>)[type]);
    return { type, ...fields } as PlacementMessage;
}

/** Never throws: unknown and malformed messages are dropped and listed in `problems`. */
export function decodePlacementBatch(encoded: Uint8Array): DecodedPlacementBatch {
    const messages: PlacementMessage[] = [];
    const problems: string[] = [];
    let from = "";
    try {
        const batch = decodeWith(rhubarbwheel.peer.PlacementBatch, encoded) as rhubarbwheel.peer.PlacementBatch;
        from = batch.from;
        for (const envelope of batch.messages) {
            try {
                messages.push(readEnvelope(envelope));
            }
            catch (error) {
                problems.push(describeError(error));
            }
        }
    }
    catch (error) {
        problems.push(`The datagram is malformed: ${describeError(error)}`);
    }
    return { from, messages, problems };
}
