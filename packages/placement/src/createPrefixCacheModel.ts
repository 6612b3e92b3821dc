/** Model of the prompt parts that an engine keeps: those that no running request uses yield, the least recently used first. */
import type { PromptPart } from "@rhubarbwheel/types/placement";

export interface PrefixCacheModel {
    /**
     * Tokens at the start of a prompt that need not be read again: all leading parts that are kept, or are being read for
     * a request that came before.
     */
    readonly countCachedTokens: (parts: readonly PromptPart[]) => number;
    /** Tokens at the start of a prompt that have been read, so that another engine can copy them. */
    readonly countPrefilledTokens: (parts: readonly PromptPart[]) => number;
    /** Tokens at the start of a prompt that running requests hold. */
    readonly countPinnedTokens: (parts: readonly PromptPart[]) => number;
    /** Tokens of all parts that running requests hold; a part that several hold counts once, as in the engine's memory. */
    readonly getPinnedTokens: () => number;
    /** Holds the parts for a request, and lets others yield beyond `capacityTokens`. */
    readonly pin: (parts: readonly PromptPart[], capacityTokens: number) => void;
    /** Ends a hold. Parts that were read stay as the most recently used; others have never been there. */
    readonly unpin: (parts: readonly PromptPart[]) => void;
    /** Adds parts that the engine says it keeps, as used longer ago than all others. */
    readonly addLeastRecentlyUsed: (parts: readonly PromptPart[]) => void;
    /** Marks the parts as read. */
    readonly markPrefilled: (parts: readonly PromptPart[]) => void;
}

interface CachedPart {
    readonly tokens: number;
    /** Running requests that hold the part. */
    pinCount: number;
    isPrefilled: boolean;
}

export function createPrefixCacheModel(): PrefixCacheModel {
    // Insertion order is the order of use, least recent first.
    const kept = new Map<string, CachedPart>();
    let totalTokens = 0;
    let heldTokens = 0;

    const add = (id: string, part: CachedPart): void => {
        kept.set(id, part);
        totalTokens += part.tokens;
    };

    const remove = (id: string): CachedPart | undefined => {
        const part = kept.get(id);
        totalTokens -= part?.tokens ?? 0;
        kept.delete(id);
        return part;
    };

    const countLeading = (parts: readonly PromptPart[], counts: (part: CachedPart) => boolean): number => {
        let tokens = 0;
        for (const { id, tokens: partTokens } of parts) {
            const part = kept.get(id);
            if (part === undefined || !counts(part)) break;
            tokens += partTokens;
        }
        return tokens;
    };

    const evict = (capacityTokens: number): void => {
        for (const [id, part] of kept) {
            if (totalTokens <= capacityTokens) break;
            if (part.pinCount === 0) remove(id);
        }
    };

    return {
        countCachedTokens: parts => countLeading(parts, () => true),
        countPrefilledTokens: parts => countLeading(parts, part => part.isPrefilled),
        countPinnedTokens: parts => countLeading(parts, part => part.pinCount > 0),
        getPinnedTokens: () => heldTokens,
        pin: (parts, capacityTokens) => {
            for (const { id, tokens } of parts) {
                const part = remove(id) ?? { tokens, pinCount: 0, isPrefilled: false };
                if (part.pinCount === 0) heldTokens += part.tokens;
                part.pinCount += 1;
                add(id, part);
            }
            evict(capacityTokens);
        },
        unpin: parts => {
            // The start of a prompt is of use to more requests than its end, so it is kept longest.
            for (const { id } of [...parts].reverse()) {
                const part = kept.get(id);
                if (part === undefined || part.pinCount === 0) continue;
                part.pinCount -= 1;
                if (part.pinCount > 0) continue;
                heldTokens -= part.tokens;
                remove(id);
                if (part.isPrefilled) add(id, part);
            }
        },
        addLeastRecentlyUsed: parts => {
            const used = [...kept];
            kept.clear();
            totalTokens = 0;
            for (const { id, tokens } of parts) if (!kept.has(id)) add(id, { tokens, pinCount: 0, isPrefilled: true });
            for (const [id, part] of used) {
                if (kept.has(id)) part.isPrefilled = true;
                remove(id);
                add(id, part);
            }
        },
        markPrefilled: parts => {
            for (const { id } of parts) {
                const part = kept.get(id);
                if (part !== undefined) part.isPrefilled = true;
            }
        },
    };
}
