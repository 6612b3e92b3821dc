/** Tests limits over time: retry budget, send rate to cold targets, local placement, and shares of workspaces. */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { computeMaxMinLevel, createFairShareTracker } from "../src/createFairShareTracker.js";
import { createLocalTokenBucket } from "../src/createLocalTokenBucket.js";
import { createRetryBudget } from "../src/createRetryBudget.js";
import { createSendRateLimiter } from "../src/createSendRateLimiter.js";

// Guards against retry storms while targets fail: the budget must hold in every window, not only in aligned ones.
test("no window contains more retries than a fifth of its requests plus the reserve", () => {
    const windowMs = 1_000;
    const budget = createRetryBudget(() => ({ windowMs, ratio: 0.2, reserve: 4 }));
    const requests: number[] = [];
    const retries: number[] = [];
    for (let now = 0; now < 10_000; now += 10) {
        // Requests arrive in bursts, and all of them fail.
        if (Math.floor(now / 700) % 2 === 0) {
            budget.recordRequest(now);
            requests.push(now);
        }
        if (budget.tryTakeRetry(now)) retries.push(now);
    }
    const countWithin = (times: readonly number[], end: number): number =>
        times.filter(at => at > end - windowMs && at <= end).length;
    for (const end of retries)
        assert.ok(countWithin(retries, end) <= 0.2 * countWithin(requests, end) + 4, `at ${end}`);
    assert.ok(retries.length > 40);
});

// Guards against overload of a cold target.
test("no second contains more sends to a target than the limit", () => {
    const rateLimiter = createSendRateLimiter();
    const sends: number[] = [];
    for (let now = 0; now < 5_000; now += 7) if (rateLimiter.tryTake("t1", 9, now)) sends.push(now);
    for (const end of sends) assert.ok(sends.filter(at => at > end - 1_000 && at <= end).length <= 9, `at ${end}`);
    assert.ok(sends.length >= 36, `${sends.length}`);
    assert.ok(rateLimiter.hasCapacity("t2", 1, 5_000));
});

test("a token bucket starts with a burst, can be overdrawn by one large request, and refills at its rate", () => {
    const bucket = createLocalTokenBucket({ getRate: () => 40, getBurstMs: () => 200, random: () => 0 });
    assert.ok(bucket.tryTake(12_000, 0));
    assert.not.ok(bucket.tryTake(100, 50));
    // Overdrawn by 4,000 tokens, which refill at 40 per millisecond.
    assert.not.ok(bucket.tryTake(100, 100));
    assert.ok(bucket.tryTake(100, 101));
});

test("an unused token bucket does not grow beyond its burst", () => {
    const bucket = createLocalTokenBucket({ getRate: () => 40, getBurstMs: () => 200, random: () => 0 });
    let taken = 0;
    while (bucket.tryTake(1_000, 60_000)) taken += 1_000;
    assert.is(taken, 8_000);
});

// Guards against overload of engines after a restart of all routers. 19 routers locally placed 359,000 prompt tokens
// within 250 ms on six engines that prefill 105,000 in that time, and first events took 720 ms for the next second.
test("routers that lose their coordinator at the same time place as much as the engines can prefill", () => {
    const rate = 420 / 19;
    const generator = xoroshiro128plus(7);
    const random = (): number => uniformFloat64(generator);
    const buckets = Array.from(
        { length: 19 },
        () => createLocalTokenBucket({ getRate: () => rate, getBurstMs: () => 195, random }),
    );
    let burstTokens = 0;
    let taken = 0;
    for (let now = 0; now < 2_000; now += 10) {
        for (const bucket of buckets) if (bucket.tryTake(12_000, now)) taken += 12_000;
        if (now === 240) burstTokens = taken;
    }
    // The burst and the prefill of the engines in that time, with a tolerance of 50% for random variation.
    assert.ok(burstTokens <= 1.5 * 420 * (195 + 240), `${burstTokens} tokens`);
    assert.ok(taken >= 0.9 * 420 * 2_000 && taken <= 1.2 * 420 * 2_195, `${taken} tokens`);
});

const levels: readonly (readonly [demands: readonly number[], capacity: number, level: number])[] = [
    [[10, 20, 30], 100, 30],
    [[10, 100, 100], 100, 45],
    [[100, 100], 100, 50],
    [[5, 5, 500], 100, 90],
    [[], 100, Infinity],
];

for (const [demands, capacity, level] of levels) {
    test(`the max-min level of demands ${demands.join(", ")} for capacity ${capacity} is ${level}`, () => {
        assert.is(computeMaxMinLevel(demands, capacity), level);
    });
}

// Guards against unfairness while one workspace sends many times its usual load and the demand of another one is not
// met.
test("a workspace with more than an equal share is beyond its share while the demand of another one is not met", () => {
    const tracker = createFairShareTracker({ windowMs: 4_000 });
    for (let now = 0; now < 4_000; now += 10) {
        tracker.recordDemand("heavy", 30, now);
        tracker.recordAdmitted("heavy", 10, now);
        tracker.recordDemand("usual", 7.5, now);
        if (now % 60 === 0) tracker.recordAdmitted("usual", 7.5, now);
    }
    // The demand of each is more than half of 4,500, so the share of each is 2,250.
    assert.ok(tracker.getUsedRatio("heavy", 3_990) > 1.7);
    assert.ok(tracker.getUsedRatio("usual", 3_990) < 0.25);
});

test("a workspace that uses the capacity left by others is not beyond its share", () => {
    const tracker = createFairShareTracker({ windowMs: 4_000 });
    for (let now = 0; now < 4_000; now += 10) {
        tracker.recordDemand("heavy", 30, now);
        tracker.recordAdmitted("heavy", 8, now);
        tracker.recordDemand("small", 1, now);
        tracker.recordAdmitted("small", 1, now);
    }
    assert.ok(tracker.getUsedRatio("heavy", 3_990) <= 1);
});

test("a workspace of which nothing was admitted has used nothing", () => {
    const tracker = createFairShareTracker({ windowMs: 4_000 });
    tracker.recordDemand("ada", 500, 0);
    assert.is(tracker.getUsedRatio("ada", 100), 0);
});

test("usage of a workspace expires after the window", () => {
    const tracker = createFairShareTracker({ windowMs: 4_000 });
    tracker.recordDemand("ada", 500, 0);
    tracker.recordAdmitted("ada", 90, 0);
    assert.ok(tracker.getUsedRatio("ada", 100) > 0);
    assert.is(tracker.getUsedRatio("ada", 5_000), 0);
});

test.run();
