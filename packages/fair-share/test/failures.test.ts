/**
 * Guards against exceeded limits, repeated non-idempotent requests, incorrect outcomes and lost capacity
 * (guarantees G3, G6, G7 and G11) under each failure on the design page: one schedule and permitted overshoot per case.
 */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { type Fleet, routerNames, runSchedule, type ScheduledFailure } from "./runSchedule.js";

interface Case {
    readonly failures: readonly (readonly [number, (fleet: Fleet) => void])[];
    readonly lossPercent?: number;
    readonly duplicatePercent?: number;
    /** Maximum time over the limit, summed over targets. */
    readonly overshootMs?: number;
}

const minorityRouters = ["r0", "r1"];
// A side of a partition detects the other's requests only with the next load report: four targets, polled every 500 ms.
const partitionOvershootMs = 4 * 500;

const cases: Readonly<Record<string, Case>> = {
    "no failure": { failures: [] },
    "the coordinator is killed": {
        failures: [[8000, fleet => fleet.kill("r0")], [14_000, fleet => fleet.restart("r0")]],
    },
    "an entry router is killed": { failures: [[8000, fleet => fleet.kill("r3")]] },
    "the coordinator restarts before membership detects it": { failures: [[8000, fleet => fleet.restart("r0")]] },
    "an entry router restarts before membership detects it": { failures: [[8000, fleet => fleet.restart("r3")]] },
    "reports and announcements are lost": { failures: [], lossPercent: 20 },
    "reports and announcements are duplicated with a delay": { failures: [], duplicatePercent: 30 },
    "a target restarts cold repeatedly": {
        failures: [8000, 9000, 9100].map(at => [at, fleet => fleet.restartTarget("t1")]),
    },
    "all targets restart cold": {
        failures: [0, 1, 2, 3].map(index => [8000, fleet => fleet.restartTarget(`t${index}`)]),
    },
    "a target is down for 4 s": {
        failures: [[8000, fleet => fleet.restartTarget("t1", false)], [12_000, fleet => fleet.restartTarget("t1")]],
    },
    "a target restarts cold while the store is down": {
        failures: [
            [8000, fleet => (fleet.store.state.up = false)],
            [8100, fleet => fleet.restartTarget("t1")],
            [20_000, fleet => (fleet.store.state.up = true)],
        ],
    },
    "the coordinator is killed while a target is cold": {
        failures: [[8000, fleet => fleet.restartTarget("t1")], [8020, fleet => fleet.kill("r0")]],
    },
    "the coordinator is paused for longer than its lease while a target is cold": {
        failures: [[8000, fleet => fleet.restartTarget("t1")], [8010, fleet => fleet.pause("r0", 7000)]],
    },
    "an entry router is paused and resumed": { failures: [[8000, fleet => fleet.pause("r3", 4000)]] },
    "a failure domain is taken out and put back": {
        failures: [[8000, fleet => fleet.closed.add("t2")], [12_000, fleet => fleet.closed.delete("t2")]],
    },
    "a partition of the fleet occurs and heals": {
        failures: [[8000, fleet => fleet.setPartition(minorityRouters, 1)], [
            16_000,
            fleet => fleet.setPartition(minorityRouters, 0),
        ]],
        overshootMs: partitionOvershootMs,
    },
    "a target restarts cold during a partition": {
        failures: [
            [8000, fleet => fleet.setPartition(minorityRouters, 1)],
            [12_000, fleet => fleet.restartTarget("t1")],
            [18_000, fleet => fleet.setPartition(minorityRouters, 0)],
        ],
        overshootMs: partitionOvershootMs,
    },
};

for (const [name, { failures, overshootMs = 0, ...rest }] of Object.entries(cases)) {
    test(name, () => {
        const list = failures.map(([at, run]): ScheduledFailure => ({ at, run }));
        const found = runSchedule({ seed: 11, failures: list, loadUntilMs: 24_000, ...rest });
        const { fleet, ...summary } = found;
        if (process.env.PRINT !== undefined) console.log(name, JSON.stringify(summary));
        assert.ok(found.overshootMs <= overshootMs, `over a limit for ${found.overshootMs} ms, by ${found.overshoot}`);
        assert.is(found.retriedNonIdempotent, 0);
        assert.is(found.incorrectNotRun, 0);
        assert.is(found.endedTwice, 0);
        assert.is(found.notEnded, 0);
        // No capacity is lost: at the end, one coordinator has all four targets and each has a limit above 0.
        const statuses = routerNames.filter(fleet.isAlive).flatMap(router => fleet.getSlices(router)[1].listTargets());
        assert.is(statuses.length, 4);
        assert.ok(statuses.every(status => status.limit > 0), JSON.stringify(statuses));
    });
}

test.run();
