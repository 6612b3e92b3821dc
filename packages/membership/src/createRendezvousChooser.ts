/** Rendezvous hashing for many choices among the same names: each name is hashed only once. */
import { chooseByScore } from "./chooseByRendezvous.js";
import { hashText } from "./hashText.js";

export interface RendezvousChooser {
    /** Chooses the best of `names` for `key`; `undefined` if there are none. Differs from `chooseByRendezvous`. */
    readonly choose: (key: string, names: readonly string[]) => string | undefined;
}

/** Number of cached hashes at which the cache is cleared, because most of the names no longer exist. */
const maxCachedNames = 20_000;

/** Mixes two hashes to an unsigned 32-bit integer (finalizer of MurmurHash3). */
function hashPair(left: number, right: number): number {
    let mixed = Math.imul(left ^ right, 0x85ebca6b);
    mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
    return (mixed ^ (mixed >>> 16)) >>> 0;
}

export function createRendezvousChooser(hash: (text: string) => number = hashText): RendezvousChooser {
    const hashes = new Map<string, number>();

    const getHash = (name: string): number => {
        const existing = hashes.get(name);
        if (existing !== undefined) return existing;
        if (hashes.size >= maxCachedNames) hashes.clear();
        const nameHash = hash(name);
        hashes.set(name, nameHash);
        return nameHash;
    };

    return {
        choose: (key, names) => {
            const keyHash = hash(key);
            return chooseByScore(names, name => hashPair(keyHash, getHash(name)));
        },
    };
}
