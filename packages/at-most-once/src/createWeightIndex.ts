/** Finds the heaviest of many items whose whole-number weights change in small steps, without a scan over all of them. */

export interface WeightIndex<T> {
    /** Sets the weight of an item, a whole number; items of weight 0 are left out. */
    readonly setWeight: (item: T, weight: number) => void;
    /** Of items with equal weight, the one that reached it first. */
    readonly findHeaviest: () => T | undefined;
}

/** Items of one weight share a bucket; the cost of a change is at most the number of weights that it steps over. */
export function createWeightIndex<T>(): WeightIndex<T> {
    const weights = new Map<T, number>();
    const buckets = new Map<number, Set<T>>();
    let greatest = 0;

    const removeItem = (item: T): void => {
        const weight = weights.get(item);
        if (weight === undefined) return;
        weights.delete(item);
        const bucket = buckets.get(weight);
        bucket?.delete(item);
        if (bucket?.size === 0) buckets.delete(weight);
    };

    const addItem = (item: T, weight: number): void => {
        weights.set(item, weight);
        const bucket = buckets.get(weight) ?? new Set();
        bucket.add(item);
        buckets.set(weight, bucket);
        greatest = Math.max(greatest, weight);
    };

    return {
        setWeight: (item, weight) => {
            removeItem(item);
            if (weight > 0) addItem(item, weight);
            while (greatest > 0 && !buckets.has(greatest)) greatest -= 1;
        },
        findHeaviest: () => {
            const [heaviest] = buckets.get(greatest) ?? [];
            return heaviest;
        },
    };
}
