/** `apply -f FILE`: creates or updates resources by conditional writes. */
import type { Resource, ResourceKind } from "@rhubarbwheel/types/resources";
import { isDeepStrictEqual } from "node:util";
import type { CommandContext } from "../cliContext.js";
import { checkPositionalCount, parseKind } from "../cliContext.js";
import { CliError, createUsageError, exitCodes } from "../cliError.js";
import { waitForRevision } from "../waitForRevision.js";

interface DesiredResource {
    readonly kind: ResourceKind;
    readonly name: string;
    readonly spec: object;
}

/** Stops at the first resource that is not accepted, and reports those that were not tried. */
export async function applyResources(context: CommandContext): Promise<void> {
    checkPositionalCount(context, 0);
    if (context.file === undefined) throw createUsageError("Name the file with -f FILE, or -f - for standard input.");
    const desired = parseResources(context.io.readFile(context.file), context.file);
    let revision = 0;
    for (const [index, resource] of desired.entries()) {
        try {
            revision = Math.max(revision, await applyResource(context, resource));
        }
        catch (error) {
            for (const skipped of desired.slice(index + 1))
                context.io.writeError(`${skipped.kind}/${skipped.name} was not tried\n`);
            throw error;
        }
    }
    if (context.wait) await waitForRevision(context, revision);
}

/** Returns the revision at which the store contains the desired state. */
async function applyResource(context: CommandContext, desired: DesiredResource): Promise<number> {
    const { kind, name, spec } = desired;
    const current = await context.client.readResource(kind, name);
    if (current !== undefined && !current.deleted && isDeepStrictEqual(current.spec, spec)) {
        reportResource(context, current, "unchanged");
        return current.revision;
    }
    const written = await context.client.writeResource(kind, name, spec, current?.version);
    reportResource(context, written, current === undefined || current.deleted ? "created" : "updated");
    return written.revision;
}

function reportResource(context: CommandContext, resource: Resource, change: string): void {
    const { kind, name, version, revision } = resource;
    if (context.output === "names") context.io.writeOutput(`${name}\n`);
    else if (context.output === "json") context.io.writeOutput(`${JSON.stringify(resource)}\n`);
    else context.io.writeOutput(`${kind}/${name} ${change}, version ${version}, revision ${revision}\n`);
}

function parseResources(text: string, file: string): readonly DesiredResource[] {
    const parsed = parseJson(text, file);
    const items = Array.isArray(parsed) ? parsed : (parsed as { resources?: unknown; }).resources ?? [parsed];
    if (!Array.isArray(items)) throw createFileError(file, "\"resources\" is not a list.");
    return items.map((item, index) => parseDesiredResource(item, `${file}, resource ${index + 1}`));
}

function parseJson(text: string, file: string): object {
    try {
        const parsed: unknown = JSON.parse(text);
        if (typeof parsed === "object" && parsed) return parsed;
    }
    catch (error) {
        throw createFileError(file, `is not JSON: ${(error as Error).message}.`);
    }
    throw createFileError(file, "is neither a resource nor a list of resources.");
}

function parseDesiredResource(item: unknown, location: string): DesiredResource {
    const { kind, name, spec } = (item ?? {}) as Partial<Record<keyof DesiredResource, unknown>>;
    if (typeof kind !== "string") throw createFileError(location, "\"kind\" is missing.");
    if (typeof name !== "string" || name === "") throw createFileError(location, "\"name\" is missing.");
    if (typeof spec !== "object" || !spec) throw createFileError(location, "\"spec\" is missing.");
    return { kind: parseKind(kind), name, spec };
}

function createFileError(location: string, problem: string): CliError {
    const hint = "Write {\"kind\": ..., \"name\": ..., \"spec\": {...}} or a list of these.";
    return new CliError(exitCodes.refused, "RESOURCE_INVALID", `${location}: ${problem}`, hint);
}
