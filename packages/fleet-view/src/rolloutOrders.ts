/** What an order and its status say about the versions of a service. */
import type { RolloutEntry, RolloutPhase, RolloutStatus } from "@rhubarbwheel/types/rollout";

/** Status of this order. One with another version is left from an earlier order that was replaced in place. */
export function getOwnStatus({ status, targetVersion }: RolloutEntry): RolloutStatus | undefined {
    return status?.targetVersion === targetVersion ? status : undefined;
}

/** Phase of a running order; `undefined` for one that has ended. An order without a status is observed. */
export function getRunningPhase(order: RolloutEntry): RolloutPhase | undefined {
    const status = getOwnStatus(order);
    if (status === undefined) return "observing";
    return status.state === "running" ? status.phase ?? "observing" : undefined;
}

/** Whether both are states of one order. An order that has ended and loses its status was written again. */
export function isSameOrder(before: RolloutEntry, after: RolloutEntry): boolean {
    const hasRestarted = getRunningPhase(before) === undefined && getRunningPhase(after) !== undefined;
    return before.createdRevision === after.createdRevision && before.targetVersion === after.targetVersion
        && !hasRestarted;
}

/** Versions that must not be used after the end of an order. One that is replaced or removed has been rolled back. */
export function listForbiddenVersions(status: Pick<RolloutStatus, "state" | "targetVersion" | "replacedVersions">) {
    return status.state === "completed" ? status.replacedVersions : [status.targetVersion];
}
