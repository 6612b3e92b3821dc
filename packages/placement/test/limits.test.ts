/** Limits over time: repeats, sends to cold targets, what a router starts alone, and shares of workspaces. */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { computeMaxMinLevel, createFairShareTracker } from "../src/createFairShareTracker.js";
import { createLocalTokenBucket } from "../src/createLocalTokenBucket.js";
import { createRetryBudget } from "../src/createRetryBudget.js";
import { createSendRateLimiter } from "../src/createSendRateLimiter.js";

// Pattern: `srv_grey`: any span of the window counts, not only aligned ones.
test("in no span of the window are there more repeats than a fifth of the requests and the reserve", () => {
    const windowMs = 1_000;
    const budget = createRetryBudget(() => ({ windowMs, ratio: 0.2, reserve: 4 }));
    const requests: number[] = [];
    const repeats: number[] = [];
    for (let now = 0; now < 10_000; now += 10) {
        // Requests come in bursts, and every one of them fails.
        if (Math.floor(now / 700) % 2 === 0) {
            budget.recordRequest(now);
            requests.push(now);
        }
        if (budget.tryTakeRetry(now)) repeats.push(now);
    }
    const countWithin = (times: readonly number[], end: number): number =>
        times.filter(at => at > end - windowMs && at <= end).length;
    for (const end of repeats)
        assert.ok(countWithin(repeats, end) <= 0.2 * countWithin(requests, end) + 4, `at ${end}`);
    assert.ok(repeats.length > 40);
});

// Pattern: `cold_return`.
test("in no second are there more sends to a target than allowed", () => {
    const limit = createSendRateLimiter();
    const sends: number[] = [];
    for (let now = 0; now < 5_000; now += 7) if (limit.tryTake("t1", 9, now)) sends.push(now);
    for (const end of sends) assert.ok(sends.filter(at => at > end - 1_000 && at <= end).length <= 9, `at ${end}`);
    assert.ok(sends.length >= 36, `${sends.length}`);
    assert.ok(limit.hasCapacity("t2", 1, 5_000));
});

test("an allowance starts with a burst, lets one large request overdraw, and refills at its rate", () => {
    const allowance = createLocalTokenBucket({ getRate: () => 40, getBurstMs: () => 200, random: () => 0 });
    assert.ok(allowance.tryTake(12_000, 0));
    assert.not.ok(allowance.tryTake(100, 50));
    // 4,000 tokens overdrawn at 40 a millisecond.
    assert.not.ok(allowance.tryTake(100, 100));
    assert.ok(allowance.tryTake(100, 101));
});

test("an unused allowance does not grow beyond its burst", () => {
    const allowance = createLocalTokenBucket({ getRate: () => 40, getBurstMs: () => 200, random: () => 0 });
    let taken = 0;
    while (allowance.tryTake(1_000, 60_000)) taken += 1_000;
    assert.is(taken, 8_000);
});

// Pattern: `kill_all` at the end of trouble-3 of kaurimbi-press: 19 routers started 359,000 tokens within 250 ms at six
// engines that read 105,000 in that time, and first events took 720 ms for the next second.
test("routers that lose their coordinator together start what their engines can read", () => {
    const rate = 420 / 19;
    const generator = xoroshiro128plus(7);
    const random = (): number => uniformFloat64(generator);
    const allowances = Array.from(
        { length: 19 },
        () => createLocalTokenBucket({ getRate: () => rate, getBurstMs: () => 195, random }),
    );
    let early = 0;
    let taken = 0;
    for (let now = 0; now < 2_000; now += 10) {
        for (const allowance of allowances) if (allowance.tryTake(12_000, now)) taken += 12_000;
        if (now === 240) early = taken;
    }
    // The burst and what engines read meanwhile, and half as much more for chance.
    assert.ok(early <= 1.5 * 420 * (195 + 240), `${early} tokens`);
    assert.ok(taken >= 0.9 * 420 * 2_000 && taken <= 1.2 * 420 * 2_195, `${taken} tokens`);
});

const levels: readonly (readonly [asked: readonly number[], capacity: number, level: number])[] = [
    [[10, 20, 30], 100, 30],
    [[10, 100, 100], 100, 45],
    [[100, 100], 100, 50],
    [[5, 5, 500], 100, 90],
    [[], 100, Infinity],
];

for (const [asked, capacity, level] of levels) {
    test(`the max-min level of ${asked.join(", ")} in ${capacity} is ${level}`, () => {
        assert.is(computeMaxMinLevel(asked, capacity), level);
    });
}

// Pattern: `hot_tenant`: one workspace asks for many times its usual, and another one gets less than it asks for.
test("a workspace that has more than an even part while another one waits is beyond its share", () => {
    const ledger = createFairShareTracker({ windowMs: 4_000, getCapacity: () => 4_500 });
    for (let now = 0; now < 4_000; now += 10) {
        ledger.recordDemand("flood", 30, now);
        ledger.recordAdmitted("flood", 10, now);
        ledger.recordDemand("usual", 7.5, now);
        if (now % 60 === 0) ledger.recordAdmitted("usual", 7.5, now);
    }
    // Of 4,500, which both ask for more than half of, each may have 2,250.
    assert.ok(ledger.getUsedRatio("flood", 3_990) > 1.7);
    assert.ok(ledger.getUsedRatio("usual", 3_990) < 0.25);
});

test("a workspace that takes what others leave is not beyond its share", () => {
    const ledger = createFairShareTracker({ windowMs: 4_000, getCapacity: () => 4_000 });
    for (let now = 0; now < 4_000; now += 10) {
        ledger.recordDemand("flood", 30, now);
        ledger.recordAdmitted("flood", 8, now);
        ledger.recordDemand("small", 1, now);
        ledger.recordAdmitted("small", 1, now);
    }
    assert.ok(ledger.getUsedRatio("flood", 3_990) <= 1);
});

test("what a workspace used is forgotten after the window", () => {
    const ledger = createFairShareTracker({ windowMs: 4_000, getCapacity: () => 100 });
    ledger.recordDemand("ada", 500, 0);
    ledger.recordAdmitted("ada", 90, 0);
    assert.ok(ledger.getUsedRatio("ada", 100) > 0);
    assert.is(ledger.getUsedRatio("ada", 5_000), 0);
});

test.run();
