/** Reads a file of resources: parses it, and locates its entries. */
import type { Finding, ParsedEntry } from "@rhubarbwheel/configuration-check/finding";
import { parseEntries } from "@rhubarbwheel/configuration-check/parseEntries";
import {
    type LocatedFinding,
    maxFileBytes,
    parseJsonDocument,
} from "@rhubarbwheel/configuration-check/parseJsonDocument";
import type { CliIo } from "./cliContext.js";
import { CliError, exitCodes } from "./cliError.js";

export interface ConfigurationFile {
    readonly entries: readonly ParsedEntry[];
    /** Findings about the structure of the file. */
    readonly findings: readonly LocatedFinding[];
    readonly addPosition: (finding: Finding) => LocatedFinding;
}

export function createUnreadableError(location: string, problem: string, hint: string): CliError {
    return new CliError(exitCodes.usage, "CONFIGURATION_UNREADABLE", `${location}: ${problem}`, hint);
}

/** Throws an error with exit code 2 if the file cannot be read, or is not JSON in UTF-8. */
export function readConfigurationFile(io: CliIo, name: string): ConfigurationFile {
    const document = parseJsonDocument(readContent(io, name), name);
    if ("problem" in document) throw createUnreadableError(document.location, document.problem, document.hint);
    const { entries, findings } = parseEntries(document.content);
    const { addPosition } = document;
    return { entries, findings: [...document.findings, ...findings.map(addPosition)], addPosition };
}

function readContent(io: CliIo, name: string): Uint8Array {
    try {
        return io.readBytes(name, maxFileBytes);
    }
    catch (error) {
        throw createUnreadableError(name, (error as Error).message, "Check the name and the permissions of the file.");
    }
}
