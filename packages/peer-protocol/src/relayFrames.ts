/**
 * Frames of the connections on which routers relay the store: one JSON object per line. Both ends prove that they can
 * read the store, which holds the relay's key, before anything else is sent.
 */
import type { ViewKind } from "@rhubarbwheel/types/fleet";
import { viewKindsWithRollouts } from "@rhubarbwheel/types/fleet";
import type { RelayedChanges, RelayedList } from "@rhubarbwheel/types/relay";
import { createHmac, randomBytes } from "node:crypto";
import type { Socket } from "node:net";
import * as v from "valibot";
import { matchesSignature } from "./matchesSignature.js";

/** Routers of another version watch the store themselves, because entries are relayed as decoded by this one. */
export const relayProtocolVersion = 3;

/** Version in a deployment with rollouts: followers must get the versions of targets and the orders. */
export const rolloutsRelayProtocolVersion = 4;

/** Maximum length of a line: many times the largest list of a kind. */
const maxLineChars = 32 * 1024 * 1024;

const kindSchema = v.picklist(viewKindsWithRollouts);
const integerSchema = v.pipe(v.number(), v.integer());

/** Era of the store and revision in it. */
const positionFields = { era: integerSchema, revision: integerSchema };

const textSchema = v.pipe(v.string(), v.maxLength(200));

const frameSchema = v.variant("type", [
    v.object({ type: v.literal("hello"), version: v.number(), router: textSchema, nonce: textSchema }),
    v.object({ type: v.literal("welcome"), nonce: textSchema, signature: textSchema }),
    v.object({ type: v.literal("join"), signature: textSchema }),
    v.object({ type: v.literal("ping"), sequence: v.number() }),
    v.object({
        type: v.literal("pong"),
        sequence: v.number(),
        /** Age in ms of each kind's confirmation by the store, and the position up to which it has been relayed. */
        kinds: v.array(
            v.object({ kind: kindSchema, ...positionFields, ageMs: v.pipe(v.number(), v.minValue(0)) }),
        ),
    }),
    v.object({
        type: v.literal("list"),
        kind: kindSchema,
        ...positionFields,
        entries: v.array(v.looseObject({})),
    }),
    v.object({
        type: v.literal("changes"),
        kind: kindSchema,
        ...positionFields,
        /** Revision of the previous `list`, `changes` or `pong` of the kind on this connection, which is of the same era. */
        fromRevision: integerSchema,
        changes: v.array(v.object({ name: v.string(), entry: v.optional(v.looseObject({})) })),
    }),
]);

type ParsedFrame = v.InferOutput<typeof frameSchema>;

export interface ListFrame extends RelayedList {
    readonly type: "list";
    readonly kind: ViewKind;
}

export interface ChangesFrame extends RelayedChanges {
    readonly type: "changes";
    readonly kind: ViewKind;
}

export type RelayFrame = Exclude<ParsedFrame, { readonly type: "list" | "changes"; }> | ListFrame | ChangesFrame;

export function encodeFrame(frame: RelayFrame): string {
    return `${JSON.stringify(frame)}\n`;
}

/** Returns an error message for a malformed frame. The entries are those of an authenticated router of this version. */
function parseFrame(line: string): RelayFrame | string {
    try {
        const parsed = v.safeParse(frameSchema, JSON.parse(line));
        return parsed.success ? parsed.output as RelayFrame : `malformed frame: ${parsed.issues[0].message}`;
    }
    catch {
        return "a frame is not JSON";
    }
}

export interface FrameHandlers {
    readonly onFrame: (frame: RelayFrame) => void;
    readonly onMalformed: (problem: string) => void;
}

/** Reads frames from a connection. After a malformed one nothing more is read. */
export function readFrames(socket: Socket, handlers: FrameHandlers): void {
    let pieces: string[] = [];
    let length = 0;
    let isMalformed = false;

    const fail = (problem: string): void => {
        isMalformed = true;
        handlers.onMalformed(problem);
    };

    const handleLine = (line: string): void => {
        const frame = parseFrame(line);
        if (typeof frame === "string") fail(frame);
        else handlers.onFrame(frame);
    };

    socket.setEncoding("utf8");
    socket.on("data", (text: string) => {
        const lines = text.split("\n");
        for (const [index, line] of lines.entries()) {
            if (isMalformed || socket.destroyed) return;
            pieces.push(line);
            length += line.length;
            if (length > maxLineChars) return fail("a frame exceeds the size limit");
            if (index === lines.length - 1) return;
            const whole = pieces.join("");
            pieces = [];
            length = 0;
            handleLine(whole);
        }
    });
}

export function createNonce(): string {
    return randomBytes(16).toString("hex");
}

type SignerRole = "relay" | "follower";

function computeSignature(key: string, role: SignerRole, router: string, nonce: string): Buffer {
    return createHmac("sha256", key).update(JSON.stringify([role, router, nonce])).digest();
}

/** Signs the other side's nonce. `role` keeps a signature of one side from being used as that of the other. */
export function signNonce(key: string, role: SignerRole, router: string, nonce: string): string {
    return computeSignature(key, role, router, nonce).toString("hex");
}

/** Whether `signature` is that of `nonce` by the router `router` in this role. */
export function verifyNonce(
    signature: string,
    key: string,
    role: SignerRole,
    router: string,
    nonce: string,
): boolean {
    return matchesSignature(computeSignature(key, role, router, nonce), signature);
}
