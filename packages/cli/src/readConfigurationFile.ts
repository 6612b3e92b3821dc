/** Reads a file of resources: decodes its text, parses it, and locates its entries. */
import type { Finding, ParsedEntry } from "@rhubarbwheel/configuration-check/finding";
import { parseEntries } from "@rhubarbwheel/configuration-check/parseEntries";
import type { CliIo } from "./cliContext.js";
import { CliError, exitCodes } from "./cliError.js";
import { createPositionFinder, findJsonOffsets, findOffset, type TextPosition } from "./findJsonOffsets.js";

export interface ConfigurationFile {
    readonly entries: readonly ParsedEntry[];
    /** Findings about the structure of the file. */
    readonly findings: readonly LocatedFinding[];
    readonly addPosition: (finding: Finding) => LocatedFinding;
}

/** Without a position if the entry is not in the file. */
export type LocatedFinding = Finding & Partial<TextPosition>;

/** Sixteen services of the maximum size of a resource. Larger files are split, as `apply` writes resources singly. */
export const maxFileBytes = 16_000_000;

export function createUnreadableError(location: string, problem: string, hint: string): CliError {
    return new CliError(exitCodes.usage, "CONFIGURATION_UNREADABLE", `${location}: ${problem}`, hint);
}

/** Throws an error with exit code 2 if the file cannot be read, or is not JSON in UTF-8. */
export function readConfigurationFile(io: CliIo, name: string): ConfigurationFile {
    const text = decodeText(readContent(io, name), name);
    const findPosition = createPositionFinder(text);
    const offsets = findJsonOffsets(text);
    if ("problem" in offsets) {
        const { line, column } = findPosition(offsets.offset);
        const hint = "Correct the JSON at this place, or send the file again if it is cut off.";
        throw createUnreadableError(`${name}:${line}:${column}`, `is not JSON: ${offsets.problem}.`, hint);
    }
    const { root, repeatedKeys } = offsets;
    const addPosition = (finding: Finding): LocatedFinding =>
        finding.path === undefined ? finding : { ...finding, ...findPosition(findOffset(root, finding.path)) };
    const { entries, findings } = parseEntries(JSON.parse(text));
    const repeated = repeatedKeys.map(({ key, offset }): LocatedFinding => ({
        code: "KEY_DUPLICATE",
        severity: "error",
        entry: "document",
        field: key,
        message: "The object has this key twice, and only the last value counts.",
        hint: "Remove one of the two.",
        ...findPosition(offset),
    }));
    return { entries, findings: [...repeated, ...findings.map(addPosition)], addPosition };
}

function readContent(io: CliIo, name: string): Uint8Array {
    try {
        return io.readBytes(name, maxFileBytes);
    }
    catch (error) {
        throw createUnreadableError(name, (error as Error).message, "Check the name and the permissions of the file.");
    }
}

function decodeText(content: Uint8Array, name: string): string {
    if (content.byteLength > maxFileBytes) {
        throw createUnreadableError(
            name,
            `has more than ${maxFileBytes} bytes.`,
            "Split the file, and check the parts with --against.",
        );
    }
    const encoding = detectOtherEncoding(content);
    if (encoding !== undefined)
        throw createUnreadableError(name, `is in ${encoding}.`, "Save the file as UTF-8 without a byte order mark.");
    try {
        const text = new TextDecoder("utf-8", { fatal: true, ignoreBOM: true }).decode(content);
        if (text.trim() !== "") return text;
    }
    catch {
        throw createUnreadableError(name, "is not in UTF-8.", "Save the file as UTF-8 without a byte order mark.");
    }
    throw createUnreadableError(name, "is empty.", "Check that this is the intended file, and that it was written.");
}

/** JSON begins with ASCII characters, of which UTF-16 shows one zero byte each. */
function detectOtherEncoding([first, second, third]: Uint8Array): string | undefined {
    if (first === 0xef && second === 0xbb && third === 0xbf) return "UTF-8 with a byte order mark";
    const isMarked = (first === 0xff && second === 0xfe) || (first === 0xfe && second === 0xff);
    return isMarked || first === 0 || second === 0 ? "UTF-16 or UTF-32" : undefined;
}
