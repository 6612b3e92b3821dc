/** Names of the entries of each kind. */
import type { ClosedDomainEntry, RouterEntry, TargetEntry, ViewEntries, ViewKind } from "@rhubarbwheel/types/fleet";
import type { RolloutEntry } from "@rhubarbwheel/types/rollout";

/** Returns the name of an entry in the store. The only entry of the configuration has none. */
export function getEntryName(kind: ViewKind, entry: ViewEntries[ViewKind]): string {
    if (kind === "targets") return (entry as TargetEntry).target;
    if (kind === "closedDomains") return (entry as ClosedDomainEntry).failureDomain;
    if (kind === "rollouts") return (entry as RolloutEntry).service;
    return kind === "routers" ? (entry as RouterEntry).router : "";
}
