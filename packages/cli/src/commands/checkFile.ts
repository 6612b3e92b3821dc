/** `check FILE`: reports problems of a configuration before it is sent, and differences from the one in force. */
import { checkConfiguration, validateEntries } from "@rhubarbwheel/configuration-check/checkConfiguration";
import { compareConfigurations } from "@rhubarbwheel/configuration-check/compareConfigurations";
import type { ConfigurationEntry, ParsedEntry } from "@rhubarbwheel/configuration-check/finding";
import { formatCount } from "@rhubarbwheel/configuration-check/formatCount";
import { resourceKinds } from "@rhubarbwheel/configuration-check/parseEntries";
import { comparePositions } from "@rhubarbwheel/configuration-check/parseJsonDocument";
import { renderCheckAsJson, renderCheckAsText } from "@rhubarbwheel/configuration-check/renderCheck";
import type { CliIo } from "../cliContext.js";
import { CliError, createUsageError, type ExitCode, exitCodes } from "../cliError.js";
import type { OperatorClient } from "../operatorClient.js";
import { createUnreadableError, readConfigurationFile } from "../readConfigurationFile.js";
import type { OutputFormat } from "../renderResources.js";

export interface CheckFileOptions {
    readonly io: CliIo;
    readonly files: readonly string[];
    /** URLs of routers, or a file. */
    readonly against?: string;
    readonly output: OutputFormat;
    /** Called only if `against` names routers, so that a check of files needs no token. */
    readonly createClient: (routers: string) => OperatorClient;
}

/** Differences are no findings: they do not affect the exit code. */
export async function checkFile(opts: CheckFileOptions): Promise<ExitCode> {
    const { io, against, output } = opts;
    const [file, ...others] = opts.files;
    if (file === undefined || others.length > 0) throw createUsageError("Name one file to check; - is standard input.");
    if (file === "-" && against === "-") throw createUsageError("Only one of the two can be standard input.");
    if (output === "names") throw createUsageError("check prints text, or JSON with --output json.");
    const source = readConfigurationFile(io, file);
    const current = against === undefined ? undefined : await readCurrent(opts, against);
    const checked = checkConfiguration(source.entries, { ...(current === undefined ? {} : { current }) });
    const findings = [...source.findings, ...checked.findings.map(source.addPosition)].sort(comparePositions);
    const { validEntries, invalidEntries } = checked;
    const comparison = current === undefined
        ? undefined
        : compareConfigurations(validEntries, current, { invalidEntries });
    const result = {
        file,
        resourceCount: source.entries.length,
        findings,
        ...(against === undefined ? {} : { against }),
        ...(comparison === undefined ? {} : { comparison }),
    };
    io.writeOutput(output === "json" ? renderCheckAsJson(result) : renderCheckAsText(result));
    return findings.length === 0 ? exitCodes.ok : exitCodes.refused;
}

async function readCurrent(opts: CheckFileOptions, against: string): Promise<readonly ConfigurationEntry[]> {
    if (/^https?:\/\//.test(against)) {
        const entries = await readFromRouters(opts.createClient(against), against);
        return filterValidEntries(opts, against, entries, 0);
    }
    const { entries, findings } = readConfigurationFile(opts.io, against);
    const dropped = findings.filter(({ code }) => code === "RESOURCE_INVALID" || code === "RESOURCE_DUPLICATE");
    // Paths in this document are not places in the checked file.
    const inForce = entries.map(({ kind, name, spec }) => ({ kind, name, spec }));
    return filterValidEntries(opts, against, inForce, dropped.length);
}

/** `droppedCount`: resources that are not in `entries`, because they have no kind, name or spec, or are repeated. */
function filterValidEntries(
    { io }: CheckFileOptions,
    against: string,
    entries: readonly ParsedEntry[],
    droppedCount: number,
): readonly ConfigurationEntry[] {
    const { validEntries } = validateEntries(entries);
    const ignoredCount = entries.length - validEntries.length + droppedCount;
    if (ignoredCount > 0)
        io.writeError(`${formatCount(ignoredCount, "resource")} of ${against} not valid, thus ignored\n`);
    return validEntries;
}

/** Converts errors to exit code 2, because 1 is for findings. */
async function readFromRouters(client: OperatorClient, against: string): Promise<readonly ParsedEntry[]> {
    try {
        const lists = await Promise.all(resourceKinds.map(kind => client.listResources(kind)));
        return lists.flatMap(list => list.resources)
            .filter(resource => !resource.deleted)
            .map(({ kind, name, spec }) => ({ kind, name, spec }));
    }
    catch (error) {
        if (!(error instanceof CliError)) throw error;
        throw createUnreadableError(against, `${error.code}: ${error.message}`, error.hint);
    }
}
