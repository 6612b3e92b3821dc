/** Encodes and decodes placement messages; one batch is one datagram. */
import { rhubarbwheel } from "#generated/peer";
import type { ConfirmationReplyMessage, ConfirmationRequestMessage } from "@rhubarbwheel/types/confirmation";
import type {
    AttemptNoticeMessage,
    ColdNoticeMessage,
    CoordinatorNoticeMessage,
    InFlightAttempt,
    InFlightAttemptsMessage,
    PlacementMessage,
    PlacementReplyMessage,
    PlacementRequest,
    PlacementRequestMessage,
    PromptPart,
    PromptSize,
    QuarantinedPart,
    QuarantineNoticeMessage,
    ReportedLoad,
    StreamNoticeMessage,
    StreamQueryMessage,
    StreamReplyMessage,
    TargetNoticeMessage,
} from "@rhubarbwheel/types/placement";
import { decodeWith, encodeWith, formatError } from "./peerCodec.js";
import {
    boolean,
    double,
    integer,
    list,
    optional,
    string,
    stringEnum,
    struct,
    type WireField,
    wrappedList,
} from "./wireFields.js";

type WithoutType<T> = Omit<T, "type">;

const quarantinedPart = struct<QuarantinedPart>({
    id: string,
    generation: integer,
    isReleased: boolean,
    probeInMs: double,
    probeIntervalMs: double,
    group: optional(string),
});

const promptSize = struct<PromptSize>({
    promptTokens: integer,
    outputTokens: integer,
    expectedOutputTokens: optional(integer),
    parts: list(struct<PromptPart>({ id: string, tokens: integer })),
});

const placementRequest = struct<PlacementRequest>({
    requestId: string,
    service: string,
    workspace: optional(string),
    prompt: optional(promptSize),
    latencyTargetMs: double,
    waitedMs: double,
    timeLeftMs: double,
    regions: optional(wrappedList(string)),
    failureDomain: string,
    excluded: list(string),
    quarantinedParts: optional(wrappedList(quarantinedPart)),
    route: optional(string),
    version: optional(string),
});

const reportedLoad = struct<ReportedLoad>({
    running: integer,
    waiting: integer,
    slots: optional(integer),
    paceRatio: optional(double),
    ageMs: optional(double),
});

const attemptResult = stringEnum(["complete", "rejected", "failed", "broken", "unsent", "cancelled", "misdirected"]);

/** Wire fields of each kind of message; the keys are the names in the `oneof` of `PlacementEnvelope`. */
const placementMessageFields: {
    readonly [K in PlacementMessage["type"]]: WireField<WithoutType<Extract<PlacementMessage, { readonly type: K; }>>>;
} = {
    placementAsk: struct<WithoutType<PlacementRequestMessage>>({ request: placementRequest }),
    placementReply: struct<WithoutType<PlacementReplyMessage>>({
        requestId: string,
        service: string,
        target: optional(string),
        newTokens: optional(double),
        prefixSource: optional(string),
        waitMs: optional(double),
        maxWaitMs: optional(double),
        usedRatio: optional(double),
        runningRequests: optional(integer),
        refusal: optional(
            stringEnum(["overloaded", "shareUsed", "noTarget", "partQuarantined", "limited", "versionGone"]),
        ),
        retryAfterMs: optional(double),
        quarantinedParts: optional(wrappedList(quarantinedPart)),
    }),
    attemptNotice: struct<WithoutType<AttemptNoticeMessage>>({
        requestId: string,
        service: string,
        target: string,
        result: optional(attemptResult),
        latencyMs: double,
        load: optional(reportedLoad),
        partIds: optional(wrappedList(string)),
    }),
    quarantineNotice: struct<WithoutType<QuarantineNoticeMessage>>({ parts: list(quarantinedPart) }),
    targetNotice: struct<WithoutType<TargetNoticeMessage>>({
        target: string,
        startedAtUnixMs: optional(integer),
        isLeaving: boolean,
        rateLimit: optional(double),
        ageMs: double,
        isAnnounced: boolean,
    }),
    coldNotice: struct<WithoutType<ColdNoticeMessage>>({
        target: string,
        startedAtUnixMs: optional(integer),
        coldForMs: double,
    }),
    coordinatorNotice: struct<WithoutType<CoordinatorNoticeMessage>>({
        service: string,
        incarnation: integer,
        revision: integer,
        era: integer,
    }),
    streamNotice: struct<WithoutType<StreamNoticeMessage>>({
        service: string,
        callerId: string,
        version: optional(string),
        timeLeftMs: double,
    }),
    streamQuery: struct<WithoutType<StreamQueryMessage>>({ requestId: string, service: string, callerId: string }),
    streamReply: struct<WithoutType<StreamReplyMessage>>({
        requestId: string,
        isKnown: boolean,
        version: optional(string),
        seenVersions: list(string),
        isComplete: boolean,
    }),
    confirmationAsk: struct<WithoutType<ConfirmationRequestMessage>>({ sequence: integer }),
    confirmationReply: struct<WithoutType<ConfirmationReplyMessage>>({
        sequence: integer,
        configurationVersion: integer,
        ageMs: double,
    }),
    holdings: struct<WithoutType<InFlightAttemptsMessage>>({
        service: string,
        holdings: list(struct<InFlightAttempt>({
            requestId: string,
            target: string,
            workspace: optional(string),
            promptTokens: integer,
            outputTokens: integer,
            expectedOutputTokens: optional(integer),
            newTokens: integer,
            ageMs: double,
            timeLeftMs: optional(double),
            started: boolean,
            eventCount: integer,
        })),
    }),
};

export interface PlacementBatch {
    readonly from: string;
    readonly messages: readonly PlacementMessage[];
}

export interface DecodedPlacementBatch extends PlacementBatch {
    /** One entry for each message that was dropped, or a single one if the datagram is malformed. */
    readonly problems: readonly string[];
}

/** Throws `WireError` if a message cannot be represented, for example because of a fractional count. */
export function encodePlacementBatch(batch: PlacementBatch): Buffer {
    return encodeWith(rhubarbwheel.peer.PlacementBatch, {
        from: batch.from,
        messages: batch.messages.map(message => ({
            [message.type]: (placementMessageFields[message.type] as WireField<unknown>).toWire(message),
        })),
    });
}

function decodeEnvelope(envelope: object): PlacementMessage {
    const kind = (envelope as { kind?: string; }).kind;
    if (kind === undefined || !Object.hasOwn(placementMessageFields, kind))
        throw new Error("A message has an unknown kind.");
    const type = kind as PlacementMessage["type"];
    const fields = placementMessageFields[type].fromWire((envelope as Record<string, unknown>)[type]);
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
                messages.push(decodeEnvelope(envelope));
            }
            catch (error) {
                problems.push(formatError(error));
            }
        }
    }
    catch (error) {
        problems.push(`The datagram is malformed: ${formatError(error)}`);
    }
    return { from, messages, problems };
}
