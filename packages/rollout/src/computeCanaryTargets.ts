/** Selects the new targets that get the canaries of a rollout. */
import { rankByRendezvous } from "@rhubarbwheel/membership/chooseByRendezvous";
import type { TargetEntry } from "@rhubarbwheel/types/fleet";

/**
 * The new targets that get the canaries: by rendezvous on the service, so that they stay the same, and so few that each
 * has about the load of an old target. `canaryShare`: share of the requests during a burst, `canaryBurstShare`.
 */
export function computeCanaryTargets(
    oldCount: number,
    newTargets: readonly TargetEntry[],
    canaryShare: number,
): readonly TargetEntry[] {
    const count = Math.max(1, Math.round(oldCount * canaryShare));
    if (newTargets.length <= count) return newTargets;
    const entries = new Map(newTargets.map(entry => [entry.target, entry]));
    const ranked = rankByRendezvous(newTargets[0]!.service, [...entries.keys()]);
    return ranked.slice(0, count).flatMap(target => entries.get(target) ?? []);
}
