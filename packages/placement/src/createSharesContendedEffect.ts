import type { LogEffect } from "@rhubarbwheel/types/effects";
import { coordinatorLogEvents } from "./coordinatorLogEvents.js";
import type { FairShareTracker } from "./createFairShareTracker.js";

/** Creates the log effect with the totals of a pool that cannot admit all requests. */
export function createSharesContendedEffect(
    service: string,
    { level, admitted, demand, workspaces }: ReturnType<FairShareTracker["getTotals"]>,
): LogEffect {
    const fields = {
        service,
        level: Math.round(level),
        admitted: Math.round(admitted),
        demand: Math.round(demand),
        workspaces,
    };
    return { type: "log", event: coordinatorLogEvents.sharesContended, fields };
}
