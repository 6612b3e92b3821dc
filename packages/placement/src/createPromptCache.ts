/** Model of the prompt parts that an engine keeps: the least recently used ones yield to newer ones. */
import type { PromptPart } from "@rhubarbwheel/types/placement";

export interface PromptCache {
    /** Tokens at the start of a prompt that need not be read again: all leading parts that are kept. */
    readonly countKept: (parts: readonly PromptPart[]) => number;
    /** Marks all parts as used now, and evicts others beyond `capacityTokens`. */
    readonly use: (parts: readonly PromptPart[], capacityTokens: number) => void;
    readonly clear: () => void;
}

export function createPromptCache(): PromptCache {
    // Insertion order is the order of use, least recent first.
    const kept = new Map<string, number>();
    let totalTokens = 0;

    const remove = (id: string): void => {
        totalTokens -= kept.get(id) ?? 0;
        kept.delete(id);
    };

    return {
        countKept: parts => {
            let tokens = 0;
            for (const part of parts) {
                if (!kept.has(part.id)) break;
                tokens += part.tokens;
            }
            return tokens;
        },
        use: (parts, capacityTokens) => {
            for (const part of parts) {
                remove(part.id);
                kept.set(part.id, part.tokens);
                totalTokens += part.tokens;
            }
            for (const id of kept.keys()) {
                if (totalTokens <= capacityTokens) break;
                remove(id);
            }
        },
        clear: () => {
            kept.clear();
            totalTokens = 0;
        },
    };
}
