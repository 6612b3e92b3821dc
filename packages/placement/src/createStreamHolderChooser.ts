/**
 * Chooses the routers that remember the version of a stream: one in each of some failure domains, the same for each router
 * that asks, and a second one in its own, where callers return. Streams are spread over all routers, and a failure domain
 * that is lost or cut off leaves the others.
 */
import { createRendezvousChooser } from "@rhubarbwheel/membership/createRendezvousChooser";
import type { RouterEntry } from "@rhubarbwheel/types/fleet";

export interface StreamHolderChooserOptions {
    /** Failure domain of this router, which always has a holder. */
    readonly failureDomain: string;
    /** Must return the same array until a router changes. */
    readonly listRouters: () => readonly RouterEntry[];
}

/** Failure domains with a holder, beside that of the router that asks. */
const maxHolderDomains = 3;

export function createStreamHolderChooser(opts: StreamHolderChooserOptions) {
    const rendezvous = createRendezvousChooser();
    let indexed: readonly RouterEntry[] | undefined;
    let byName = new Map<string, RouterEntry>();
    let namesByDomain = new Map<string, string[]>();

    const updateIndex = (): void => {
        const routers = opts.listRouters();
        if (routers === indexed) return;
        indexed = routers;
        byName = new Map(routers.map(entry => [entry.router, entry]));
        namesByDomain = new Map();
        for (const { router, failureDomain } of routers) {
            const names = namesByDomain.get(failureDomain);
            if (names === undefined) namesByDomain.set(failureDomain, [router]);
            else names.push(router);
        }
    };

    const chooseDomains = (callerId: string): readonly string[] => {
        const remaining = [...namesByDomain.keys()];
        if (remaining.length <= maxHolderDomains) return remaining;
        const chosen: string[] = [];
        while (chosen.length < maxHolderDomains) {
            const domain = rendezvous.choose(callerId, remaining)!;
            chosen.push(domain);
            remaining.splice(remaining.indexOf(domain), 1);
        }
        const { failureDomain } = opts;
        return remaining.includes(failureDomain) ? [...chosen, failureDomain] : chosen;
    };

    return {
        /** `callerId`: id of the call that brought the first event of the stream. */
        choose: (callerId: string): readonly RouterEntry[] => {
            updateIndex();
            return chooseDomains(callerId).flatMap(domain => {
                const names = namesByDomain.get(domain) ?? [];
                const first = rendezvous.choose(callerId, names);
                const second = domain === opts.failureDomain
                    ? rendezvous.choose(callerId, names.filter(name => name !== first))
                    : undefined;
                return [first, second].flatMap(name => name === undefined ? [] : [byName.get(name)!]);
            });
        },
    };
}

export type StreamHolderChooser = ReturnType<typeof createStreamHolderChooser>;
