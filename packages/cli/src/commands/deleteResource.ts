/** `delete KIND NAME`: deletes the current version of a resource. */
import type { CommandContext } from "../cliContext.js";
import { checkPositionalCount, parseKind, parseName } from "../cliContext.js";
import { createNotFoundError } from "./getResource.js";

export async function deleteResource(context: CommandContext): Promise<void> {
    checkPositionalCount(context, 2);
    const kind = parseKind(context.positionals[0]);
    const name = parseName(context.positionals[1]);
    const current = await context.client.readResource(kind, name);
    if (current === undefined || current.deleted) throw createNotFoundError(`${kind}/${name}`);
    await context.client.deleteResource(kind, name, current.version);
    context.io.writeOutput(`${kind}/${name} deleted, was version ${current.version}\n`);
}
