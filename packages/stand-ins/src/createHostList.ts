/** The platform stand-in's list of hosts, which shows a change only after a lag. */
import type { HostEntry } from "@rhubarbwheel/types/resources";

export interface HostList {
    readonly set: (hosts: readonly HostEntry[]) => void;
    readonly setLag: (lagMs: number) => void;
    readonly read: () => readonly HostEntry[];
}

export function createHostList(opts: { readonly clock: () => number; readonly lagMs: number; }): HostList {
    let visible: readonly HostEntry[] = [];
    let pending: { readonly from: number; readonly hosts: readonly HostEntry[]; }[] = [];
    let lagMs = opts.lagMs;
    return {
        set: hosts => pending.push({ from: opts.clock() + lagMs, hosts }),
        setLag: wanted => (lagMs = wanted),
        read: () => {
            const now = opts.clock();
            visible = pending.filter(change => change.from <= now).at(-1)?.hosts ?? visible;
            pending = pending.filter(change => change.from > now);
            return visible;
        },
    };
}
