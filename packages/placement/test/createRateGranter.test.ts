/** Load pattern: targets that accept a limited rate of requests beside others that are busy, and at all targets. */
import type { TargetEntry } from "@rhubarbwheel/types/fleet";
import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createRateGranter } from "../src/createRateGranter.js";
import { createRequestRateLimiter } from "../src/createRequestRateLimiter.js";
import { createTargets } from "./placementFixtures.js";

/** Requests within any 4 s, given the times of all. */
function countMaxInWindow(times: readonly number[]): number {
    return Math.max(0, ...times.map(start => times.filter(time => time >= start && time < start + 4_000).length));
}

// Guards against LIMIT, for any load.
test("a target gets no more than its rate and the requests of one second in any 4 s", () => {
    const step = fc.integer({ min: 0, max: 400 });
    fc.assert(
        fc.property(
            fc.double({ min: 0.25, max: 60, noNaN: true }),
            fc.array(step, { maxLength: 200 }),
            (rate, steps) => {
                const limiter = createRequestRateLimiter();
                const times: number[] = [];
                let now = 0;
                for (const ms of steps) {
                    now += ms;
                    while (limiter.hasCapacity("t", rate, now)) {
                        limiter.take("t", rate, now);
                        times.push(now);
                    }
                }
                assert.ok(countMaxInWindow(times) <= rate * 4 + Math.max(1, rate) + 1);
            },
        ),
        { seed: 20_261_205, numRuns: 300 },
    );
});

// Guards against a new coordinator that grants what the one before it has just granted.
test("a limiter that knows nothing of the past starts without capacity", () => {
    const limiter = createRequestRateLimiter();
    assert.is(limiter.hasCapacity("t", 4, 1_000), false);
    assert.is(limiter.getAvailableAt("t", 4, 1_000), 1_250);
    assert.is(limiter.hasCapacity("t", 4, 1_250), true);
});

function createGranterWith(rates: Readonly<Record<string, number>>) {
    return createRateGranter({ getRateLimit: ({ target }) => rates[target] });
}

/** Requests a target for each cost at equal intervals, takes the first that is granted, and counts the granted costs. */
function runLoad(
    granter: ReturnType<typeof createGranterWith>,
    targets: readonly TargetEntry[],
    costs: readonly number[],
): Readonly<Record<number, number>> {
    const limited = targets[0]!;
    const counts: Record<number, number> = {};
    for (let index = 0; index < 2_000; index++) {
        const now = index * 10;
        const cost = costs[index % costs.length]!;
        if (!granter.createFilter("s", targets, cost, now)(limited)) continue;
        granter.take(limited, now);
        counts[cost] = (counts[cost] ?? 0) + 1;
    }
    return counts;
}

// Guards against a limit that is used up by short prompts while the other targets are busy with long ones.
test("a limited target beside unlimited ones runs requests of a high cost, at its full rate", () => {
    const targets = createTargets(2);
    const counts = runLoad(createGranterWith({ "target-1": 5 }), targets, [100, 10_000, 100, 1_000]);
    const total = Object.values(counts).reduce((sum, count) => sum + count, 0);
    assert.ok(total >= 95, `${total} requests in 20 s`);
    assert.ok(counts[10_000]! > 0.9 * total, JSON.stringify(counts));
});

test("a limited target beside unlimited ones runs at its full rate if all requests cost the same, or little", () => {
    for (const costs of [[1], [100, 120]]) {
        const counts = runLoad(createGranterWith({ "target-1": 5 }), createTargets(2), costs);
        assert.ok(Object.values(counts).reduce((sum, count) => sum + count, 0) >= 95);
    }
});

// Guards against requests of a low cost that no target ever runs.
test("if all targets are limited, requests of each cost are granted alike", () => {
    const granter = createGranterWith({ "target-1": 5, "target-2": 5 });
    const counts = runLoad(granter, createTargets(2), [100, 10_000, 1_000]);
    for (const cost of [100, 1_000, 10_000]) assert.ok(counts[cost]! >= 20, JSON.stringify(counts));
});

test("refused callers return one by one, at the rate of the targets, as long as they can wait for their turn", () => {
    const targets = createTargets(2);
    const granter = createGranterWith({ "target-1": 4, "target-2": 4 });
    const returns = Array.from({ length: 5 }, () => granter.computeReturnMs("s", targets, 1_500, 0));
    assert.equal(returns, [250, 375, 450, 450, 450]);
    assert.is(granter.computeReturnMs("s", targets, 15_000, 0), 500);
});

test.run();
