/** Targets registered in the store, with a grace period for entries that lapse in an outage of the store. */
import type { TargetEntry } from "@rhubarbwheel/types/fleet";
import type { ColdNoticeMessage } from "@rhubarbwheel/types/placement";

interface ListedTarget {
    readonly entry: TargetEntry;
    readonly receivedAt: number;
}

export type ColdTarget = Pick<ColdNoticeMessage, "target" | "startedAtUnixMs" | "coldForMs">;

export function createTargetList() {
    const targets = new Map<string, ListedTarget>();
    /** Targets that are used without an entry, because it may only have lapsed. */
    const lapsed = new Set<string>();
    /** Time until which a target stays cold according to itself, which may be newer than its entry. */
    const coldUntil = new Map<string, number>();
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
        if (targets.get(entry.target)?.entry.startedAtUnixMs !== entry.startedAtUnixMs) coldUntil.delete(entry.target);
        targets.set(entry.target, { entry, receivedAt: now });
        lapsed.delete(entry.target);
    };

    const remove = (name: string): void => {
        targets.delete(name);
        lapsed.delete(name);
        coldUntil.delete(name);
    };

    const getColdRemainingMs = (name: string, now: number): number => {
        const listed = targets.get(name);
        if (listed === undefined) return 0;
        return Math.max(0, listed.receivedAt + listed.entry.coldForMs - now, (coldUntil.get(name) ?? 0) - now);
    };

    /** Records that a listed target has said that it is cold. A later start of the target is not concerned. */
    const recordCold = ({ target, startedAtUnixMs, coldForMs }: ColdTarget, now: number): void => {
        const entry = targets.get(target)?.entry;
        if (entry === undefined || entry.startedAtUnixMs !== startedAtUnixMs) return;
        coldUntil.set(target, Math.max(coldUntil.get(target) ?? 0, now + coldForMs));
    };

    return {
        put,
        recordCold,
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
