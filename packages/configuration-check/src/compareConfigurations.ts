/** Compares the entries of a file with those in force. */
import type { ResourceKind } from "@rhubarbwheel/types/resources";
import { isDeepStrictEqual } from "node:util";
import { type ConfigurationEntry, formatEntry, type ParsedEntry } from "./finding.js";
import { listChangeEffects } from "./listChangeEffects.js";

export interface Difference {
    readonly change: "added" | "removed" | "changed";
    /** `kind/name` */
    readonly entry: string;
    /** Names of the fields of `spec` that differ; empty unless changed. */
    readonly fields: readonly string[];
    /** What callers will notice; empty if nothing. */
    readonly effects: readonly string[];
}

export interface Comparison {
    /** Sorted by kind and name. */
    readonly differences: readonly Difference[];
    /** Entries in force of kinds of which the file has none; they are not listed as removed. */
    readonly notCompared: Readonly<Partial<Record<ResourceKind, number>>>;
}

export interface CompareOptions {
    /** Entries of the file that the fleet refuses. They are findings, and neither removed nor changed. */
    readonly invalidEntries?: readonly ParsedEntry[];
}

export function compareConfigurations(
    entries: readonly ConfigurationEntry[],
    current: readonly ConfigurationEntry[],
    opts: CompareOptions = {},
): Comparison {
    const invalidEntries = opts.invalidEntries ?? [];
    const invalidKeys = new Set(invalidEntries.map(formatEntry));
    const desired = indexEntries(entries);
    const inForce = indexEntries(current);
    const kinds = new Set([...entries, ...invalidEntries].map(entry => entry.kind));
    const notCompared: Partial<Record<ResourceKind, number>> = {};
    for (const { kind } of current) if (!kinds.has(kind)) notCompared[kind] = (notCompared[kind] ?? 0) + 1;
    const keys = [...new Set([...desired.keys(), ...inForce.keys()])].filter(key => !invalidKeys.has(key)).sort();
    const differences = keys.flatMap(key => {
        const after = desired.get(key);
        const before = inForce.get(key);
        const { kind } = after ?? before ?? {};
        return kind === undefined || !kinds.has(kind) ? [] : compareEntry(key, before, after, current);
    });
    return { differences, notCompared };
}

function indexEntries(entries: readonly ConfigurationEntry[]): ReadonlyMap<string, ConfigurationEntry> {
    return new Map(entries.map(entry => [formatEntry(entry), entry]));
}

function compareEntry(
    entry: string,
    before: ConfigurationEntry | undefined,
    after: ConfigurationEntry | undefined,
    current: readonly ConfigurationEntry[],
): readonly Difference[] {
    const fields = before === undefined || after === undefined ? [] : listChangedFields(before.spec, after.spec);
    if (before !== undefined && after !== undefined && fields.length === 0) return [];
    const change = before === undefined ? "added" : after === undefined ? "removed" : "changed";
    return [{ change, entry, fields, effects: listChangeEffects(before, after, fields, current) }];
}

function listChangedFields(before: object, after: object): readonly string[] {
    const [old, desired] = [new Map<string, unknown>(Object.entries(before)), new Map(Object.entries(after))];
    return [...new Set([...old.keys(), ...desired.keys()])]
        .filter(field => !isDeepStrictEqual(old.get(field), desired.get(field)))
        .sort();
}
