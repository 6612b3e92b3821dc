/** `get KIND [NAME]`: prints one resource, or all of a kind. */
import { getErrorKind } from "@rhubarbwheel/error/routerError";
import type { CommandContext } from "../cliContext.js";
import { checkPositionalCount, parseKind } from "../cliContext.js";
import { CliError, exitCodes } from "../cliError.js";
import { renderResources } from "../renderResources.js";
import { listResources } from "./listResources.js";

export async function getResource(context: CommandContext): Promise<void> {
    checkPositionalCount(context, 2);
    const kind = parseKind(context.positionals[0]);
    const name = context.positionals[1];
    if (name === undefined) return await listResources(context);
    const resource = await context.client.readResource(kind, name);
    if (resource === undefined || resource.deleted) throw createNotFoundError(`${kind}/${name}`);
    const isJson = context.output === "json";
    const text = isJson
        ? `${JSON.stringify(resource, undefined, 2)}\n`
        : renderResources(kind, [resource], context.output);
    context.io.writeOutput(text);
}

export function createNotFoundError(resource: string): CliError {
    const { code, message, hint } = getErrorKind("RESOURCE_NOT_FOUND");
    return new CliError(exitCodes.refused, code, `${message} (${resource})`, hint);
}
