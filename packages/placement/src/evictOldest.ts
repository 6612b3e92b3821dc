/** Removes the entries that were added first until at most `maxSize` are left. `onEvict` is called for each of them. */
export function evictOldest<Value>(
    entries: Map<string, Value>,
    maxSize: number,
    onEvict?: (key: string, value: Value) => void,
): void {
    for (const [key, value] of entries) {
        if (entries.size <= maxSize) return;
        entries.delete(key);
        onEvict?.(key, value);
    }
}
