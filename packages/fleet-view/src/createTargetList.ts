/** Targets registered in the store, with a grace period for entries that lapse in an outage of the store. */
import type { TargetEntry } from "@rhubarbwheel/types/fleet";

interface ListedTarget {
    readonly entry: TargetEntry;
    readonly receivedAt: number;
}

export function createTargetList() {
    const targets = new Map<string, ListedTarget>();
    /** Targets that are used without an entry, because it may only have lapsed. */
    const lapsed = new Set<string>();
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

    const put = (entry: TargetEntry, now: number): void => {
        targets.set(entry.target, { entry, receivedAt: now });
        lapsed.delete(entry.target);
    };

    const remove = (name: string): void => {
        targets.delete(name);
        lapsed.delete(name);
    };

    const getColdRemainingMs = (name: string, now: number): number => {
        const listed = targets.get(name);
        return listed === undefined ? 0 : Math.max(0, listed.receivedAt + listed.entry.coldForMs - now);
    };

    return {
        put,
        remove,
        /** Keeps a target until its entry returns or it is removed. Returns false if it has lapsed before. */
        addLapsed: (name: string): boolean => {
            if (lapsed.has(name)) return false;
            lapsed.add(name);
            return true;
        },
        rebuildIndex,
        getColdRemainingMs,
        listNames: () => [...targets.keys()],
        listAll: (): readonly TargetEntry[] => [...targets.values()].map(({ entry }) => entry),
        get: (name: string) => targets.get(name)?.entry,
        /** Targets of a service in state `ready`. */
        listReady: (service: string): readonly TargetEntry[] => byService.get(service) ?? [],
        listServices: () => [...byService.keys()],
        hasLapsed: (): boolean => lapsed.size > 0,
        /** Removes the targets that have lapsed, and returns their names. */
        removeLapsed: (): readonly string[] => {
            const names = [...lapsed];
            names.forEach(remove);
            rebuildIndex();
            return names;
        },
    };
}

export type TargetList = ReturnType<typeof createTargetList>;
