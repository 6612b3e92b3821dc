/** Model of the prompt parts that an engine keeps: those that no running request uses yield, the least recently used first. */
import type { PromptPart } from "@rhubarbwheel/types/placement";

export interface PromptCache {
    /**
     * Tokens at the start of a prompt that need not be read again: all leading parts that are kept, or are being read for
     * a request that came before.
     */
    readonly countKept: (parts: readonly PromptPart[]) => number;
    /** Tokens at the start of a prompt that have been read, so that another engine can copy them. */
    readonly countRead: (parts: readonly PromptPart[]) => number;
    /** Tokens at the start of a prompt that running requests hold. */
    readonly countHeld: (parts: readonly PromptPart[]) => number;
    /** Tokens of all parts that running requests hold; a part that several hold counts once, as in the engine's memory. */
    readonly getHeldTokens: () => number;
    /** Holds the parts for a request, and lets others yield beyond `capacityTokens`. */
    readonly hold: (parts: readonly PromptPart[], capacityTokens: number) => void;
    /** Ends a hold. Parts that were read stay as the most recently used; others have never been there. */
    readonly release: (parts: readonly PromptPart[]) => void;
    /** Adds parts that the engine says it keeps, as used longer ago than all others. */
    readonly recall: (parts: readonly PromptPart[]) => void;
    /** Marks the parts as read. */
    readonly markRead: (parts: readonly PromptPart[]) => void;
}

interface KeptPart {
    readonly tokens: number;
    /** Running requests that hold the part. */
    holders: number;
    isRead: boolean;
}

export function createPromptCache(): PromptCache {
    // Insertion order is the order of use, least recent first.
    const kept = new Map<string, KeptPart>();
    let totalTokens = 0;
    let heldTokens = 0;

    const add = (id: string, part: KeptPart): void => {
        kept.set(id, part);
        totalTokens += part.tokens;
    };

    const remove = (id: string): KeptPart | undefined => {
        const part = kept.get(id);
        totalTokens -= part?.tokens ?? 0;
        kept.delete(id);
        return part;
    };

    const countLeading = (parts: readonly PromptPart[], counts: (part: KeptPart) => boolean): number => {
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
            if (part.holders === 0) remove(id);
        }
    };

    return {
        countKept: parts => countLeading(parts, () => true),
        countRead: parts => countLeading(parts, part => part.isRead),
        countHeld: parts => countLeading(parts, part => part.holders > 0),
        getHeldTokens: () => heldTokens,
        hold: (parts, capacityTokens) => {
            for (const { id, tokens } of parts) {
                const part = remove(id) ?? { tokens, holders: 0, isRead: false };
                if (part.holders === 0) heldTokens += part.tokens;
                part.holders += 1;
                add(id, part);
            }
            evict(capacityTokens);
        },
        release: parts => {
            // The start of a prompt is of use to more requests than its end, so it is kept longest.
            for (const { id } of [...parts].reverse()) {
                const part = kept.get(id);
                if (part === undefined || part.holders === 0) continue;
                part.holders -= 1;
                if (part.holders > 0) continue;
                heldTokens -= part.tokens;
                remove(id);
                if (part.isRead) add(id, part);
            }
        },
        recall: parts => {
            const used = [...kept];
            kept.clear();
            totalTokens = 0;
            for (const { id, tokens } of parts) if (!kept.has(id)) add(id, { tokens, holders: 0, isRead: true });
            for (const [id, part] of used) {
                if (kept.has(id)) part.isRead = true;
                remove(id);
                add(id, part);
            }
        },
        markRead: parts => {
            for (const { id } of parts) {
                const part = kept.get(id);
                if (part !== undefined) part.isRead = true;
            }
        },
    };
}
