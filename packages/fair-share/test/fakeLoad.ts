/** Keeps queues of a fake fleet filled, and measures the difference in service between workspaces. */
import type { Slice } from "@rhubarbwheel/types/slices";
import type { createFakeFleet } from "./fakeFleet.js";

export interface LoadOptions {
    /** Routers at which the requests of each workspace arrive. */
    readonly entryRouters: Readonly<Record<string, readonly string[]>>;
    /** Number of waiting requests per workspace and router. */
    readonly queueLength: number;
    readonly randomCost: () => number;
    readonly idempotent?: boolean;
}

type FakeFleet = ReturnType<typeof createFakeFleet<readonly Slice[]>>;

/** Returns a function that refills the queues; to be called every few milliseconds. */
export function createLoad(fleet: FakeFleet, opts: LoadOptions) {
    const waiting = new Map<string, string[]>();
    return () => {
        for (const [workspace, routers] of Object.entries(opts.entryRouters)) {
            for (const router of routers) {
                const ids = (waiting.get(workspace + router) ?? []).filter(id => !fleet.runCounts.has(id));
                const extra = { idempotent: opts.idempotent ?? true };
                while (ids.length < opts.queueLength)
                    ids.push(fleet.submit(router, workspace, opts.randomCost(), extra));
                waiting.set(workspace + router, ids);
            }
        }
    };
}

/** Samples service per share, and computes the maximum change of the difference of two workspaces over any interval. */
export function createGapMeter(fleet: FakeFleet, shares: Readonly<Record<string, number>>) {
    const names = Object.keys(shares);
    const ranges = new Map<string, { low: number; high: number; }>();
    return {
        sample: () => {
            const service = names.map(name => fleet.measureService(name) / (shares[name] ?? 1));
            for (let a = 0; a < names.length; a += 1) {
                for (let b = 0; b < a; b += 1) {
                    const difference = (service[a] ?? 0) - (service[b] ?? 0);
                    const pairRange = ranges.get(`${a}/${b}`) ?? { low: difference, high: difference };
                    pairRange.low = Math.min(pairRange.low, difference);
                    pairRange.high = Math.max(pairRange.high, difference);
                    ranges.set(`${a}/${b}`, pairRange);
                }
            }
        },
        computeGap: () => Math.max(...[...ranges.values()].map(({ low, high }) => high - low)),
    };
}
