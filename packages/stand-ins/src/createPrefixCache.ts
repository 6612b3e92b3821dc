/** Prompt prefixes that an engine holds; the least recently used one makes room. */

export interface PrefixCache {
    /** Whether the prefix is held; holds it from now on. */
    readonly touch: (prefix: string) => boolean;
    readonly clear: () => void;
}

export function createPrefixCache(opts: { readonly entries: number; }): PrefixCache {
    const held = new Set<string>();
    return {
        touch: prefix => {
            const isHeld = held.delete(prefix);
            held.add(prefix);
            const oldest = held.values().next().value;
            if (held.size > opts.entries && oldest !== undefined) held.delete(oldest);
            return isHeld;
        },
        clear: () => held.clear(),
    };
}
