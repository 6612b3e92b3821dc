/** Measures how unevenly the requests of each coordinated pool are spread over its targets, and logs a wide spread. */
import type { FleetView } from "@rhubarbwheel/fleet-view/createFleetView";
import type { LogEffect } from "@rhubarbwheel/types/effects";
import { coordinatorLogEvents } from "./coordinatorLogEvents.js";
import type { PoolModel } from "./createPoolModel.js";

/** Load of one target, as the pool model estimates it. */
export interface TargetLoad {
    readonly target: string;
    /** Requests in flight, including those that the target reports and this router does not know of. */
    readonly requests: number;
    /** Time that work takes on the target's host, compared with the usual. */
    readonly paceRatio: number;
}

export interface LoadSpread {
    readonly targets: number;
    readonly meanRequests: number;
    readonly busiest: TargetLoad;
    /** Requests at the busiest target divided by the mean; 1 if the pool has almost no requests. */
    readonly busiestRatio: number;
}

export interface LoadSpreadMeter {
    /** Spread of the requests over the usable targets of each pool, by service. */
    readonly measure: (now: number) => ReadonlyMap<string, LoadSpread>;
    /** Returns log effects for the pools whose spread is wide, each at most once per interval. */
    readonly check: (spreads: ReadonlyMap<string, LoadSpread>, now: number) => LogEffect[];
}

/** Requests per target below which one request more is a wide spread by itself. */
const minMeanRequests = 2;

/** Ratio at which the spread is logged; engines with cached parts in demand were at up to 1.85 on full-size days. */
const unevenRatio = 2;

const logIntervalMs = 10_000;

/** `undefined` for a pool without targets. */
export function computeLoadSpread(loads: readonly TargetLoad[]): LoadSpread | undefined {
    const [first] = loads;
    if (first === undefined) return undefined;
    let busiest = first;
    let sum = 0;
    for (const load of loads) {
        sum += load.requests;
        if (load.requests > busiest.requests) busiest = load;
    }
    const meanRequests = sum / loads.length;
    const busiestRatio = meanRequests < minMeanRequests ? 1 : busiest.requests / meanRequests;
    return { targets: loads.length, meanRequests, busiest, busiestRatio };
}

export function createLoadSpreadMeter(
    pools: ReadonlyMap<string, { readonly model: PoolModel; }>,
    view: FleetView,
): LoadSpreadMeter {
    const loggedAt = new Map<string, number>();

    return {
        measure: now => {
            const spreads = new Map<string, LoadSpread>();
            for (const [service, { model }] of pools) {
                const spread = model.getLoadSpread(view.listUsableTargets(service), now);
                if (spread !== undefined) spreads.set(service, spread);
            }
            return spreads;
        },
        check: (spreads, now) => {
            const effects: LogEffect[] = [];
            for (const [service, { targets, meanRequests, busiest, busiestRatio }] of spreads) {
                if (busiestRatio < unevenRatio || now - (loggedAt.get(service) ?? -Infinity) < logIntervalMs) continue;
                loggedAt.set(service, now);
                const fields = {
                    service,
                    targets,
                    target: busiest.target,
                    requests: Math.round(busiest.requests),
                    meanRequests: Number(meanRequests.toFixed(1)),
                    busiestRatio: Number(busiestRatio.toFixed(2)),
                    paceRatio: Number(busiest.paceRatio.toFixed(2)),
                };
                effects.push({ type: "log", event: coordinatorLogEvents.loadUneven, fields });
            }
            return effects;
        },
    };
}
