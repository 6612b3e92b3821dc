/** Mints and verifies the idempotency keys of one incarnation of a router. */
import type { RouterIdentity } from "@rhubarbwheel/types/slices";
import { createHmac, timingSafeEqual } from "node:crypto";
import type { MintedKey } from "./mintedKey.js";
import { formatMintedKey } from "./mintedKey.js";

// 128 bits: infeasible to guess, short enough for a header.
const tagBytes = 16;

export interface KeyMinter {
    readonly mintKey: () => string;
    /** Whether this incarnation minted the key. */
    readonly isOwnKey: (key: MintedKey) => boolean;
}

/**
 * Keys contain a sequence number and an HMAC of it. Without the HMAC, a caller could forge a key with a large sequence
 * number and raise the low-water mark of the records above keys that have not been used yet.
 */
export function createKeyMinter(
    opts: { readonly identity: Pick<RouterIdentity, "router" | "incarnation">; readonly secret: string; },
): KeyMinter {
    const { router, incarnation } = opts.identity;
    let nextSequence = 1;

    const computeTag = (sequence: number): string =>
        createHmac("sha256", opts.secret).update(`${router}\n${incarnation}\n${sequence}`).digest()
            .subarray(0, tagBytes).toString("base64url");

    return {
        mintKey: () => {
            const sequence = nextSequence++;
            return formatMintedKey({ router, incarnation, sequence, tag: computeTag(sequence) });
        },
        isOwnKey: key => {
            if (key.router !== router || key.incarnation !== incarnation) return false;
            if (!timingSafeEqual(Buffer.from(key.tag), Buffer.from(computeTag(key.sequence)))) return false;
            // A replay of recorded events does not repeat the calls of `mintKey` between them, so the sequence also
            // advances with each key that is presented.
            nextSequence = Math.max(nextSequence, key.sequence + 1);
            return true;
        },
    };
}
