/** Index of items by integer weight that finds the heaviest item without a scan; suited to small changes of weight. */

export interface WeightIndex<T> {
    /** Sets the weight of an item, an integer; an item of weight 0 is removed. */
    readonly setWeight: (item: T, weight: number) => void;
    /** Among items of equal weight, returns the one that reached it first. */
    readonly findHeaviest: () => T | undefined;
}

/** Items of equal weight share a bucket; the cost of a change is at most linear in the change of weight. */
export function createWeightIndex<T>(): WeightIndex<T> {
    const weights = new Map<T, number>();
    const buckets = new Map<number, Set<T>>();
    let maxWeight = 0;

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
        maxWeight = Math.max(maxWeight, weight);
    };

    return {
        setWeight: (item, weight) => {
            removeItem(item);
            if (weight > 0) addItem(item, weight);
            while (maxWeight > 0 && !buckets.has(maxWeight)) maxWeight -= 1;
        },
        findHeaviest: () => {
            const [heaviest] = buckets.get(maxWeight) ?? [];
            return heaviest;
        },
    };
}
