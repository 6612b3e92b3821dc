/**
 * Conversions between the TypeScript types and the objects of the generated codec. The generated codec does not check
 * values, so each conversion validates them and throws a `WireError` that names the field.
 */

/** Thrown for a value that cannot be encoded, or that was decoded but is not valid. */
export class WireError extends Error {
    override readonly name = "WireError";
}

export interface WireField<T> {
    readonly toWire: (value: T) => unknown;
    readonly fromWire: (wire: unknown) => T;
}

/** A field for each property; optional properties must use `optional`. */
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

/** An integer from 0 to 2^53 - 1; the generated codec would silently change other values. */
export const integer: WireField<number> = { toWire: readInteger, fromWire: readInteger };

function createField<T>(isValid: (value: unknown) => value is T, expected: string): WireField<T> {
    const check = (value: unknown): T => {
        if (isValid(value)) return value;
        throw new WireError(`is not ${expected}`);
    };
    return { toWire: check, fromWire: check };
}

export const double = createField((value): value is number => typeof value === "number", "a number");
export const string = createField((value): value is string => typeof value === "string", "a string");
export const boolean = createField((value): value is boolean => typeof value === "boolean", "a boolean");
export const bytes = createField((value): value is Uint8Array => value instanceof Uint8Array, "a byte array");

/** A string union, encoded as an enum: value `n` of the enum is `values[n - 1]`, and 0 is not valid. */
export function stringEnum<T extends string>(values: readonly T[]): WireField<T> {
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

/** An optional property. The generated codec represents an omitted field by a null property of the prototype. */
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

/** A list wrapped in a message, so that an omitted list can be distinguished from an empty one. */
export function wrappedList<T>(field: WireField<T>): WireField<readonly T[]> {
    const wrapped = struct<{ readonly values: readonly T[]; }>({ values: list(field) });
    return {
        toWire: values => wrapped.toWire({ values }),
        fromWire: wire => wrapped.fromWire(wire).values,
    };
}

/** A record of strings, encoded as a list of name and value pairs. */
export const stringRecord: WireField<Readonly<Record<string, string>>> = {
    toWire: record => Object.entries(record).map(([name, value]) => ({ name, value: string.toWire(value) })),
    fromWire: wire =>
        Object.fromEntries(
            list(struct<{ name: string; value: string; }>({ name: string, value: string })).fromWire(wire)
                .map(({ name, value }) => [name, value]),
        ),
};

/** A message with the given fields; omitted optional properties remain omitted. */
export function struct<T extends object>(fields: WireFields<T>): WireField<T> {
    const fieldNames = Object.keys(fields);
    const memberFields = Object.values(fields) as WireField<unknown>[];
    // One try block around the loop and no closure per field, because large pool reports are converted on every tick.
    const convert = (source: unknown, direction: keyof WireField<unknown>): Record<string, unknown> => {
        if (!isObject(source)) throw new WireError("is missing");
        const result: Record<string, unknown> = {};
        let index = 0;
        try {
            for (; index < fieldNames.length; index += 1) {
                const name = fieldNames[index] as string;
                const value = (memberFields[index] as WireField<unknown>)[direction](
                    (source as Record<string, unknown>)[name],
                );
                if (value !== undefined) result[name] = value;
            }
        }
        catch (error) {
            throw error instanceof WireError ? new WireError(`${fieldNames[index]} ${error.message}`) : error;
        }
        return result;
    };
    return { toWire: value => convert(value, "toWire"), fromWire: wire => convert(wire, "fromWire") as T };
}
