/**
 * What this router knows of the platform's host list. Watchers read the list; other routers learn from digests which
 * targets are leaving, and ask for their names only when the hash differs.
 */
import { hashText } from "@rhubarbwheel/membership/hashText";
import type { HostListDigest } from "@rhubarbwheel/types/peer-messages";
import type { HostEntry } from "@rhubarbwheel/types/resources";

export interface HostView {
    /** Takes over a list that this router read itself. */
    readonly read: (hosts: readonly HostEntry[], asOf: number) => void;
    /** Reads the digest in a peer's answer to a probe sent at `sentAt`; returns whether the names must be asked for. */
    readonly readDigest: (digest: HostListDigest, sentAt: number) => boolean;
    /** Takes over the names of leaving targets, if they are the ones that were asked for. */
    readonly readLeaving: (leaving: readonly string[]) => void;
    readonly isLeaving: (target: string) => boolean;
    readonly listLeaving: () => readonly string[];
    readonly getLeavingHash: () => number;
    readonly getAge: (now: number) => number;
    /** Whether this router has read a list itself, so that membership knows the listed routers. */
    readonly isRead: () => boolean;
    /** Number of routers according to a peer; `undefined` if no peer has told. */
    readonly getPeerCount: () => number | undefined;
    readonly getDigest: (now: number, ownCount: number) => HostListDigest | undefined;
}

const hashNames = (names: readonly string[]) => hashText(names.join("\n"));

export function createHostView(): HostView {
    let leaving: ReadonlySet<string> = new Set();
    let leavingHash = hashNames([]);
    let asOf = -Infinity;
    let isRead = false;
    let peerCount: number | undefined;
    let pending: { readonly hash: number; readonly asOf: number; } | undefined;

    const replace = (names: readonly string[], hash: number, time: number) => {
        leaving = new Set(names);
        leavingHash = hash;
        asOf = time;
    };

    const readDigest = (digest: HostListDigest, sentAt: number): boolean => {
        const peerAsOf = sentAt - digest.ageMs;
        if (peerAsOf <= asOf) return false;
        peerCount = digest.routerCount;
        if (digest.leavingHash === leavingHash) {
            asOf = peerAsOf;
            return false;
        }
        pending = { hash: digest.leavingHash, asOf: peerAsOf };
        return true;
    };

    const readLeaving = (names: readonly string[]) => {
        const hash = hashNames(names);
        if (pending?.hash !== hash || pending.asOf <= asOf) return;
        replace(names, hash, pending.asOf);
        pending = undefined;
    };

    return {
        read: (hosts, time) => {
            const targets = hosts.filter(host => host.role === "target" && host.state === "leaving");
            const names = targets.map(host => host.name).sort();
            isRead = true;
            if (time >= asOf) replace(names, hashNames(names), time);
        },
        readDigest,
        readLeaving,
        isLeaving: target => leaving.has(target),
        listLeaving: () => [...leaving],
        getLeavingHash: () => leavingHash,
        getAge: now => now - asOf,
        isRead: () => isRead,
        getPeerCount: () => peerCount,
        getDigest: (now, ownCount) => {
            const routerCount = isRead ? ownCount : peerCount;
            if (routerCount === undefined || asOf === -Infinity) return undefined;
            return { ageMs: now - asOf, routerCount, leavingHash };
        },
    };
}
