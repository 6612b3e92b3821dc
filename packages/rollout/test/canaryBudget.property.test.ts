/** Guards against a bad version that gets more requests than the contract allows, whatever happens to coordinators. */
import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createRolloutDecider, type RolloutDecider } from "../src/createRolloutDecider.js";

const durationMs = 10_000;

const step = fc.oneof(
    {
        weight: 8,
        arbitrary: fc.record({ type: fc.constant("requests" as const), count: fc.integer({ min: 1, max: 40 }) }),
    },
    { weight: 2, arbitrary: fc.record({ type: fc.constant("return" as const) }) },
    {
        weight: 4,
        arbitrary: fc.record({
            type: fc.constant("outcome" as const),
            isNewVersion: fc.boolean(),
            result: fc.constantFrom("complete" as const, "failed" as const, "rejected" as const, "cancelled" as const),
            latencyMs: fc.integer({ min: 0, max: 3_000 }),
        }),
    },
    // Another decider takes over one of the two places, or the first one returns after a pause.
    { weight: 2, arbitrary: fc.record({ type: fc.constant("takeOver" as const) }) },
);

const schedule = fc.record({
    exposeShare: fc.double({ min: 0, max: 0.5, noNaN: true }),
    exposeSlack: fc.integer({ min: 0, max: 200 }),
    steps: fc.array(
        fc.record({ step, place: fc.constantFrom(0, 1), waitMs: fc.integer({ min: 0, max: 400 }) }),
        { maxLength: 120 },
    ),
    randoms: fc.array(fc.double({ min: 0, max: 0.999, noNaN: true }), { minLength: 1, maxLength: 20 }),
});

test("canaries of two coordinators at once, and of all that follow them, stay within the exposure bound", () => {
    fc.assert(
        fc.property(schedule, ({ exposeShare, exposeSlack, steps, randoms }) => {
            let now = 0;
            let requests = 0;
            let sent = 0;
            let randomIndex = 0;
            const returnable: number[] = [0, 0];
            const create = (): RolloutDecider =>
                createRolloutDecider({
                    durationMs,
                    elapsedMs: now,
                    phase: "observing",
                    exposeShare,
                    exposeSlack,
                    applyMs: 1_000,
                    now,
                    random: () => randoms[randomIndex++ % randoms.length]!,
                });
            const deciders = [create(), create()];
            const takeRequests = (place: number, count: number): void => {
                for (let index = 0; index < count; index++) {
                    requests++;
                    if (!deciders[place]!.tryTakeCanary(now)) continue;
                    sent++;
                    returnable[place]!++;
                    assert.ok(sent <= exposeShare * requests + exposeSlack, `${sent} of ${requests}`);
                }
            };
            for (const { step: { type, ...fields }, place, waitMs } of steps) {
                now += waitMs;
                const decider = deciders[place]!;
                if (type === "requests" && "count" in fields) takeRequests(place, fields.count);
                if (type === "return" && returnable[place]! > 0) {
                    decider.returnCanary();
                    returnable[place]!--;
                    sent--;
                }
                if (type === "outcome" && "result" in fields)
                    decider.recordOutcome({ ...fields, route: "a", isWarmingUp: false }, now);
                if (type === "takeOver") {
                    deciders[place] = create();
                    returnable[place] = 0;
                }
                decider.decide(now, 0);
            }
        }),
        { seed: 20_261_206, numRuns: 500 },
    );
});

test.run();
