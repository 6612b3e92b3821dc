/** Decodes and parses a JSON document of an operator, and locates findings in it. */
import type { Finding } from "./finding.js";
import { createPositionFinder, findJsonOffsets, findOffset, type TextPosition } from "./findJsonOffsets.js";

/** Without a position if the entry is not in the file. */
export type LocatedFinding = Finding & Partial<TextPosition>;

export interface JsonDocument {
    readonly content: unknown;
    /** Keys that an object has twice. */
    readonly findings: readonly LocatedFinding[];
    readonly addPosition: (finding: Finding) => LocatedFinding;
}

export interface UnreadableDocument {
    /** Name of the file, with line and column if the problem has a place. */
    readonly location: string;
    readonly problem: string;
    readonly hint: string;
}

/** Sixteen services of the maximum size of a resource. Larger files are split, as `apply` writes resources singly. */
export const maxFileBytes = 16_000_000;

const encodingHint = "Save the file as UTF-8 without a byte order mark.";

/** `bytes` are the content of the file `name`, of which `maxFileBytes` + 1 suffice. */
export function parseJsonDocument(bytes: Uint8Array, name: string): JsonDocument | UnreadableDocument {
    const decoded = decodeText(bytes, name);
    if (typeof decoded !== "string") return decoded;
    const findPosition = createPositionFinder(decoded);
    const offsets = findJsonOffsets(decoded);
    if ("problem" in offsets) {
        const { line, column } = findPosition(offsets.offset);
        const hint = "Correct the JSON at this place, or send the file again if it is cut off.";
        return { location: `${name}:${line}:${column}`, problem: `is not JSON: ${offsets.problem}.`, hint };
    }
    const { root, repeatedKeys } = offsets;
    const findings = repeatedKeys.map(({ key, offset }): LocatedFinding => ({
        code: "KEY_DUPLICATE",
        severity: "error",
        entry: "document",
        field: key,
        message: "The object has this key twice, and only the last value counts.",
        hint: "Remove one of the two.",
        ...findPosition(offset),
    }));
    const addPosition = (finding: Finding): LocatedFinding =>
        finding.path === undefined ? finding : { ...finding, ...findPosition(findOffset(root, finding.path)) };
    return { content: JSON.parse(decoded), findings, addPosition };
}

function decodeText(bytes: Uint8Array, location: string): string | UnreadableDocument {
    if (bytes.byteLength > maxFileBytes) {
        const problem = `has more than ${maxFileBytes} bytes.`;
        return { location, problem, hint: "Split the file, and check the parts with --against." };
    }
    const encoding = detectOtherEncoding(bytes);
    if (encoding !== undefined) return { location, problem: `is in ${encoding}.`, hint: encodingHint };
    try {
        const text = new TextDecoder("utf-8", { fatal: true, ignoreBOM: true }).decode(bytes);
        if (text.trim() !== "") return text;
    }
    catch {
        return { location, problem: "is not in UTF-8.", hint: encodingHint };
    }
    return { location, problem: "is empty.", hint: "Check that this is the intended file, and that it was written." };
}

/** JSON begins with ASCII characters, of which UTF-16 shows one zero byte each. */
function detectOtherEncoding([first, second, third]: Uint8Array): string | undefined {
    if (first === 0xef && second === 0xbb && third === 0xbf) return "UTF-8 with a byte order mark";
    const isMarked = (first === 0xff && second === 0xfe) || (first === 0xfe && second === 0xff);
    return isMarked || first === 0 || second === 0 ? "UTF-16 or UTF-32" : undefined;
}

/** Orders findings by their position; those about entries that are in force come last. */
export function comparePositions(left: LocatedFinding, right: LocatedFinding): number {
    if (left.line === undefined || right.line === undefined)
        return Number(left.line === undefined) - Number(right.line === undefined);
    return left.line - right.line || (left.column ?? 0) - (right.column ?? 0);
}
