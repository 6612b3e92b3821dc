/** Entries of a checked configuration and what the checks find in them. */
import type { ResourceKind, ResourceSpecs } from "@rhubarbwheel/types/resources";

/** `error`: the fleet refuses the entry, or calls fail or go elsewhere. `warning`: a part of it has no effect. */
export type Severity = "error" | "warning";

export interface Finding {
    /** Stable, upper case, for example `ROUTE_SHADOWED`. */
    readonly code: string;
    readonly severity: Severity;
    /** `kind/name`, or the position in the file of an entry without a valid kind and name. */
    readonly entry: string;
    /** Path of the field in the entry, for example `spec.targets[2].address`; omitted for the whole entry. */
    readonly field?: string;
    /** Path of the field in the document; omitted if the entry is not in the file, but in force. */
    readonly path?: string;
    readonly message: string;
    /** What to change. */
    readonly hint: string;
}

/** What a finding is about. */
export interface EntryLocation {
    readonly kind: string;
    readonly name: string;
    /** Path in the document, for example `resources[3]`; omitted for an entry in force. */
    readonly path?: string;
}

/** An entry with a known kind, a name and a spec that was not validated. */
export interface ParsedEntry extends EntryLocation {
    readonly kind: ResourceKind;
    readonly spec: unknown;
}

export interface EntryOf<K extends ResourceKind> extends ParsedEntry {
    readonly kind: K;
    readonly spec: ResourceSpecs[K];
}

/** An entry whose spec the fleet accepts. */
export type ConfigurationEntry = { [K in ResourceKind]: EntryOf<K>; }[ResourceKind];

export function formatEntry(entry: Pick<EntryLocation, "kind" | "name">): string {
    return `${entry.kind}/${entry.name}`;
}

/** Formats the path of a field below `path`; the empty path is the whole document. */
export function formatPath(path: string, field: string): string {
    return path === "" || field === "" || field.startsWith("[") ? path + field : `${path}.${field}`;
}

export function createFinding(
    entry: EntryLocation,
    field: string,
    finding: Pick<Finding, "code" | "severity" | "message" | "hint">,
): Finding {
    return {
        ...finding,
        entry: formatEntry(entry),
        ...(field === "" ? {} : { field }),
        ...(entry.path === undefined ? {} : { path: formatPath(entry.path, field) }),
    };
}

export function filterByKind<K extends ResourceKind>(
    entries: readonly ConfigurationEntry[],
    kind: K,
): readonly EntryOf<K>[] {
    return entries.filter((entry): entry is ConfigurationEntry & EntryOf<K> => entry.kind === kind);
}
