/**
 * Authentication between routers. Each call carries a signature made with the fleet secret over the names of both
 * routers, the incarnation of the caller, the time and a nonce; the answer carries one over the same nonce. The secret
 * itself is never sent.
 */
import { Metadata } from "@grpc/grpc-js";
import type { RouterIdentity } from "@rhubarbwheel/types/slices";
import { createHmac, randomBytes, timingSafeEqual } from "node:crypto";

/** Limits how long a recorded signature can be replayed; more than the usual difference between clocks of hosts. */
export const maxClockDifferenceMs = 60_000;

export type PeerCallKind = "exchange" | "forward";

export interface PeerIdentity {
    readonly router: string;
    readonly incarnation: number;
}

export type Authenticated =
    | { readonly type: "authenticated"; readonly peer: PeerIdentity; readonly nonce: string; }
    | { readonly type: "refused"; readonly reason: string; };

export interface Authenticator {
    readonly signCall: (
        kind: PeerCallKind,
        recipient: string,
    ) => { readonly metadata: Metadata; readonly nonce: string; };
    readonly verifyCall: (kind: PeerCallKind, metadata: Metadata) => Authenticated;
    readonly signAnswer: (kind: PeerCallKind, caller: string, nonce: string) => Metadata;
    readonly verifyAnswer: (kind: PeerCallKind, recipient: string, nonce: string, metadata: Metadata) => Authenticated;
}

const keys = {
    router: "rhubarbwheel-router",
    incarnation: "rhubarbwheel-incarnation",
    recipient: "rhubarbwheel-recipient",
    timestamp: "rhubarbwheel-timestamp",
    nonce: "rhubarbwheel-nonce",
    signature: "rhubarbwheel-signature",
} as const;

type SignedFields = Record<Exclude<keyof typeof keys, "signature">, string>;

export function createAuthenticator(
    identity: RouterIdentity,
    fleetSecret: string,
    getTime: () => number,
): Authenticator {
    const computeSignature = (direction: "call" | "answer", kind: PeerCallKind, fields: SignedFields): Buffer => {
        const { router, incarnation, recipient, timestamp, nonce } = fields;
        const signed = JSON.stringify([direction, kind, router, incarnation, recipient, timestamp, nonce]);
        return createHmac("sha256", fleetSecret).update(signed).digest();
    };

    const sign = (direction: "call" | "answer", kind: PeerCallKind, recipient: string, nonce: string): Metadata => {
        const fields: SignedFields = {
            router: identity.router,
            incarnation: String(identity.incarnation),
            recipient,
            timestamp: String(getTime()),
            nonce,
        };
        const metadata = new Metadata();
        for (const name of Object.keys(fields) as (keyof SignedFields)[])
            metadata.set(keys[name], encodeURIComponent(fields[name]));
        metadata.set(keys.signature, computeSignature(direction, kind, fields).toString("hex"));
        return metadata;
    };

    const verify = (direction: "call" | "answer", kind: PeerCallKind, metadata: Metadata): Authenticated => {
        const fields = readFields(metadata);
        if (fields === undefined) return { type: "refused", reason: "the signature is missing or incomplete" };
        const expected = computeSignature(direction, kind, fields);
        const received = Buffer.from(String(metadata.get(keys.signature)[0] ?? ""), "hex");
        if (received.length !== expected.length || !timingSafeEqual(received, expected))
            return { type: "refused", reason: "the signature does not match; the fleet secrets differ" };
        if (fields.recipient !== identity.router) {
            return {
                type: "refused",
                reason: `the call is for ${fields.recipient}, this router is ${identity.router}`,
            };
        }
        if (fields.router === identity.router)
            return { type: "refused", reason: `both routers are named ${identity.router}` };
        const difference = Math.abs(getTime() - Number(fields.timestamp));
        if (!(difference <= maxClockDifferenceMs))
            return { type: "refused", reason: `the clocks of the two hosts differ by ${difference} ms` };
        const incarnation = Number(fields.incarnation);
        if (!Number.isSafeInteger(incarnation)) return { type: "refused", reason: "the incarnation is not a number" };
        return { type: "authenticated", peer: { router: fields.router, incarnation }, nonce: fields.nonce };
    };

    return {
        signCall: (kind, recipient) => {
            const nonce = randomBytes(16).toString("hex");
            return { metadata: sign("call", kind, recipient, nonce), nonce };
        },
        verifyCall: (kind, metadata) => verify("call", kind, metadata),
        signAnswer: (kind, caller, nonce) => sign("answer", kind, caller, nonce),
        verifyAnswer: (kind, recipient, nonce, metadata) => {
            const result = verify("answer", kind, metadata);
            if (result.type === "refused") return result;
            if (result.nonce !== nonce) return { type: "refused", reason: "the answer belongs to another call" };
            if (result.peer.router !== recipient)
                return { type: "refused", reason: `the answer is from ${result.peer.router}` };
            return result;
        },
    };
}

function readFields(metadata: Metadata): SignedFields | undefined {
    const read = (key: string): string => decodeURIComponent(String(metadata.get(key)[0] ?? ""));
    try {
        return {
            router: read(keys.router),
            incarnation: read(keys.incarnation),
            recipient: read(keys.recipient),
            timestamp: read(keys.timestamp),
            nonce: read(keys.nonce),
        };
    }
    catch {
        return undefined;
    }
}
