/**
 * Guards G3: on seeded schedules of failures, loss and duplication, the requests in progress at a target never exceed its
 * limit, nor its cold limit while it is cold. Partitions and pauses, where an overshoot may last for the lag of the load
 * reports, are covered by the failure tables.
 */
import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { type Fleet, routerNames, runSchedule, targetNames } from "./runSchedule.js";

const runs = Number(process.env.RUNS ?? 30);
/** Failures that need a router or target name, by kind. */
const apply: Readonly<Record<string, (fleet: Fleet, router: string, target: string) => void>> = {
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
    kind: fc.constantFrom(...Object.keys(apply)),
    router: fc.constantFrom(...routerNames),
    target: fc.constantFrom(...targetNames),
});

test("limits hold, and outcomes are accurate, on any schedule of failures", () => {
    const schedule = fc.record({
        seed: fc.integer({ min: 1, max: 1_000_000 }),
        failures: fc.array(failure, { maxLength: 8 }),
        lossPercent: fc.integer({ min: 0, max: 20 }),
        duplicatePercent: fc.integer({ min: 0, max: 20 }),
    });
    fc.assert(
        fc.property(schedule, opts => {
            const { overshootMs, repeatedNonIdempotent, wrongNotRun, endedTwice } = runSchedule({
                ...opts,
                failures: opts.failures.map(({ at, kind, router, target }) => ({
                    at,
                    run: fleet => apply[kind]?.(fleet, router, target),
                })),
                loadUntilMs: 14_000,
            });
            assert.equal({ overshootMs, repeatedNonIdempotent, wrongNotRun, endedTwice }, {
                overshootMs: 0,
                repeatedNonIdempotent: 0,
                wrongNotRun: 0,
                endedTwice: 0,
            });
        }),
        { seed: 4, numRuns: runs },
    );
});

test.run();
