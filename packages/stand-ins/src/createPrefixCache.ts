/** Prefix cache of a model engine, with LRU eviction. */

export interface PrefixCache {
    /** Returns whether the prefix was cached; adds it as the most recently used one. */
    readonly touch: (prefix: string) => boolean;
    readonly clear: () => void;
}

export function createPrefixCache(opts: { readonly maxEntries: number; }): PrefixCache {
    const cachedPrefixes = new Set<string>();
    return {
        touch: prefix => {
            const wasCached = cachedPrefixes.delete(prefix);
            cachedPrefixes.add(prefix);
            const oldest = cachedPrefixes.values().next().value;
            if (cachedPrefixes.size > opts.maxEntries && oldest !== undefined) cachedPrefixes.delete(oldest);
            return wasCached;
        },
        clear: () => cachedPrefixes.clear(),
    };
}
