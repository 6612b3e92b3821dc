/** Targets registered in the store, with a grace period for entries that vanish in an outage of the store. */
import type { TargetEntry } from "@rhubarbwheel/types/fleet";

interface ListedTarget {
    readonly entry: TargetEntry;
    readonly receivedAt: number;
    /** End of the grace period; set once the entry has vanished from the store. */
    removeAt?: number;
}

export interface TargetListOptions {
    /** Grace period for an entry that vanished in an outage of the store. */
    readonly removalGraceMs: number;
}

export function createTargetList(opts: TargetListOptions) {
    const targets = new Map<string, ListedTarget>();
    /** Lower bound: the target whose removal was due may have been listed again. */
    let nextRemovalAt = Infinity;
    let byService = new Map<string, readonly TargetEntry[]>();

    const rebuildIndex = (): void => {
        const index = new Map<string, TargetEntry[]>();
        for (const { entry } of targets.values()) {
            if (entry.state !== "ready") continue;
            const listed = index.get(entry.service);
            if (listed === undefined) index.set(entry.service, [entry]);
            else listed.push(entry);
        }
        byService = index;
    };

    const updateNextRemoval = (): void => {
        nextRemovalAt = Infinity;
        for (const { removeAt } of targets.values()) nextRemovalAt = Math.min(nextRemovalAt, removeAt ?? Infinity);
    };

    const put = (entry: TargetEntry, now: number): void => {
        targets.set(entry.target, { entry, receivedAt: now });
    };

    /** Removes a target, or starts its grace period if the entry may have vanished only because of an outage. */
    const remove = (name: string, now: number, wasStoreUnavailable: boolean): boolean => {
        const listed = targets.get(name);
        if (listed === undefined) return false;
        if (wasStoreUnavailable && listed.entry.state === "ready") {
            listed.removeAt ??= now + opts.removalGraceMs;
            nextRemovalAt = Math.min(nextRemovalAt, listed.removeAt);
            return false;
        }
        return targets.delete(name);
    };

    const getColdRemainingMs = (name: string, now: number): number => {
        const listed = targets.get(name);
        return listed === undefined ? 0 : Math.max(0, listed.receivedAt + listed.entry.coldForMs - now);
    };

    return {
        put,
        remove,
        rebuildIndex,
        getColdRemainingMs,
        listNames: () => [...targets.keys()],
        get: (name: string) => targets.get(name)?.entry,
        /** Targets of a service in state `ready`. */
        listReady: (service: string): readonly TargetEntry[] => byService.get(service) ?? [],
        listServices: () => [...byService.keys()],
        /** Removes targets whose grace period has ended, and returns their names. */
        removeExpired: (now: number): readonly string[] => {
            if (now < nextRemovalAt) return [];
            const expired = [...targets].filter(([, { removeAt }]) => removeAt !== undefined && removeAt <= now);
            for (const [name] of expired) targets.delete(name);
            updateNextRemoval();
            if (expired.length > 0) rebuildIndex();
            return expired.map(([name]) => name);
        },
        /** Time of the next removal, or an earlier one at which there is none. */
        getNextRemovalAt: (): number => nextRemovalAt,
    };
}

export type TargetList = ReturnType<typeof createTargetList>;
