/** Formats a number with its noun, for example `1 target` or `2 targets`. */
export function formatCount(count: number, noun: string): string {
    return `${count} ${noun}${count === 1 ? "" : "s"}`;
}
