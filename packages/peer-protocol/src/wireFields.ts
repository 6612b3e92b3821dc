/**
 * Conversions between the TypeScript shapes and the objects of the generated codec. The generated codec accepts any
 * value on the wire, so each conversion checks what it reads and throws a `WireError` that names the field.
 */

/** A value that can't be represented, on either side. */
export class WireError extends Error {
    override readonly name = "WireError";
}

export interface WireField<T> {
    readonly toWire: (value: T) => unknown;
    readonly fromWire: (wire: unknown) => T;
}

/** One field per property; an optional property must use `optional`. */
export type WireFields<T> = { readonly [K in keyof T]-?: WireField<T[K]>; };

interface LongLike {
    readonly toNumber: () => number;
}

function isObject(value: unknown): value is object {
    return typeof value === "object" && Boolean(value);
}

function isLong(wire: unknown): wire is LongLike {
    return isObject(wire) && "toNumber" in wire;
}

function readInteger(wire: unknown): number {
    const value = isLong(wire) ? wire.toNumber() : wire;
    if (typeof value === "number" && Number.isSafeInteger(value) && value >= 0) return value;
    throw new WireError("is not a whole number from 0 to 2^53 - 1");
}

/** Whole number from 0 to 2^53 - 1; the generated codec would silently change any other. */
export const integer: WireField<number> = { toWire: readInteger, fromWire: readInteger };

function makeField<T>(isValid: (value: unknown) => value is T, expected: string): WireField<T> {
    const check = (value: unknown): T => {
        if (isValid(value)) return value;
        throw new WireError(`is not ${expected}`);
    };
    return { toWire: check, fromWire: check };
}

export const double = makeField((value): value is number => typeof value === "number", "a number");
export const text = makeField((value): value is string => typeof value === "string", "a string");
export const flag = makeField((value): value is boolean => typeof value === "boolean", "a boolean");
export const bytes = makeField((value): value is Uint8Array => value instanceof Uint8Array, "a byte array");

/** A string union; value `n` of the enum on the wire is `values[n - 1]`. */
export function choice<T extends string>(values: readonly T[]): WireField<T> {
    return {
        toWire: value => {
            const index = values.indexOf(value);
            if (index < 0) throw new WireError(`is not one of ${values.join(", ")}`);
            return index + 1;
        },
        fromWire: wire => {
            const value = typeof wire === "number" ? values[wire - 1] : undefined;
            if (value === undefined) throw new WireError(`is not one of ${values.join(", ")}`);
            return value;
        },
    };
}

/** A property that may be missing. The generated codec represents a missing field by a null prototype property. */
export function optional<T>(field: WireField<T>): WireField<T | undefined> {
    return {
        toWire: value => value === undefined ? undefined : field.toWire(value),
        fromWire: wire => (wire ?? undefined) === undefined ? undefined : field.fromWire(wire),
    };
}

export function list<T>(field: WireField<T>): WireField<readonly T[]> {
    return {
        toWire: values => values.map(value => field.toWire(value)),
        fromWire: wire => {
            if (!Array.isArray(wire)) throw new WireError("is not a list");
            return wire.map(value => field.fromWire(value));
        },
    };
}

/** A list in a message of its own, which keeps a missing list apart from an empty one. */
export function wrappedList<T>(field: WireField<T>): WireField<readonly T[]> {
    const wrapped = shape<{ readonly values: readonly T[]; }>({ values: list(field) });
    return {
        toWire: values => wrapped.toWire({ values }),
        fromWire: wire => wrapped.fromWire(wire).values,
    };
}

/** A record of strings as a list of pairs. */
export const textRecord: WireField<Readonly<Record<string, string>>> = {
    toWire: record => Object.entries(record).map(([name, value]) => ({ name, value: text.toWire(value) })),
    fromWire: wire =>
        Object.fromEntries(
            list(shape<{ name: string; value: string; }>({ name: text, value: text })).fromWire(wire)
                .map(({ name, value }) => [name, value]),
        ),
};

/** A message with the given fields. Missing optional properties stay missing. */
export function shape<T extends object>(fields: WireFields<T>): WireField<T> {
    const names = Object.keys(fields);
    const members = Object.values(fields) as WireField<unknown>[];
    // One handler around the loop and no closure per field: reports of many workspaces are converted on every tick.
    const convert = (source: unknown, direction: keyof WireField<unknown>): Record<string, unknown> => {
        if (!isObject(source)) throw new WireError("is missing");
        const result: Record<string, unknown> = {};
        let index = 0;
        try {
            for (; index < names.length; index += 1) {
                const name = names[index] as string;
                const value = (members[index] as WireField<unknown>)[direction](
                    (source as Record<string, unknown>)[name],
                );
                if (value !== undefined) result[name] = value;
            }
        }
        catch (error) {
            throw error instanceof WireError ? new WireError(`${names[index]} ${error.message}`) : error;
        }
        return result;
    };
    return { toWire: value => convert(value, "toWire"), fromWire: wire => convert(wire, "fromWire") as T };
}
