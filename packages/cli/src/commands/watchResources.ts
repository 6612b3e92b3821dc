/** `watch KIND`: the resources of a kind and each change of one, until the command is interrupted. */
import type { Resource, ResourceKind } from "@rhubarbwheel/types/resources";
import type { CommandContext } from "../cliContext.js";
import { checkPositionalCount, readKind } from "../cliContext.js";
import { CliError, exitCodes, readErrorAnswer } from "../cliError.js";
import { renderChange } from "../renderResources.js";

/** Pause before a watch is opened again. */
const reopenDelayMs = 500;

/** Watches that end without a line, in a row, before the command gives up. */
const maxFailures = 20;

export async function watchResources(context: CommandContext): Promise<void> {
    checkPositionalCount(context, 1);
    const kind = readKind(context.positionals[0]);
    const versions = new Map<string, number>();
    const show = (resource: Resource): void => {
        // A resource is listed again after the store has forgotten the revision that was watched from.
        if ((versions.get(resource.name) ?? -1) >= resource.version) return;
        versions.set(resource.name, resource.version);
        context.io.writeOutput(renderChange(resource, context.output));
    };
    let revision: number | undefined;
    let failures = 0;
    while (!context.io.signal.aborted) {
        try {
            revision ??= await listAll(context, kind, show);
            revision = await followChanges(context, kind, revision, show, () => (failures = 0));
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

async function listAll(
    context: CommandContext,
    kind: ResourceKind,
    show: (resource: Resource) => void,
): Promise<number> {
    const list = await context.client.listResources(kind);
    list.resources.filter(resource => !resource.deleted).forEach(show);
    return list.revision;
}

/** Returns the revision from which to watch next. */
async function followChanges(
    context: CommandContext,
    kind: ResourceKind,
    from: number,
    show: (resource: Resource) => void,
    onLine: () => void,
): Promise<number> {
    let revision = from;
    for await (const line of await context.client.watchResources(kind, from)) {
        const item = JSON.parse(line) as Partial<Resource> & { error?: object; };
        if (item.error !== undefined) throw readErrorAnswer(503, line, false);
        onLine();
        if (item.kind === kind) show(item as Resource);
        revision = Math.max(revision, item.revision ?? 0);
    }
    return revision;
}
