/** The targets that announced themselves in the store, and for how long an entry that vanished during an outage holds. */
import type { TargetEntry } from "@rhubarbwheel/types/fleet";

interface ListedTarget {
    readonly entry: TargetEntry;
    readonly receivedAt: number;
    /** Time until which the target counts as present although its entry has vanished. */
    lapsesAt?: number;
}

export interface TargetListOptions {
    /** Time for which an entry that vanished during an outage of the store is still used. */
    readonly removalGraceMs: number;
}

export function createTargetList(opts: TargetListOptions) {
    const targets = new Map<string, ListedTarget>();
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
    };

    /** Removes a target, or lets it lapse if its entry may have vanished only because the store was away. */
    const drop = (name: string, now: number, storeWasAway: boolean): boolean => {
        const listed = targets.get(name);
        if (listed === undefined) return false;
        if (storeWasAway && listed.entry.state === "ready") {
            listed.lapsesAt ??= now + opts.removalGraceMs;
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
        drop,
        rebuildIndex,
        getColdRemainingMs,
        listNames: () => [...targets.keys()],
        get: (name: string) => targets.get(name)?.entry,
        /** Targets of a service that are ready for work. */
        listReady: (service: string): readonly TargetEntry[] => byService.get(service) ?? [],
        listServices: () => [...byService.keys()],
        /** Drops targets whose grace has ended, and returns their names. */
        expireLapsed: (now: number): readonly string[] => {
            const expired = [...targets].filter(([, { lapsesAt }]) => lapsesAt !== undefined && lapsesAt <= now);
            for (const [name] of expired) targets.delete(name);
            if (expired.length > 0) rebuildIndex();
            return expired.map(([name]) => name);
        },
        getNextLapse: (): number => {
            let next = Infinity;
            for (const { lapsesAt } of targets.values()) next = Math.min(next, lapsesAt ?? Infinity);
            return next;
        },
    };
}

export type TargetList = ReturnType<typeof createTargetList>;
