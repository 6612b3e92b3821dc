/** Selects the new targets that get the canaries of a rollout. */
import { rankByRendezvous } from "@rhubarbwheel/membership/chooseByRendezvous";
import type { TargetEntry } from "@rhubarbwheel/types/fleet";

/** Rank of each target within its failure domain, for targets in rendezvous order. */
function rankWithinDomains(ranked: readonly TargetEntry[]): readonly { entry: TargetEntry; rank: number; }[] {
    const counts = new Map<string, number>();
    return ranked.map(entry => {
        const rank = counts.get(entry.failureDomain) ?? 0;
        counts.set(entry.failureDomain, rank + 1);
        return { entry, rank };
    });
}

/**
 * The new targets that get the canaries: by rendezvous on the service, so that they stay the same, and so few that each
 * has about the load of an old target. `canaryShare`: share of the requests during a burst, `canaryBurstShare`. They are
 * in as many failure domains as possible: the loss of one must not look like a fault of the version.
 */
export function computeCanaryTargets(
    oldCount: number,
    newTargets: readonly TargetEntry[],
    canaryShare: number,
): readonly TargetEntry[] {
    const count = Math.max(1, Math.round(oldCount * canaryShare));
    if (newTargets.length <= count) return newTargets;
    const entries = new Map(newTargets.map(entry => [entry.target, entry]));
    const ranked = rankByRendezvous(newTargets[0]!.service, [...entries.keys()]).flatMap(name =>
        entries.get(name) ?? []
    );
    return rankWithinDomains(ranked)
        .toSorted((left, right) => left.rank - right.rank)
        .slice(0, count)
        .map(({ entry }) => entry);
}
