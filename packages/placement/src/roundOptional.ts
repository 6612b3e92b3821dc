/** Rounds a figure for the log, if there is one. */
export function roundOptional(value: number | undefined, digits: number): number | undefined {
    return value === undefined ? undefined : Number(value.toFixed(digits));
}
