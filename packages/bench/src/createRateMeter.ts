/** Sums service per interval of fixed length, to find the lowest rate in a period. */
export function createRateMeter(intervalMs: number, getNow: () => number) {
    const sums = new Map<number, number>();
    const getInterval = (atMs: number) => Math.floor(atMs / intervalMs);
    return {
        add: (amount: number) => {
            const interval = getInterval(getNow());
            sums.set(interval, (sums.get(interval) ?? 0) + amount);
        },
        /** Sums of the complete intervals between two times. */
        listBetween: (fromMs: number, untilMs: number): readonly number[] => {
            const first = Math.ceil(fromMs / intervalMs);
            const last = getInterval(untilMs);
            return Array.from({ length: Math.max(0, last - first) }, (_, index) => sums.get(first + index) ?? 0);
        },
    };
}
