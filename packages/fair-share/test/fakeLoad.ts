/** Keeps requests waiting on a fake fleet, and measures how far the service of workspaces drifts apart. */
import type { Slice } from "@rhubarbwheel/types/slices";
import type { createFakeFleet } from "./fakeFleet.js";

export interface LoadPlan {
    /** Routers at which the requests of each workspace arrive. */
    readonly entries: Readonly<Record<string, readonly string[]>>;
    /** Requests that wait per workspace and router. */
    readonly depth: number;
    readonly chooseCost: () => number;
    readonly idempotent?: boolean;
}

type FakeFleet = ReturnType<typeof createFakeFleet<readonly Slice[]>>;

/** Returns a function that submits what is missing; to be called every few milliseconds. */
export function createLoad(fleet: FakeFleet, plan: LoadPlan) {
    const waiting = new Map<string, string[]>();
    return () => {
        for (const [workspace, routers] of Object.entries(plan.entries)) {
            for (const router of routers) {
                const ids = (waiting.get(workspace + router) ?? []).filter(id => !fleet.runs.has(id));
                const extra = { idempotent: plan.idempotent ?? true };
                while (ids.length < plan.depth) ids.push(fleet.submit(router, workspace, plan.chooseCost(), extra));
                waiting.set(workspace + router, ids);
            }
        }
    };
}

/** Samples the service per share, and computes the greatest change of a difference over any interval. */
export function createGapMeter(fleet: FakeFleet, shares: Readonly<Record<string, number>>) {
    const names = Object.keys(shares);
    const range = new Map<string, { low: number; high: number; }>();
    return {
        sample: () => {
            const service = names.map(name => fleet.measureService(name) / (shares[name] ?? 1));
            for (let a = 0; a < names.length; a += 1) {
                for (let b = 0; b < a; b += 1) {
                    const difference = (service[a] ?? 0) - (service[b] ?? 0);
                    const known = range.get(`${a}/${b}`) ?? { low: difference, high: difference };
                    known.low = Math.min(known.low, difference);
                    known.high = Math.max(known.high, difference);
                    range.set(`${a}/${b}`, known);
                }
            }
        },
        computeGap: () => Math.max(...[...range.values()].map(({ low, high }) => high - low)),
    };
}
