/** Checks of single fields, and combinators for checks of objects and lists. */
import { isIP } from "node:net";

export interface FieldProblem {
    /** Path of the field, for example `targets[2].address`. */
    readonly field: string;
    readonly problem: string;
    /** What to change. */
    readonly remedy: string;
}

/** Returns the problems of the value at `field`; empty if it is valid. */
export type Check = (value: unknown, field: string) => readonly FieldProblem[];

export function isRecord(value: unknown): value is Readonly<Record<string, unknown>> {
    return typeof value === "object" && value !== undefined && !Array.isArray(value) && Boolean(value);
}

function report(field: string, problem: string, remedy: string): readonly FieldProblem[] {
    return [{ field: field === "" ? "spec" : field, problem, remedy }];
}

export function checkPattern(pattern: RegExp, problem: string, remedy: string): Check {
    return (value, field) => typeof value === "string" && pattern.test(value) ? [] : report(field, problem, remedy);
}

export const checkName = checkPattern(
    /^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$/,
    "is not a valid name",
    "Use 1 to 63 characters from a-z 0-9 . - that start and end with a letter or digit.",
);

export const checkHash = checkPattern(
    /^[0-9a-f]{64}$/,
    "is not a SHA-256 hash",
    "Use 64 lower-case hex digits, for example from: printf %s TOKEN | sha256sum",
);

export function checkText(maxLength: number): Check {
    return (value, field) =>
        typeof value === "string" && value.length > 0 && value.length <= maxLength
            ? []
            : report(field, "is not a text of allowed length", `Use 1 to ${maxLength} characters.`);
}

export function checkNumber(min: number, max: number): Check {
    return (value, field) =>
        typeof value === "number" && value >= min && value <= max
            ? []
            : report(field, "is not a number in the allowed range", `Use a number from ${min} to ${max}.`);
}

export function checkInteger(min: number, max: number): Check {
    return (value, field) =>
        Number.isInteger(value) && (value as number) >= min && (value as number) <= max
            ? []
            : report(field, "is not an integer in the allowed range", `Use an integer from ${min} to ${max}.`);
}

export function checkOneOf(...allowed: readonly string[]): Check {
    return (value, field) =>
        allowed.includes(value as string)
            ? []
            : report(field, "is not one of the allowed values", `Use one of: ${allowed.join(", ")}.`);
}

/** Checks the address of a target; routers connect to targets without name resolution or TLS. */
export const checkAddress: Check = (value, field) => {
    const remedy = "Use http://ADDRESS:PORT with an IP address or localhost, for example http://127.0.0.1:9001.";
    if (typeof value !== "string" || value.length > 200 || !URL.canParse(value))
        return report(field, "is not a URL", remedy);
    const { protocol, hostname, pathname, search, hash, username, password } = new URL(value);
    if (protocol !== "http:") return report(field, "is not an http URL", remedy);
    if (hostname !== "localhost" && isIP(hostname.replace(/^\[(.*)\]$/, "$1")) === 0)
        return report(field, "has a host name instead of an IP address", remedy);
    if (pathname !== "/" || search !== "" || hash !== "" || username !== "" || password !== "")
        return report(field, "has more than a host and a port", remedy);
    return [];
};

/** Checks an object. Unknown fields are rejected, so that a misspelt field does not go unnoticed. */
export function checkFields(
    required: Readonly<Record<string, Check>>,
    optional: Readonly<Record<string, Check>>,
): Check {
    const known = new Map([...Object.entries(required), ...Object.entries(optional)]);
    return (value, field) => {
        if (!isRecord(value)) return report(field, "is not an object", "Use an object.");
        const prefix = field === "" ? "" : `${field}.`;
        const missing = Object.keys(required).filter(name => !Object.hasOwn(value, name))
            .flatMap(name => report(prefix + name, "is missing", "Add the field."));
        const unknown = Object.keys(value).filter(name => !known.has(name)).flatMap(name =>
            report(prefix + name.slice(0, 100), "is not a known field", `Use one of: ${[...known.keys()].join(", ")}.`)
        );
        const wrong = Object.keys(value).flatMap(name => known.get(name)?.(value[name], prefix + name) ?? []);
        return [...missing, ...unknown, ...wrong];
    };
}

export function checkEach(check: Check): Check {
    return (value, field) =>
        Array.isArray(value)
            ? value.flatMap((item, index) => check(item, `${field}[${index}]`))
            : report(field, "is not a list", "Use a list.");
}

/** Extends the check of a list: no two items may have the same key. */
export function checkUnique(check: Check, readKey: (item: unknown) => unknown, noun: string): Check {
    return (value, field) => {
        const problems = check(value, field);
        if (!Array.isArray(value)) return problems;
        const seen = new Set<unknown>();
        const repeated = value.flatMap((item, index) => {
            const key = readKey(item);
            const isRepeated = key !== undefined && seen.has(key);
            seen.add(key);
            return isRepeated
                ? report(`${field}[${index}]`, `repeats the ${noun} of an earlier item`, "Remove one of the two.")
                : [];
        });
        return [...problems, ...repeated];
    };
}
