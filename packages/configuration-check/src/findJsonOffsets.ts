/**
 * Scans a JSON text for the offset of each value. `JSON.parse` reports neither positions nor repeated keys, and names
 * the place of an error only in some of its messages.
 */

export interface JsonNode {
    readonly offset: number;
    /** Values by key, or by index. */
    readonly members: ReadonlyMap<string, JsonNode>;
}

export interface RepeatedKey {
    readonly key: string;
    readonly offset: number;
}

export interface JsonOffsets {
    readonly root: JsonNode;
    readonly repeatedKeys: readonly RepeatedKey[];
}

export interface JsonProblem {
    readonly offset: number;
    readonly problem: string;
}

/** Greater than the depth of any resource, and small enough for the stack. */
const maxDepth = 64;

const noMembers: ReadonlyMap<string, JsonNode> = new Map();
const spacePattern = /[ \t\n\r]*/y;
const scalarPattern = /true|false|null|-?(?:0|[1-9]\d*)(?:\.\d+)?(?:[eE][+-]?\d+)?/y;
// eslint-disable-next-line no-control-regex -- JSON does not allow these characters in a string
const stringPattern = /"[^"\\\u0000-\u001f]*(?:\\(?:["\\/bfnrt]|u[0-9a-fA-F]{4})[^"\\\u0000-\u001f]*)*"/y;

class ScanError extends Error {
    readonly offset: number;

    constructor(offset: number, problem: string) {
        super(problem);
        this.offset = offset;
    }
}

/** Returns the locations of a text that is JSON, or its first problem. */
export function findJsonOffsets(text: string): JsonOffsets | JsonProblem {
    const repeatedKeys: RepeatedKey[] = [];
    let offset = 0;

    const readPattern = (pattern: RegExp): string | undefined => {
        pattern.lastIndex = offset;
        const match = pattern.exec(text)?.[0];
        offset += match?.length ?? 0;
        return match;
    };

    const dropSpace = (): void => void readPattern(spacePattern);

    const createScanError = (expected: string): ScanError => {
        const character = String.fromCodePoint(text.codePointAt(offset) ?? 0);
        const found = offset < text.length ? JSON.stringify(character) : "the end of the file";
        return new ScanError(offset, `expected ${expected}, found ${found}`);
    };

    const tryTake = (character: string): boolean => {
        if (text[offset] !== character) return false;
        offset += 1;
        dropSpace();
        return true;
    };

    const readString = (expected: string): string => {
        const match = readPattern(stringPattern);
        if (match !== undefined) return match;
        if (text[offset] !== "\"") throw createScanError(expected);
        throw new ScanError(offset, "a string that does not end, or has an invalid escape or a control character");
    };

    const readMember = (members: Map<string, JsonNode>, depth: number): void => {
        const keyOffset = offset;
        const key = JSON.parse(readString("a key in double quotes")) as string;
        dropSpace();
        if (!tryTake(":")) throw createScanError("\":\"");
        if (members.has(key)) repeatedKeys.push({ key, offset: keyOffset });
        members.set(key, readValue(depth));
    };

    const readMembers = (end: "}" | "]", depth: number): ReadonlyMap<string, JsonNode> => {
        const members = new Map<string, JsonNode>();
        if (depth > maxDepth) throw new ScanError(offset, `nested more than ${maxDepth} levels deep`);
        if (tryTake(end)) return members;
        do {
            if (end === "}") readMember(members, depth);
            else members.set(String(members.size), readValue(depth));
        }
        while (tryTake(","));
        if (!tryTake(end)) throw createScanError(`"," or "${end}"`);
        return members;
    };

    const readValue = (depth: number): JsonNode => {
        const start = offset;
        if (tryTake("{")) return { offset: start, members: readMembers("}", depth + 1) };
        if (tryTake("[")) return { offset: start, members: readMembers("]", depth + 1) };
        if (readPattern(scalarPattern) === undefined) readString("a value");
        dropSpace();
        return { offset: start, members: noMembers };
    };

    try {
        dropSpace();
        const root = readValue(0);
        if (offset < text.length) throw createScanError("the end of the file");
        return { root, repeatedKeys };
    }
    catch (error) {
        if (error instanceof ScanError) return { offset: error.offset, problem: error.message };
        throw error;
    }
}

/** Returns the offset of the value at a path such as `[3].spec.share`, or of the last value that exists on the way. */
export function findOffset(root: JsonNode, path: string): number {
    let node = root;
    for (const key of path.split(/[.[\]]+/).filter(part => part !== "")) {
        const member = node.members.get(key);
        if (member === undefined) break;
        node = member;
    }
    return node.offset;
}

export interface TextPosition {
    readonly line: number;
    /** In characters, from 1. */
    readonly column: number;
}

/**
 * Converts offsets of one text. Neither lines nor the characters of a line are counted again for each offset, which would
 * be slow for many findings in a file that is a single line.
 */
export function createPositionFinder(text: string): (offset: number) => TextPosition {
    const lineStarts = [0, ...listOffsets(text, /\n/g).map(offset => offset + 1)];
    // A character of two code units counts as one column once both are before the offset.
    const pairOffsets = listOffsets(text, /[\ud800-\udbff][\udc00-\udfff]/g);
    return offset => {
        const line = countUpTo(lineStarts, offset);
        const start = lineStarts[line - 1] ?? 0;
        const pairs = countUpTo(pairOffsets, offset - 2) - countUpTo(pairOffsets, start - 2);
        return { line, column: offset - start - pairs + 1 };
    };
}

function listOffsets(text: string, pattern: RegExp): readonly number[] {
    return Array.from(text.matchAll(pattern), match => match.index);
}

/** Counts the sorted numbers that are not greater than `limit`. */
function countUpTo(numbers: readonly number[], limit: number): number {
    let [low, high] = [0, numbers.length];
    while (low < high) {
        const middle = Math.floor((low + high) / 2);
        if ((numbers[middle] ?? Infinity) <= limit) low = middle + 1;
        else high = middle;
    }
    return low;
}
