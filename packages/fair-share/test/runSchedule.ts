/** Runs a fleet under load with a schedule of failures, and counts violations of the guarantees. */
import type { Effect } from "@rhubarbwheel/types/effects";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { createEntryQueue } from "../src/createEntryQueue.js";
import { createPoolCoordinator } from "../src/createPoolCoordinator.js";
import { createFakeFleet, type SliceOptions } from "./fakeFleet.js";

const createSlices = (opts: SliceOptions) => [createEntryQueue(opts), createPoolCoordinator(opts)] as const;
export const routerNames = ["r0", "r1", "r2", "r3", "r4"];
export const targetNames = ["t0", "t1", "t2", "t3"];
const targets = targetNames.map((name, at) => ({ name, address: `http://${name}`, failureDomain: `fd${at}` }));
const spec = { kind: "model" as const, targets, targetLimit: 8, coldLimit: 2, warmUpRequests: 2 };
const workspaces = Object.fromEntries(
    ["a", "b", "c"].map((name, at) => [name, { share: at + 1, credentialHashes: [] }]),
);
/** Arrivals per 1,000 steps of 5 ms: about 0.78 of the capacity of four warm targets. */
const arrivalsPerMille = 750;

export type Fleet = ReturnType<typeof createFleet>;

export interface ScheduledFailure {
    readonly at: number;
    readonly run: (fleet: Fleet) => void;
}

export interface ScheduleOptions {
    readonly seed: number;
    readonly failures: readonly ScheduledFailure[];
    readonly lossPercent?: number;
    readonly duplicatePercent?: number;
    /** Time of the last arrival, after which all requests must end. */
    readonly loadUntilMs: number;
}

function createFleet(opts: ScheduleOptions) {
    const service = { name: "proofs", version: 1, spec };
    return createFakeFleet({ routers: routerNames.length, service, workspaces, createSlices, ...opts });
}

function listOutcomes(effects: readonly Effect[]): Map<string, string[]> {
    const outcomes = new Map<string, string[]>();
    for (const effect of effects) {
        if (effect.type !== "raise" || effect.event.type !== "requestEnded") continue;
        const { requestId, outcome } = effect.event;
        outcomes.set(requestId, [...outcomes.get(requestId) ?? [], outcome]);
    }
    return outcomes;
}

export function runSchedule(opts: ScheduleOptions) {
    const fleet = createFleet(opts);
    const random = xoroshiro128plus(opts.seed);
    const choose = <T>(list: readonly T[]) => list[uniformInt(random, 0, list.length - 1)] as T;
    const failures = [...opts.failures].sort((a, b) => a.at - b.at);
    const lostWithRouter = new Set<string>();
    const ids: string[] = [];
    fleet.run(opts.loadUntilMs + 20_000, () => {
        const now = fleet.getNow();
        while (failures[0] !== undefined && failures[0].at <= now) failures.shift()?.run(fleet);
        if (now % 5 > 0 || now >= opts.loadUntilMs || uniformInt(random, 1, 1000) > arrivalsPerMille) return;
        const router = choose(routerNames);
        const extra = { idempotent: uniformInt(random, 1, 10) <= 7 };
        const id = fleet.submit(router, choose(["a", "b", "c"]), uniformInt(random, 20, 320), extra);
        if (fleet.isAlive(router)) ids.push(id);
    });
    const outcomes = listOutcomes(fleet.effects);
    for (const id of ids) if (!fleet.isSameProcess(id)) lostWithRouter.add(id);
    const countRuns = (id: string) => fleet.runCounts.get(id) ?? 0;
    return {
        fleet,
        requests: ids.length,
        complete: ids.filter(id => outcomes.get(id)?.[0] === "complete").length,
        /** Time over the limit, summed over targets. */
        overshootMs: fleet.state.targets.overshootMs,
        overshoot: fleet.state.targets.overshoot,
        retriedNonIdempotent: ids.filter(id => !fleet.requests.get(id)?.request.idempotent && countRuns(id) > 1).length,
        incorrectNotRun: ids.filter(id => outcomes.get(id)?.includes("notRun") && countRuns(id) > 0).length,
        endedTwice: ids.filter(id => (outcomes.get(id)?.length ?? 0) > 1).length,
        notEnded: ids.filter(id => !outcomes.has(id) && !lostWithRouter.has(id)).length,
    };
}
