/** Guards G3, G6, G7 and G11 against each failure of the design page: a schedule, and how long limits may be exceeded. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { type Fleet, routerNames, runSchedule, type ScheduledFailure } from "./runSchedule.js";

interface Case {
    readonly failures: readonly (readonly [number, (fleet: Fleet) => void])[];
    readonly lossPercent?: number;
    readonly duplicatePercent?: number;
    /** Longest sum over targets of the time over their limits. */
    readonly overshootMs?: number;
}

const minority = ["r0", "r1"];
// Each side of a partition sees the other's requests with the next load report only: four targets, polled each 500 ms.
const partitionMs = 4 * 500;

const cases: Readonly<Record<string, Case>> = {
    "no failure": { failures: [] },
    "the coordinator is killed": {
        failures: [[8000, fleet => fleet.kill("r0")], [14_000, fleet => fleet.restart("r0")]],
    },
    "an entry router is killed": { failures: [[8000, fleet => fleet.kill("r3")]] },
    "the coordinator restarts before anyone notices": { failures: [[8000, fleet => fleet.restart("r0")]] },
    "an entry router restarts before anyone notices": { failures: [[8000, fleet => fleet.restart("r3")]] },
    "reports and announcements are lost": { failures: [], lossPercent: 20 },
    "reports and announcements are repeated late": { failures: [], duplicatePercent: 30 },
    "a target restarts cold without warning": {
        failures: [8000, 9000, 9100].map(at => [at, fleet => fleet.restartTarget("t1")]),
    },
    "all targets restart cold": {
        failures: [0, 1, 2, 3].map(index => [8000, fleet => fleet.restartTarget(`t${index}`)]),
    },
    "a target is down for a while": {
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
    "a failure domain is taken out and returned": {
        failures: [[8000, fleet => fleet.closed.add("t2")], [12_000, fleet => fleet.closed.delete("t2")]],
    },
    "the fleet is partitioned and rejoins": {
        failures: [[8000, fleet => fleet.setSide(minority, 1)], [16_000, fleet => fleet.setSide(minority, 0)]],
        overshootMs: partitionMs,
    },
    "a target restarts cold in a partition": {
        failures: [
            [8000, fleet => fleet.setSide(minority, 1)],
            [12_000, fleet => fleet.restartTarget("t1")],
            [18_000, fleet => fleet.setSide(minority, 0)],
        ],
        overshootMs: partitionMs,
    },
};

for (const [name, { failures, overshootMs = 0, ...rest }] of Object.entries(cases)) {
    test(name, () => {
        const list = failures.map(([at, run]): ScheduledFailure => ({ at, run }));
        const found = runSchedule({ seed: 11, failures: list, loadUntilMs: 24_000, ...rest });
        const { fleet, ...summary } = found;
        if (process.env.PRINT !== undefined) console.log(name, JSON.stringify(summary));
        assert.ok(found.overshootMs <= overshootMs, `over a limit for ${found.overshootMs} ms, by ${found.overshoot}`);
        assert.is(found.repeatedNonIdempotent, 0);
        assert.is(found.wrongNotRun, 0);
        assert.is(found.endedTwice, 0);
        assert.is(found.notEnded, 0);
        // No capacity is lost: in the end, one coordinator has all targets and no slot is counted as taken.
        const statuses = routerNames.filter(fleet.isAlive).flatMap(router => fleet.getSlices(router)[1].listTargets());
        assert.is(statuses.length, 4);
        assert.ok(statuses.every(status => status.limit > 0), JSON.stringify(statuses));
    });
}

test.run();
