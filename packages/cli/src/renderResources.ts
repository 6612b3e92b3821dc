/** Renders resources in the format that `--output` selects. */
import type { Resource, ResourceKind } from "@rhubarbwheel/types/resources";
import { renderTable } from "./renderTable.js";

export type OutputFormat = "json" | "table" | "names";

const headings: Readonly<Record<ResourceKind, readonly string[]>> = {
    workspaces: ["SHARE", "CREDENTIALS", "MAX-QUEUED"],
    services: ["KIND", "TARGETS", "TARGET-LIMIT", "COLD-LIMIT"],
    failuredomains: ["STATE"],
};

export function renderResources(
    kind: ResourceKind,
    resources: readonly Resource[],
    output: OutputFormat,
): string {
    if (output === "json") return `${JSON.stringify({ resources }, undefined, 2)}\n`;
    if (output === "names") return resources.map(resource => `${resource.name}\n`).join("");
    const rows = resources.map(resource => [
        resource.name,
        resource.version,
        resource.revision,
        ...listSpecCells(resource),
    ]);
    return renderTable(["NAME", "VERSION", "REVISION", ...headings[kind]], rows);
}

function listSpecCells(resource: Resource): (string | number | undefined)[] {
    switch (resource.kind) {
        case "workspaces":
            return [resource.spec.share, resource.spec.credentialHashes.length, resource.spec.maxQueuedPerRouter];
        case "services": {
            const { kind, targets, targetLimit, coldLimit } = resource.spec;
            return [kind, targets.length, targetLimit, coldLimit];
        }
        case "failuredomains":
            return [resource.spec.state];
    }
}

/** Renders one line of `watch`. */
export function renderChange(resource: Resource, output: OutputFormat): string {
    if (output === "json") return `${JSON.stringify(resource)}\n`;
    if (output === "names") return `${resource.name}\n`;
    const change = resource.deleted ? "deleted" : "set";
    const cells = resource.deleted ? [] : listSpecCells(resource).map(cell => cell ?? "-");
    return `${
        [resource.name, `version ${resource.version}`, `revision ${resource.revision}`, change, ...cells].join("  ")
    }\n`;
}
