/**
 * Guards against overloaded targets (guarantee G3): under random schedules of failures, loss and duplication, the
 * requests in progress at a target never exceed its limit, or its cold limit while it is cold. `failures.test.ts`
 * covers partitions and pauses, where limits may be exceeded for the delay of the load reports.
 */
import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { type Fleet, routerNames, runSchedule, targetNames } from "./runSchedule.js";

const runCount = Number(process.env.RUNS ?? 30);
/** Applies a failure to a router, a target or the store, by kind. */
const applyFailure: Readonly<Record<string, (fleet: Fleet, router: string, target: string) => void>> = {
    kill: (fleet, router) => fleet.kill(router),
    restart: (fleet, router) => fleet.restart(router),
    restartTarget: (fleet, _, target) => fleet.restartTarget(target),
    stopTarget: (fleet, _, target) => fleet.restartTarget(target, false),
    closeTarget: (fleet, _, target) => fleet.closed.add(target),
    openTarget: (fleet, _, target) => fleet.closed.delete(target),
    stopStore: fleet => (fleet.store.state.up = false),
    startStore: fleet => (fleet.store.state.up = true),
};
const failure = fc.record({
    at: fc.integer({ min: 3000, max: 12_000 }),
    kind: fc.constantFrom(...Object.keys(applyFailure)),
    router: fc.constantFrom(...routerNames),
    target: fc.constantFrom(...targetNames),
});

test("limits hold and outcomes are accurate under any schedule of failures", () => {
    const schedule = fc.record({
        seed: fc.integer({ min: 1, max: 1_000_000 }),
        failures: fc.array(failure, { maxLength: 8 }),
        lossPercent: fc.integer({ min: 0, max: 20 }),
        duplicatePercent: fc.integer({ min: 0, max: 20 }),
    });
    fc.assert(
        fc.property(schedule, opts => {
            const { overshootMs, retriedNonIdempotent, incorrectNotRun, endedTwice } = runSchedule({
                ...opts,
                failures: opts.failures.map(({ at, kind, router, target }) => ({
                    at,
                    run: fleet => applyFailure[kind]?.(fleet, router, target),
                })),
                loadUntilMs: 14_000,
            });
            assert.equal({ overshootMs, retriedNonIdempotent, incorrectNotRun, endedTwice }, {
                overshootMs: 0,
                retriedNonIdempotent: 0,
                incorrectNotRun: 0,
                endedTwice: 0,
            });
        }),
        { seed: 4, numRuns: runCount },
    );
});

test.run();
