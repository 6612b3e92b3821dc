/** Model of the prompt parts that an engine keeps: the least recently used ones yield to newer ones. */
import type { PromptPart } from "@rhubarbwheel/types/placement";

export interface PromptCache {
    /**
     * Tokens at the start of a prompt that need not be read again: all leading parts that are kept, or are being read for
     * a request that came before.
     */
    readonly countKept: (parts: readonly PromptPart[]) => number;
    /** Tokens at the start of a prompt that have been read, so that another engine can copy them. */
    readonly countRead: (parts: readonly PromptPart[]) => number;
    /** Marks all parts as used now, and evicts others beyond `capacityTokens`. */
    readonly use: (parts: readonly PromptPart[], capacityTokens: number) => void;
    /** Adds parts that the engine says it keeps, as used longer ago than all others. */
    readonly recall: (parts: readonly PromptPart[]) => void;
    /** Marks the parts as read. */
    readonly markRead: (parts: readonly PromptPart[]) => void;
}

interface KeptPart {
    readonly tokens: number;
    isRead: boolean;
}

export function createPromptCache(): PromptCache {
    // Insertion order is the order of use, least recent first.
    const kept = new Map<string, KeptPart>();
    let totalTokens = 0;

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

    return {
        countKept: parts => countLeading(parts, () => true),
        countRead: parts => countLeading(parts, part => part.isRead),
        use: (parts, capacityTokens) => {
            for (const { id, tokens } of parts) {
                const before = remove(id);
                kept.set(id, { tokens, isRead: before?.isRead ?? false });
                totalTokens += tokens;
            }
            for (const id of kept.keys()) {
                if (totalTokens <= capacityTokens) break;
                remove(id);
            }
        },
        recall: parts => {
            const used = [...kept];
            kept.clear();
            for (const { id, tokens } of parts) {
                if (!kept.has(id)) totalTokens += tokens;
                kept.set(id, { tokens, isRead: true });
            }
            for (const [id, part] of used) {
                totalTokens -= kept.get(id)?.tokens ?? 0;
                kept.delete(id);
                kept.set(id, part);
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
