/** Encodes and decodes the messages between routers. */
import { rhubarbwheel } from "#generated/peer";
import type { PeerMessage } from "@rhubarbwheel/types/peer-messages";
import type { ForwardedCall, ForwardedResponse } from "@rhubarbwheel/types/ports";
import protobuf from "protobufjs/minimal.js";
import { forwardedCallField, forwardedResponseField, messageFields } from "./messageFields.js";
import type { WireField } from "./wireFields.js";

const wire = rhubarbwheel.peer;

export interface PeerBatch {
    readonly from: string;
    readonly incarnation: number;
    readonly messages: readonly PeerMessage[];
}

export interface DecodedPeerBatch extends PeerBatch {
    /** One entry for each message that was dropped, or a single one if the batch is malformed. */
    readonly problems: readonly string[];
}

export type Decoded<T> =
    | { readonly type: "decoded"; readonly value: T; }
    | { readonly type: "malformed"; readonly problem: string; };

export interface GeneratedType {
    readonly encode: (message: never) => protobuf.Writer;
    readonly decode: (reader: protobuf.Reader) => object;
}

/** Encodes `message`, whose fields must match the generated `type`. */
export function encodeWith(type: GeneratedType, message: unknown): Buffer {
    const encoded = type.encode(message as never).finish();
    return Buffer.from(encoded.buffer, encoded.byteOffset, encoded.byteLength);
}

/** Decodes a message of the generated `type`; throws if the bytes are malformed. */
export function decodeWith(type: GeneratedType, encoded: Uint8Array): object {
    const reader = protobuf.Reader.create(encoded);
    reader.discardUnknown = true;
    return type.decode(reader);
}

/** Throws `WireError` if a message cannot be represented, for example because of a fractional count. */
export function encodePeerBatch(batch: PeerBatch): Buffer {
    return encodeWith(wire.PeerBatch, {
        from: batch.from,
        incarnation: batch.incarnation,
        messages: batch.messages.map(createEnvelope),
    });
}

function createEnvelope(message: PeerMessage): object {
    return { [message.type]: (messageFields[message.type] as WireField<unknown>).toWire(message) };
}

/** Never throws: unknown and malformed messages are dropped and listed in `problems`. */
export function decodePeerBatch(encoded: Uint8Array): DecodedPeerBatch {
    const messages: PeerMessage[] = [];
    const problems: string[] = [];
    try {
        const batch = decodeWith(wire.PeerBatch, encoded) as rhubarbwheel.peer.PeerBatch;
        for (const envelope of batch.messages) decodeEnvelope(envelope, messages, problems);
        return { from: batch.from, incarnation: Number(batch.incarnation), messages, problems };
    }
    catch (error) {
        return {
            from: "",
            incarnation: 0,
            messages: [],
            problems: [`The batch is malformed: ${formatError(error)}`],
        };
    }
}

function decodeEnvelope(envelope: object, messages: PeerMessage[], problems: string[]): void {
    const kind = (envelope as { kind?: string; }).kind;
    if (kind === undefined || !Object.hasOwn(messageFields, kind)) {
        problems.push("A message has an unknown kind.");
        return;
    }
    try {
        const type = kind as PeerMessage["type"];
        const fields = messageFields[type].fromWire((envelope as Record<string, unknown>)[type]);
        messages.push({ type, ...fields } as PeerMessage);
    }
    catch (error) {
        problems.push(`A message of kind ${kind} is malformed: ${formatError(error)}`);
    }
}

export function encodeForwardedCall(call: ForwardedCall): Buffer {
    return encodeWith(wire.ForwardedCall, forwardedCallField.toWire(call));
}

export function decodeForwardedCall(encoded: Uint8Array): Decoded<ForwardedCall> {
    return decodeField(wire.ForwardedCall, forwardedCallField, encoded);
}

export function encodeForwardedResponse(response: ForwardedResponse): Buffer {
    return encodeWith(wire.ForwardedAnswer, forwardedResponseField.toWire(response));
}

export function decodeForwardedResponse(encoded: Uint8Array): Decoded<ForwardedResponse> {
    return decodeField(wire.ForwardedAnswer, forwardedResponseField, encoded);
}

function decodeField<T>(type: GeneratedType, field: WireField<T>, encoded: Uint8Array): Decoded<T> {
    try {
        return { type: "decoded", value: field.fromWire(decodeWith(type, encoded)) };
    }
    catch (error) {
        return { type: "malformed", problem: formatError(error) };
    }
}

export function formatError(error: unknown): string {
    return error instanceof Error ? error.message : String(error);
}
