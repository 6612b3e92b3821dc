/** Compares the entries of a file with those in force. */
import type { ResourceKind } from "@rhubarbwheel/types/resources";
import { compareEntries, type Difference } from "./compareEntries.js";
import { type ConfigurationEntry, formatEntry, type ParsedEntry } from "./finding.js";
import { listChangeEffects } from "./listChangeEffects.js";

export interface Comparison {
    /** Sorted by kind and name. */
    readonly differences: readonly Difference[];
    /** Number of entries in force of kinds of which the file has none; they are not listed as removed. */
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
    const kinds = new Set([...entries, ...invalidEntries].map(entry => entry.kind));
    const notCompared: Partial<Record<ResourceKind, number>> = {};
    for (const { kind } of current) if (!kinds.has(kind)) notCompared[kind] = (notCompared[kind] ?? 0) + 1;
    const compared = current.filter(entry => kinds.has(entry.kind) && !invalidKeys.has(formatEntry(entry)));
    const [desired, inForce] = [indexEntries(entries), indexEntries(compared)];
    const differences = compareEntries(
        indexSpecs(inForce),
        indexSpecs(desired),
        (key, _before, _after, fields) => listChangeEffects(inForce.get(key), desired.get(key), fields, current),
    );
    return { differences, notCompared };
}

function indexEntries(entries: readonly ConfigurationEntry[]): ReadonlyMap<string, ConfigurationEntry> {
    return new Map(entries.map(entry => [formatEntry(entry), entry]));
}

function indexSpecs(entries: ReadonlyMap<string, ConfigurationEntry>): ReadonlyMap<string, object> {
    return new Map([...entries].map(([key, { spec }]) => [key, spec]));
}
