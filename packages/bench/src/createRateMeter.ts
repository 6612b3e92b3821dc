/** Counts service in intervals of a fixed length, to find the worst interval of a period. */
export function createRateMeter(intervalMs: number, getNow: () => number) {
    const counts = new Map<number, number>();
    const toInterval = (atMs: number) => Math.floor(atMs / intervalMs);
    return {
        add: (amount: number) => {
            const interval = toInterval(getNow());
            counts.set(interval, (counts.get(interval) ?? 0) + amount);
        },
        /** Amounts of the whole intervals between two times. */
        listBetween: (fromMs: number, untilMs: number): readonly number[] => {
            const first = Math.ceil(fromMs / intervalMs);
            const last = toInterval(untilMs);
            return Array.from({ length: Math.max(0, last - first) }, (_, index) => counts.get(first + index) ?? 0);
        },
    };
}
