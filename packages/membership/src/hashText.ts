import murmurhash from "murmurhash";

/** Hashes a text to an unsigned 32-bit integer, the same on all routers. Not resistant to deliberate collisions. */
export function hashText(text: string): number {
    return murmurhash.v3(text, 0);
}
