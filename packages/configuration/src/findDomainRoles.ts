/** Which routers of a failure domain watch the store, and whom the others ask for confirmation. */
import { rankByRendezvous } from "@rhubarbwheel/membership/chooseByRendezvous";
import type { Member } from "@rhubarbwheel/types/slices";

import { confirmationFanout, watchersPerDomain } from "./configurationSettings.js";

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
