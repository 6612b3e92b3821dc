/** Host list of the platform stand-in. A change becomes visible only after a lag. */
import type { HostEntry } from "@rhubarbwheel/types/resources";

export interface HostList {
    readonly set: (hosts: readonly HostEntry[]) => void;
    readonly setLag: (lagMs: number) => void;
    readonly read: () => readonly HostEntry[];
}

export function createHostList(opts: { readonly getNow: () => number; readonly lagMs: number; }): HostList {
    let visibleHosts: readonly HostEntry[] = [];
    let pendingChanges: { readonly visibleAt: number; readonly hosts: readonly HostEntry[]; }[] = [];
    let lagMs = opts.lagMs;
    return {
        set: hosts => pendingChanges.push({ visibleAt: opts.getNow() + lagMs, hosts }),
        setLag: newLagMs => (lagMs = newLagMs),
        read: () => {
            const now = opts.getNow();
            visibleHosts = pendingChanges.filter(change => change.visibleAt <= now).at(-1)?.hosts ?? visibleHosts;
            pendingChanges = pendingChanges.filter(change => change.visibleAt > now);
            return visibleHosts;
        },
    };
}
