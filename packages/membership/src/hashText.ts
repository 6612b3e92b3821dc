import murmurhash from "murmurhash";

/** Hashes a text to an unsigned 32-bit integer; equal on all routers, and not resistant to intended collisions. */
export function hashText(text: string): number {
    return murmurhash.v3(text, 0);
}
