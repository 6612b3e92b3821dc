/** Shuffles `items` with random numbers in [0, 1) from `random`. */
export function shuffleInPlace<T>(items: T[], random: () => number): void {
    for (let index = items.length - 1; index > 0; index--) {
        const other = Math.floor(random() * (index + 1));
        const item = items[index] as T;
        items[index] = items[other] as T;
        items[other] = item;
    }
}
