/** Which routers of a failure domain watch the store, and whom the others ask for confirmation. */
import { rankByRendezvous } from "@rhubarbwheel/membership/chooseByRendezvous";
import type { Member, RouterIdentity } from "@rhubarbwheel/types/slices";

import { confirmationFanout, suspectAfterMs, watchersPerDomain } from "./configurationSettings.js";
import type { CallerRole } from "./createStoreCaller.js";

export interface DomainRoles {
    readonly isWatcher: boolean;
    /** Routers with a shorter way to the store; empty for a watcher. */
    readonly sources: readonly string[];
}

/**
 * The routers of a failure domain form a tree in rendezvous order: the first are watchers, each further one asks the one
 * that comes `confirmationFanout` times earlier. So no router is asked by more than a fixed number of others.
 */
export function findDomainRoles(router: string, failureDomain: string, routable: readonly Member[]): DomainRoles {
    const names = routable.filter(member => member.failureDomain === failureDomain).map(member => member.router);
    const ranked = rankByRendezvous(`watch/${failureDomain}`, names);
    const rank = ranked.indexOf(router);
    if (rank < watchersPerDomain) return { isWatcher: rank >= 0, sources: [] };
    const parent = ranked[Math.floor((rank - watchersPerDomain) / confirmationFanout)];
    return { isWatcher: false, sources: parent === undefined ? [] : [parent] };
}

export interface Roles {
    /** A router that peers do not keep up to date calls the store itself, as a watcher does. */
    readonly choose: (now: number, peerAgeMs: number) => CallerRole;
    readonly listSources: () => readonly string[];
}

/** Follows the roles of this router as the membership changes. */
export function createRoles(identity: RouterIdentity, listRoutable: () => readonly Member[]): Roles {
    let routable: readonly Member[] | undefined;
    let domainRoles: DomainRoles = { isWatcher: true, sources: [] };
    let startedAt: number | undefined;

    const choose = (now: number, peerAgeMs: number): CallerRole => {
        startedAt ??= now;
        if (routable !== listRoutable()) {
            routable = listRoutable();
            domainRoles = findDomainRoles(identity.router, identity.failureDomain, routable);
        }
        if (domainRoles.isWatcher) return "watcher";
        return Math.min(peerAgeMs, now - startedAt) >= suspectAfterMs ? "suspect" : "none";
    };

    return { choose, listSources: () => domainRoles.sources };
}
