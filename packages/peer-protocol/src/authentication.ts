/**
 * Authentication between routers. Each request carries an HMAC, keyed with the fleet secret, of the names of both
 * routers, the incarnation of the sender, the time and a nonce; the reply carries one of the same nonce. The secret
 * itself is never sent.
 */
import { Metadata } from "@grpc/grpc-js";
import type { RouterIdentity } from "@rhubarbwheel/types/slices";
import { createHmac, randomBytes } from "node:crypto";
import { matchesSignature } from "./matchesSignature.js";

/** Limits how long a recorded signature can be replayed; larger than the usual clock skew between hosts. */
export const maxClockSkewMs = 60_000;

export type PeerRequestKind = "exchange" | "forward";

export interface PeerIdentity {
    readonly router: string;
    readonly incarnation: number;
}

export type AuthenticationResult =
    | { readonly type: "authenticated"; readonly peer: PeerIdentity; readonly nonce: string; }
    | { readonly type: "refused"; readonly reason: string; };

export interface Authenticator {
    readonly signRequest: (
        kind: PeerRequestKind,
        recipient: string,
    ) => { readonly metadata: Metadata; readonly nonce: string; };
    readonly verifyRequest: (kind: PeerRequestKind, metadata: Metadata) => AuthenticationResult;
    readonly signReply: (kind: PeerRequestKind, requester: string, nonce: string) => Metadata;
    readonly verifyReply: (
        kind: PeerRequestKind,
        recipient: string,
        nonce: string,
        metadata: Metadata,
    ) => AuthenticationResult;
}

const metadataKeys = {
    router: "rhubarbwheel-router",
    incarnation: "rhubarbwheel-incarnation",
    recipient: "rhubarbwheel-recipient",
    timestamp: "rhubarbwheel-timestamp",
    nonce: "rhubarbwheel-nonce",
    signature: "rhubarbwheel-signature",
} as const;

type SignedFields = Record<Exclude<keyof typeof metadataKeys, "signature">, string>;

export function createAuthenticator(
    identity: RouterIdentity,
    fleetSecret: string,
    getWallClockTime: () => number,
): Authenticator {
    // `direction` and `kind` are part of the signed data, so their values must not change.
    const computeSignature = (direction: "call" | "answer", kind: PeerRequestKind, fields: SignedFields): Buffer => {
        const { router, incarnation, recipient, timestamp, nonce } = fields;
        const signed = JSON.stringify([direction, kind, router, incarnation, recipient, timestamp, nonce]);
        return createHmac("sha256", fleetSecret).update(signed).digest();
    };

    const sign = (direction: "call" | "answer", kind: PeerRequestKind, recipient: string, nonce: string): Metadata => {
        const fields: SignedFields = {
            router: identity.router,
            incarnation: String(identity.incarnation),
            recipient,
            timestamp: String(getWallClockTime()),
            nonce,
        };
        const metadata = new Metadata();
        for (const name of Object.keys(fields) as (keyof SignedFields)[])
            metadata.set(metadataKeys[name], encodeURIComponent(fields[name]));
        metadata.set(metadataKeys.signature, computeSignature(direction, kind, fields).toString("hex"));
        return metadata;
    };

    const verify = (direction: "call" | "answer", kind: PeerRequestKind, metadata: Metadata): AuthenticationResult => {
        const fields = readSignedFields(metadata);
        if (fields === undefined) return { type: "refused", reason: "the signature is missing or incomplete" };
        const expected = computeSignature(direction, kind, fields);
        if (!matchesSignature(expected, String(metadata.get(metadataKeys.signature)[0] ?? "")))
            return { type: "refused", reason: "the signature does not match; the fleet secrets differ" };
        if (fields.recipient !== identity.router) {
            return {
                type: "refused",
                reason: `the call is for ${fields.recipient}, this router is ${identity.router}`,
            };
        }
        if (fields.router === identity.router)
            return { type: "refused", reason: `both routers are named ${identity.router}` };
        const clockSkewMs = Math.abs(getWallClockTime() - Number(fields.timestamp));
        if (!(clockSkewMs <= maxClockSkewMs))
            return { type: "refused", reason: `the clocks of the two hosts differ by ${clockSkewMs} ms` };
        const incarnation = Number(fields.incarnation);
        if (!Number.isSafeInteger(incarnation)) return { type: "refused", reason: "the incarnation is not an integer" };
        return { type: "authenticated", peer: { router: fields.router, incarnation }, nonce: fields.nonce };
    };

    return {
        signRequest: (kind, recipient) => {
            const nonce = randomBytes(16).toString("hex");
            return { metadata: sign("call", kind, recipient, nonce), nonce };
        },
        verifyRequest: (kind, metadata) => verify("call", kind, metadata),
        signReply: (kind, requester, nonce) => sign("answer", kind, requester, nonce),
        verifyReply: (kind, recipient, nonce, metadata) => {
            const result = verify("answer", kind, metadata);
            if (result.type === "refused") return result;
            if (result.nonce !== nonce) return { type: "refused", reason: "the reply is for another request" };
            if (result.peer.router !== recipient)
                return { type: "refused", reason: `the reply is from ${result.peer.router}` };
            return result;
        },
    };
}

function readSignedFields(metadata: Metadata): SignedFields | undefined {
    const read = (key: string): string => decodeURIComponent(String(metadata.get(key)[0] ?? ""));
    try {
        return {
            router: read(metadataKeys.router),
            incarnation: read(metadataKeys.incarnation),
            recipient: read(metadataKeys.recipient),
            timestamp: read(metadataKeys.timestamp),
            nonce: read(metadataKeys.nonce),
        };
    }
    catch {
        return undefined;
    }
}
