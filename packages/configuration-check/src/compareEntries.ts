/** Compares entries with those in force; what a difference means to callers is decided elsewhere. */
import { isDeepStrictEqual } from "node:util";

export interface Difference {
    readonly change: "added" | "removed" | "changed";
    /** `kind/name` */
    readonly entry: string;
    /** Names of the fields of the entry that differ; empty unless changed. */
    readonly fields: readonly string[];
    /** What callers will notice; empty if nothing. */
    readonly effects: readonly string[];
}

/** Lists the effects of a change of the entry `kind/name`; `before` or `after` is missing if the entry is added or removed. */
export type EffectLister<T> = (
    entry: string,
    before: T | undefined,
    after: T | undefined,
    fields: readonly string[],
) => readonly string[];

/** The keys of both maps are `kind/name`. Returns the differences sorted by key. */
export function compareEntries<T extends object>(
    current: ReadonlyMap<string, T>,
    desired: ReadonlyMap<string, T>,
    listEffects: EffectLister<T>,
): readonly Difference[] {
    return [...new Set([...desired.keys(), ...current.keys()])].sort().flatMap((entry): readonly Difference[] => {
        const [before, after] = [current.get(entry), desired.get(entry)];
        const fields = before === undefined || after === undefined ? [] : listChangedFields(before, after);
        if (before !== undefined && after !== undefined && fields.length === 0) return [];
        const change = before === undefined ? "added" : after === undefined ? "removed" : "changed";
        return [{ change, entry, fields, effects: listEffects(entry, before, after, fields) }];
    });
}

function listChangedFields(before: object, after: object): readonly string[] {
    const [old, desired] = [new Map<string, unknown>(Object.entries(before)), new Map(Object.entries(after))];
    return [...new Set([...old.keys(), ...desired.keys()])]
        .filter(field => !isDeepStrictEqual(old.get(field), desired.get(field)))
        .sort();
}
