/** Model of an engine's prefix cache: an LRU cache of prompt parts, in which running requests pin theirs. */
import type { PromptPart } from "@rhubarbwheel/types/placement";

export interface PrefixCacheModel {
    /**
     * Tokens at the start of a prompt that need no prefill: all leading parts that are cached, or will be by the
     * prefill of an earlier request.
     */
    readonly countCachedTokens: (parts: readonly PromptPart[]) => number;
    /** Tokens at the start of a prompt whose prefill is complete, so that they can be transferred to another engine. */
    readonly countPrefilledTokens: (parts: readonly PromptPart[]) => number;
    /** Tokens at the start of a prompt that running requests pin. */
    readonly countPinnedTokens: (parts: readonly PromptPart[]) => number;
    /** Tokens of all pinned parts; a part that several requests pin counts once, as in the engine's KV cache. */
    readonly getPinnedTokens: () => number;
    /** Pins the parts for a request and evicts unpinned ones beyond `capacityTokens`. */
    readonly pin: (parts: readonly PromptPart[], capacityTokens: number) => void;
    /** Unpins the parts. Prefilled ones stay as the most recently used; the others were never in the engine's cache. */
    readonly unpin: (parts: readonly PromptPart[]) => void;
    /** Adds parts that the engine reports as cached, as less recently used than all others. */
    readonly addLeastRecentlyUsed: (parts: readonly PromptPart[]) => void;
    /** Marks the prefill of the parts as complete. */
    readonly setPrefilled: (parts: readonly PromptPart[]) => void;
}

interface CachedPart {
    readonly tokens: number;
    /** Number of running requests that pin the part. */
    pinCount: number;
    isPrefilled: boolean;
}

export function createPrefixCacheModel(): PrefixCacheModel {
    // In order of use, least recently used first.
    const cachedParts = new Map<string, CachedPart>();
    let totalTokens = 0;
    let pinnedTokens = 0;

    const add = (id: string, part: CachedPart): void => {
        cachedParts.set(id, part);
        totalTokens += part.tokens;
    };

    const remove = (id: string): CachedPart | undefined => {
        const part = cachedParts.get(id);
        totalTokens -= part?.tokens ?? 0;
        cachedParts.delete(id);
        return part;
    };

    const countLeadingTokens = (parts: readonly PromptPart[], matches: (part: CachedPart) => boolean): number => {
        let tokens = 0;
        for (const { id, tokens: partTokens } of parts) {
            const part = cachedParts.get(id);
            if (part === undefined || !matches(part)) break;
            tokens += partTokens;
        }
        return tokens;
    };

    const evict = (capacityTokens: number): void => {
        for (const [id, part] of cachedParts) {
            if (totalTokens <= capacityTokens) break;
            if (part.pinCount === 0) remove(id);
        }
    };

    return {
        countCachedTokens: parts => countLeadingTokens(parts, () => true),
        countPrefilledTokens: parts => countLeadingTokens(parts, part => part.isPrefilled),
        countPinnedTokens: parts => countLeadingTokens(parts, part => part.pinCount > 0),
        getPinnedTokens: () => pinnedTokens,
        pin: (parts, capacityTokens) => {
            for (const { id, tokens } of parts) {
                const part = remove(id) ?? { tokens, pinCount: 0, isPrefilled: false };
                if (part.pinCount === 0) pinnedTokens += part.tokens;
                part.pinCount += 1;
                add(id, part);
            }
            evict(capacityTokens);
        },
        unpin: parts => {
            // In reverse, because more requests share the start of a prompt than its end, so it is evicted last.
            for (const { id } of [...parts].reverse()) {
                const part = cachedParts.get(id);
                if (part === undefined || part.pinCount === 0) continue;
                part.pinCount -= 1;
                if (part.pinCount > 0) continue;
                pinnedTokens -= part.tokens;
                remove(id);
                if (part.isPrefilled) add(id, part);
            }
        },
        addLeastRecentlyUsed: parts => {
            const previous = [...cachedParts];
            cachedParts.clear();
            totalTokens = 0;
            for (const { id, tokens } of parts)
                if (!cachedParts.has(id)) add(id, { tokens, pinCount: 0, isPrefilled: true });
            for (const [id, part] of previous) {
                if (cachedParts.has(id)) part.isPrefilled = true;
                remove(id);
                add(id, part);
            }
        },
        setPrefilled: parts => {
            for (const { id } of parts) {
                const part = cachedParts.get(id);
                if (part !== undefined) part.isPrefilled = true;
            }
        },
    };
}
