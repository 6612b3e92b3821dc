/** Assigns the routers of a failure domain that watch the store, and those that the others ask for confirmation. */
import { rankByRendezvous } from "@rhubarbwheel/membership/chooseByRendezvous";
import type { Member, RouterIdentity } from "@rhubarbwheel/types/slices";

import { confirmationFanout, suspectAfterMs, watchersPerDomain } from "./configurationSettings.js";
import type { StoreRole } from "./createStoreRequestScheduler.js";

export interface DomainRoles {
    readonly isWatcher: boolean;
    /** Routers to ask for confirmation, which are closer to the store; empty for a watcher. */
    readonly sources: readonly string[];
}

/**
 * The routers of a failure domain form a tree in rendezvous order: the first are watchers, and each router after them
 * has a parent that it asks. No router has more than `confirmationFanout` children.
 */
export function findDomainRoles(router: string, failureDomain: string, routable: readonly Member[]): DomainRoles {
    const names = routable.filter(member => member.failureDomain === failureDomain).map(member => member.router);
    const ranked = rankByRendezvous(`watch/${failureDomain}`, names);
    const rank = ranked.indexOf(router);
    if (rank < watchersPerDomain) return { isWatcher: rank >= 0, sources: [] };
    const parent = ranked[Math.floor((rank - watchersPerDomain) / confirmationFanout)];
    return { isWatcher: false, sources: parent === undefined ? [] : [parent] };
}

export interface StoreRoles {
    /** Updates and returns the role; a router that peers do not keep current sends store requests itself. */
    readonly updateRole: (now: number, peerAgeMs: number) => StoreRole;
    readonly listSources: () => readonly string[];
}

/** Tracks the role of this router as membership changes. */
export function createStoreRoles(identity: RouterIdentity, listRoutable: () => readonly Member[]): StoreRoles {
    let routable: readonly Member[] | undefined;
    let domainRoles: DomainRoles = { isWatcher: true, sources: [] };
    let startedAt: number | undefined;

    const updateRole = (now: number, peerAgeMs: number): StoreRole => {
        startedAt ??= now;
        if (routable !== listRoutable()) {
            routable = listRoutable();
            domainRoles = findDomainRoles(identity.router, identity.failureDomain, routable);
        }
        if (domainRoles.isWatcher) return "watcher";
        return Math.min(peerAgeMs, now - startedAt) >= suspectAfterMs ? "suspect" : "none";
    };

    return { updateRole, listSources: () => domainRoles.sources };
}
