/** Finds the entries in a parsed JSON document: one resource, a list of them, or an object with `resources`. */
import { isRecord } from "@rhubarbwheel/configuration/fieldChecks";
import type { ResourceKind } from "@rhubarbwheel/types/resources";
import { createFinding, type Finding, formatEntry, formatPath, type ParsedEntry } from "./finding.js";

export interface ParsedEntries {
    readonly entries: readonly ParsedEntry[];
    /** Problems of the structure; entries with an error of their structure are not in `entries`. */
    readonly findings: readonly Finding[];
}

export const resourceKinds = ["workspaces", "services", "failuredomains"] as const satisfies readonly ResourceKind[];

/** `get --output json` prints the version and the revision, so that its output can be edited and checked. */
const knownFields = new Set(["kind", "name", "spec", "version", "revision", "deleted"]);

const structureHint = "Write {\"kind\": ..., \"name\": ..., \"spec\": {...}} or a list of these.";

/** Also accepts the singular. */
export function findKind(kind: unknown): ResourceKind | undefined {
    return resourceKinds.find(known => known === kind || known === `${String(kind)}s`);
}

export function parseEntries(document: unknown): ParsedEntries {
    const findings: Finding[] = [];
    const entries: ParsedEntry[] = [];
    const [items, listPath] = listItems(document);
    if (!Array.isArray(items)) {
        const message = "\"resources\" is not a list.";
        return { entries, findings: [createStructureFinding("document", "", "resources", message)] };
    }
    if (items.length === 0) {
        findings.push({
            code: "RESOURCES_MISSING",
            severity: "warning",
            entry: "document",
            path: "",
            message: "The list has no resources.",
            hint: "Check that this is the intended file.",
        });
    }
    const seen = new Map<string, string>();
    for (const [index, item] of items.entries()) {
        const path = listPath === undefined ? "" : `${listPath}[${index}]`;
        const problem = findStructureProblem(item);
        if (problem !== undefined) {
            findings.push(createStructureFinding(`resource ${index + 1}`, path, problem.field, problem.message));
            continue;
        }
        const entry = readEntry(item as Readonly<Record<string, unknown>>, path);
        findings.push(...listIgnoredFields(item as object, entry));
        const key = formatEntry(entry);
        if (seen.has(key)) findings.push(createDuplicateFinding(entry, seen.get(key) ?? ""));
        else {
            seen.set(key, path);
            entries.push(entry);
        }
    }
    return { entries, findings };
}

/** Returns the items and the path of their list; without a path if the document is a single resource. */
function listItems(document: unknown): readonly [items: unknown, listPath: string | undefined] {
    if (Array.isArray(document)) return [document, ""];
    if (isRecord(document) && document["resources"] !== undefined) return [document["resources"], "resources"];
    return [[document], undefined];
}

function findStructureProblem(item: unknown): { readonly field: string; readonly message: string; } | undefined {
    if (!isRecord(item)) return { field: "", message: "The resource is not an object." };
    if (findKind(item["kind"]) === undefined)
        return { field: "kind", message: `"kind" is none of ${resourceKinds.join(", ")}.` };
    if (typeof item["name"] !== "string" || item["name"] === "")
        return { field: "name", message: "\"name\" is missing or not a text." };
    if (!isRecord(item["spec"])) return { field: "spec", message: "\"spec\" is missing or not an object." };
    return undefined;
}

function readEntry(item: Readonly<Record<string, unknown>>, path: string): ParsedEntry {
    return { kind: findKind(item["kind"]) as ResourceKind, name: String(item["name"]), spec: item["spec"], path };
}

function createStructureFinding(entry: string, path: string, field: string, message: string): Finding {
    return {
        code: "RESOURCE_INVALID",
        severity: "error",
        entry,
        ...(field === "" ? {} : { field }),
        path: formatPath(path, field),
        message,
        hint: structureHint,
    };
}

function createDuplicateFinding(entry: ParsedEntry, firstPath: string): Finding {
    return createFinding(entry, "", {
        code: "RESOURCE_DUPLICATE",
        severity: "error",
        message: `The resource is also at ${firstPath}; "apply" would write both, and the later one would stay.`,
        hint: "Remove one of the two.",
    });
}

function listIgnoredFields(item: object, entry: ParsedEntry): readonly Finding[] {
    const findings = Object.keys(item).filter(field => !knownFields.has(field)).map(field =>
        createFinding(entry, field, {
            code: "FIELD_IGNORED",
            severity: "warning",
            message: "The field is not part of a resource and is ignored.",
            hint: "Move it into \"spec\" or remove it.",
        })
    );
    if ((item as { deleted?: unknown; }).deleted !== true) return findings;
    return [
        ...findings,
        createFinding(entry, "deleted", {
            code: "DELETION_IGNORED",
            severity: "error",
            message: "\"apply\" ignores this field and would create the resource again.",
            hint: "Remove the entry from the file, or the field if the resource is to exist.",
        }),
    ];
}
