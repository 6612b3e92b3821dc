/**
 * This router's view of the platform's host list. Watchers read the list itself. Other routers learn from digests
 * whether their set of leaving targets is current, and request the names only when the hash differs.
 */
import { hashText } from "@rhubarbwheel/membership/hashText";
import type { HostListDigest } from "@rhubarbwheel/types/peer-messages";
import type { HostEntry } from "@rhubarbwheel/types/resources";

export interface HostView {
    /** Applies a list that this router has read itself. */
    readonly applyList: (hosts: readonly HostEntry[], asOf: number) => void;
    /** Applies a digest acknowledging a probe sent at `sentAt`; returns whether the names must be requested. */
    readonly applyDigest: (digest: HostListDigest, sentAt: number) => boolean;
    /** Applies the names of leaving targets, if they match the hash for which they were requested. */
    readonly applyLeaving: (leaving: readonly string[]) => void;
    readonly isLeaving: (target: string) => boolean;
    readonly listLeaving: () => readonly string[];
    readonly getLeavingHash: () => number;
    readonly getAgeMs: (now: number) => number;
    /** Whether this router has read the list itself, so that membership knows the listed routers. */
    readonly hasList: () => boolean;
    /** Number of routers according to the latest digest from a peer; `undefined` if there was none. */
    readonly getReportedRouterCount: () => number | undefined;
    readonly getDigest: (now: number, ownCount: number) => HostListDigest | undefined;
}

const hashNames = (names: readonly string[]) => hashText(names.join("\n"));

export function createHostView(): HostView {
    let leaving: ReadonlySet<string> = new Set();
    let leavingHash = hashNames([]);
    let asOf = -Infinity;
    let hasList = false;
    let reportedRouterCount: number | undefined;
    let pending: { readonly hash: number; readonly asOf: number; } | undefined;

    const setLeaving = (names: readonly string[], hash: number, time: number) => {
        leaving = new Set(names);
        leavingHash = hash;
        asOf = time;
    };

    const applyDigest = (digest: HostListDigest, sentAt: number): boolean => {
        const peerAsOf = sentAt - digest.ageMs;
        if (peerAsOf <= asOf) return false;
        reportedRouterCount = digest.routerCount;
        if (digest.leavingHash === leavingHash) {
            asOf = peerAsOf;
            return false;
        }
        pending = { hash: digest.leavingHash, asOf: peerAsOf };
        return true;
    };

    const applyLeaving = (names: readonly string[]) => {
        const hash = hashNames(names);
        if (pending?.hash !== hash || pending.asOf <= asOf) return;
        setLeaving(names, hash, pending.asOf);
        pending = undefined;
    };

    return {
        applyList: (hosts, time) => {
            const targets = hosts.filter(host => host.role === "target" && host.state === "leaving");
            const names = targets.map(host => host.name).sort();
            hasList = true;
            if (time >= asOf) setLeaving(names, hashNames(names), time);
        },
        applyDigest,
        applyLeaving,
        isLeaving: target => leaving.has(target),
        listLeaving: () => [...leaving],
        getLeavingHash: () => leavingHash,
        getAgeMs: now => now - asOf,
        hasList: () => hasList,
        getReportedRouterCount: () => reportedRouterCount,
        getDigest: (now, ownCount) => {
            const routerCount = hasList ? ownCount : reportedRouterCount;
            if (routerCount === undefined || asOf === -Infinity) return undefined;
            return { ageMs: now - asOf, routerCount, leavingHash };
        },
    };
}
