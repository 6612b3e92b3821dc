/** Text form of minted idempotency keys: `rw1.<router>.<incarnation>.<sequence>-<tag>`. */

/** Prefix reserved for minted keys; a caller's own key must not start with it. */
export const mintedKeyPrefix = "rw1.";

export interface MintedKey {
    readonly router: string;
    readonly incarnation: number;
    /** Starts at 1 and increases by one with each key of the incarnation. */
    readonly sequence: number;
    /** Message authentication code, by which the owner verifies that it minted the key. */
    readonly tag: string;
}

// The router name is base64url-encoded, because it may contain the dots and dashes that separate the fields.
const mintedKeyPattern =
    /^rw1\.([A-Za-z0-9_-]{1,344})\.(0|[1-9][0-9]{0,15})\.([1-9a-z][0-9a-z]{0,10})-([A-Za-z0-9_-]{22})$/;

export function formatMintedKey(key: MintedKey): string {
    const router = Buffer.from(key.router, "utf8").toString("base64url");
    return `${mintedKeyPrefix}${router}.${key.incarnation}.${key.sequence.toString(36)}-${key.tag}`;
}

/** Returns `undefined` for any text that `formatMintedKey` would not produce: each key has one canonical form. */
export function parseMintedKey(text: string): MintedKey | undefined {
    const parts = mintedKeyPattern.exec(text);
    if (!parts) return undefined;
    const [, router = "", incarnation = "", sequence = "", tag = ""] = parts;
    const key: MintedKey = {
        router: Buffer.from(router, "base64url").toString("utf8"),
        incarnation: Number(incarnation),
        sequence: parseInt(sequence, 36),
        tag,
    };
    if (!Number.isSafeInteger(key.incarnation) || !Number.isSafeInteger(key.sequence)) return undefined;
    return formatMintedKey(key) === text ? key : undefined;
}
