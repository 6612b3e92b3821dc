/** `watch KIND`: prints the resources of a kind and their changes until the command is interrupted. */
import type { Resource, ResourceKind } from "@rhubarbwheel/types/resources";
import type { CommandContext } from "../cliContext.js";
import { checkPositionalCount, parseKind } from "../cliContext.js";
import { CliError, exitCodes, parseErrorResponse } from "../cliError.js";
import { renderChange } from "../renderResources.js";

/** Delay before a watch is reopened. */
const reopenDelayMs = 500;

/** Consecutive failures, without a line received in between, after which the command gives up. */
const maxFailures = 20;

export async function watchResources(context: CommandContext): Promise<void> {
    checkPositionalCount(context, 1);
    const kind = parseKind(context.positionals[0]);
    const versions = new Map<string, number>();
    const printResource = (resource: Resource): void => {
        // Resources are listed again after the store has compacted the watched revision.
        if ((versions.get(resource.name) ?? -1) >= resource.version) return;
        versions.set(resource.name, resource.version);
        context.io.writeOutput(renderChange(resource, context.output));
    };
    let revision: number | undefined;
    let failures = 0;
    while (!context.io.signal.aborted) {
        try {
            revision ??= await printAll(context, kind, printResource);
            revision = await printChanges(context, kind, revision, printResource, () => (failures = 0));
            await context.io.wait(reopenDelayMs);
        }
        catch (error) {
            if (context.io.signal.aborted) return;
            if (error instanceof CliError && error.exitCode !== exitCodes.notRun) {
                if (error.code !== "REVISION_GONE" && error.code !== "HTTP_410") throw error;
                revision = undefined;
            }
            failures += 1;
            if (failures >= maxFailures) throw error;
            await context.io.wait(reopenDelayMs);
        }
    }
}

async function printAll(
    context: CommandContext,
    kind: ResourceKind,
    printResource: (resource: Resource) => void,
): Promise<number> {
    const list = await context.client.listResources(kind);
    list.resources.filter(resource => !resource.deleted).forEach(printResource);
    return list.revision;
}

/** Returns the revision from which the next watch continues. */
async function printChanges(
    context: CommandContext,
    kind: ResourceKind,
    from: number,
    printResource: (resource: Resource) => void,
    onLine: () => void,
): Promise<number> {
    let revision = from;
    for await (const line of await context.client.watchResources(kind, from)) {
        const item = JSON.parse(line) as Partial<Resource> & { error?: object; };
        if (item.error !== undefined) throw parseErrorResponse(503, line, false);
        onLine();
        if (item.kind === kind) printResource(item as Resource);
        revision = Math.max(revision, item.revision ?? 0);
    }
    return revision;
}
