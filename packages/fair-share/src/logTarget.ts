import {
    type CoordinatedTarget,
    type CoordinatorContext,
    type CoordinatorPool,
    logCoordinatorEvent,
} from "./coordinatorPool.js";
import { computeLimit } from "./targetLimits.js";

/** Logs the current state of a target, with the reason for its change. */
export function logTarget(
    context: CoordinatorContext,
    pool: CoordinatorPool,
    target: CoordinatedTarget,
    reason: string,
): void {
    logCoordinatorEvent(context, "targetChanged", {
        service: pool.name,
        target: target.spec.name,
        condition: target.condition,
        generation: target.generation,
        limit: computeLimit(pool, target),
        reason,
    });
}
