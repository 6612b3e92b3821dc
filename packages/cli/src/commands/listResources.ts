/** `list KIND`: prints all resources of a kind. */
import type { CommandContext } from "../cliContext.js";
import { checkPositionalCount, parseKind } from "../cliContext.js";
import { renderResources } from "../renderResources.js";

export async function listResources(context: CommandContext): Promise<void> {
    checkPositionalCount(context, 1);
    const kind = parseKind(context.positionals[0]);
    const { resources } = await context.client.listResources(kind);
    const present = resources.filter(resource => !resource.deleted)
        .sort((first, second) => first.name < second.name ? -1 : 1);
    context.io.writeOutput(renderResources(kind, present, context.output));
}
