import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";

import { runSchedule, type Step } from "./runSchedule.js";

const runCount = Number(process.env.SCHEDULE_RUNS ?? 25);
const seed = Number(process.env.SCHEDULE_SEED ?? 20_261_204);

const common = { waitMs: fc.integer({ min: 0, max: 40 }).map(tenths => tenths * 100), pick: fc.nat(1_000) };
const delayMs = fc.constantFrom(5, 50, 400, 3_000);
const step: fc.Arbitrary<Step> = fc.oneof(
    { weight: 4, arbitrary: fc.record({ ...common, type: fc.constant("accept" as const) }) },
    fc.record({ ...common, type: fc.constant("restart" as const) }),
    fc.record({ ...common, type: fc.constant("heal" as const) }),
    fc.record({ ...common, type: fc.constant("partition" as const), size: fc.integer({ min: 1, max: 8 }) }),
    fc.record({ ...common, type: fc.constant("pause" as const), durationMs: fc.constantFrom(500, 2_000, 8_000) }),
    fc.record({
        ...common,
        type: fc.constant("network" as const),
        loss: fc.constantFrom(0, 0.1, 0.3),
        delayMs,
        duplication: fc.constantFrom(0, 0.3),
    }),
    fc.record({
        ...common,
        type: fc.constant("store" as const),
        mode: fc.constantFrom(
            "up" as const,
            "down" as const,
            "hung" as const,
            "slow" as const,
            "responseLost" as const,
        ),
        scope: fc.constantFrom("all" as const, "group" as const),
    }),
);

test("faults in any order violate no guarantee of the configuration", () => {
    // Guards against decreasing versions, lost changes, and fresh routers that lack an accepted change (G4, G10).
    const property = fc.property(fc.integer(), fc.array(step, { minLength: 4, maxLength: 14 }), (fleetSeed, steps) => {
        assert.equal(runSchedule(fleetSeed, steps), []);
    });
    fc.assert(property, { numRuns: runCount, seed });
});

test.run();
