/** Checks the entries of a file alone, with each other, and with the configuration in force. */
import { validateResource } from "@rhubarbwheel/configuration/validateResource";
import { checkServices } from "./checkServices.js";
import { checkWorkspaces } from "./checkWorkspaces.js";
import { type ConfigurationEntry, createFinding, type Finding, formatEntry, type ParsedEntry } from "./finding.js";

export interface CheckedConfiguration {
    readonly findings: readonly Finding[];
    /** The entries that the fleet accepts. */
    readonly validEntries: readonly ConfigurationEntry[];
    readonly invalidEntries: readonly ParsedEntry[];
}

/**
 * `apply` deletes nothing, so entries in force that are not in the file stay beside those of the file. They come first:
 * of two entries that share an address, the finding is about the later one, which is the one that can be corrected.
 */
export function mergeEntries(
    entries: readonly ConfigurationEntry[],
    current: readonly ConfigurationEntry[],
): readonly ConfigurationEntry[] {
    const replaced = new Set(entries.map(formatEntry));
    return [...current.filter(entry => !replaced.has(formatEntry(entry))), ...entries];
}

function validateEntry(entry: ParsedEntry): readonly Finding[] {
    const result = validateResource(entry.kind, entry.name, entry.spec);
    if (result.ok) return [];
    return result.val.map(({ field, problem, remedy }) =>
        createFinding(entry, field === "name" || field === "spec" ? field : `spec.${field}`, {
            code: "FIELD_INVALID",
            severity: "error",
            message: `The field ${problem}.`,
            hint: remedy,
        })
    );
}

/** Splits entries by the validation that routers run before they write a resource. */
export function validateEntries(entries: readonly ParsedEntry[]): CheckedConfiguration {
    const findings: Finding[] = [];
    const validEntries: ConfigurationEntry[] = [];
    const invalidEntries: ParsedEntry[] = [];
    for (const entry of entries) {
        const problems = validateEntry(entry);
        findings.push(...problems);
        if (problems.length === 0) validEntries.push(entry as ConfigurationEntry);
        else invalidEntries.push(entry);
    }
    return { findings, validEntries, invalidEntries };
}

function checkTogether(entries: readonly ConfigurationEntry[]): readonly Finding[] {
    return [...checkWorkspaces(entries), ...checkServices(entries)];
}

function formatKey(finding: Finding): string {
    return [finding.code, finding.entry, finding.field].join(" ");
}

/** Without `current`, the file counts as the whole configuration. */
export function checkConfiguration(
    entries: readonly ParsedEntry[],
    opts: { readonly current?: readonly ConfigurationEntry[]; } = {},
): CheckedConfiguration {
    const current = opts.current ?? [];
    const { findings, validEntries, invalidEntries } = validateEntries(entries);
    // Findings that entries outside of the file have already are not caused by this change.
    const known = new Set(checkTogether(current).map(formatKey));
    const together = checkTogether(mergeEntries(validEntries, current))
        .filter(finding => finding.path !== undefined || !known.has(formatKey(finding)));
    return { findings: [...findings, ...together], validEntries, invalidEntries };
}
