/** Chooses a target of a new version if the request is to be a canary and one of them has room. */
import type { TargetEntry } from "@rhubarbwheel/types/fleet";
import type { PlacementRequest } from "@rhubarbwheel/types/placement";
import type { Choice, PoolModel } from "./createPoolModel.js";
import type { CanarySelector } from "./createRolloutCoordinator.js";

export interface CanaryOptions {
    readonly canaries: CanarySelector;
    readonly model: PoolModel;
    /** Returns the predicate of the targets that may get the request. */
    readonly createFilter: (targets: readonly TargetEntry[]) => (target: TargetEntry) => boolean;
    readonly maxWaitMs: number;
    readonly now: number;
}

export function chooseCanary(request: PlacementRequest, opts: CanaryOptions): Choice | undefined {
    const { canaries, model, maxWaitMs, now } = opts;
    const targets = canaries.takeCanaryTargets(request, now);
    if (targets.length === 0) return undefined;
    const choice = model.choose(request, { candidates: targets.filter(opts.createFilter(targets)), now, maxWaitMs });
    if (choice === undefined) canaries.returnCanary(request.service);
    return choice;
}
