/** Sets an entry of a map that would otherwise grow with every target that ever was; the oldest entry makes room. */
export function setBounded<K, V>(map: Map<K, V>, key: K, value: V, maxSize: number): void {
    if (!map.has(key) && map.size >= maxSize) {
        const [oldest] = map.keys();
        if (oldest !== undefined) map.delete(oldest);
    }
    map.set(key, value);
}
