/** Guards against reports that exclude a target: late, implausible or old ones have a bounded effect that decays. */
import type { AttemptNoticeMessage } from "@rhubarbwheel/types/placement";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createLoadEstimator } from "../src/createLoadEstimator.js";
import { createCoordinatorHarness } from "./coordinatorHarness.js";
import { createRequest, createTargets, plainPool } from "./placementFixtures.js";

const usual = { running: 4, waiting: 0, slots: 6, paceRatio: 1 };

for (
    const [name, load, ownRequests, expected] of [
        ["our own requests", usual, 4, { others: 0, pace: 1 }],
        ["three figures", { running: 6, waiting: 6, slots: 6 }, 0, { others: 0, pace: 1 }],
        ["running above slots", { ...usual, running: 10_000 }, 0, { others: 2, pace: 1 }],
        ["pace of 0", { ...usual, paceRatio: 0 }, 4, { others: 0, pace: 1 }],
        ["pace of 10,000", { ...usual, paceRatio: 100 }, 4, { others: 0, pace: 1 }],
        ["pace that is not a number", { ...usual, paceRatio: NaN }, 4, { others: 0, pace: 1 }],
        ["slow host", { ...usual, paceRatio: 15 }, 4, { others: 0, pace: 2 }],
        ["an old report", { ...usual, running: 6, paceRatio: 4, ageMs: 2_000 }, 0, { others: 0, pace: 1 }],
        ["a report from the future", { ...usual, running: 6, ageMs: -1 }, 0, { others: 0, pace: 1 }],
    ] as const
) {
    test(`${name}: ${expected.others} requests of others, pace ${expected.pace}`, () => {
        const estimator = createLoadEstimator({ slots: 6, requestDecayMs: 150 });
        estimator.record(load, ownRequests, 10_000);
        assert.is(Number(estimator.getOtherRequests(10_000).toFixed(3)), expected.others);
        assert.is(Number(estimator.getPaceRatio(10_000).toFixed(3)), expected.pace);
        assert.ok(estimator.getOtherRequests(12_000) < 0.01);
        assert.ok(estimator.getPaceRatio(20_000) < 1.01);
    });
}

// Guards against a choice that follows every change of a pace that changes many times a second.
test("a pace that alternates between 1 and 4 stays near its mean", () => {
    const estimator = createLoadEstimator({ slots: 6, requestDecayMs: 150 });
    const paces: number[] = [];
    for (let now = 0; now < 4_000; now += 20) {
        estimator.record({ ...usual, paceRatio: now % 40 === 0 ? 1 : 4 }, 4, now);
        if (now > 1_000) paces.push(estimator.getPaceRatio(now));
    }
    assert.ok(Math.min(...paces) > 1.8 && Math.max(...paces) < 2.2, `${Math.min(...paces)}, ${Math.max(...paces)}`);
});

// Guards against a coordinator that ignores what targets report, and against one that no longer uses a slow target.
test("a target whose host is slow gets less, and not nothing", () => {
    const targets = createTargets(3, { service: plainPool.service, slots: 6, failureDomain: "a" });
    for (const [paceRatio, min, max] of [[undefined, 80, 120], [1, 80, 120], [2, 1, 70]] as const) {
        const { requestPlacement, send } = createCoordinatorHarness({ pool: plainPool, targets });
        const counts = new Map<string, number>();
        const pending: AttemptNoticeMessage[] = [];
        for (let index = 0; index < 300; index++) {
            const request = createRequest("", { prompt: undefined, service: plainPool.service });
            const { requestId, service } = request;
            const { target = "" } = requestPlacement(request, index * 3);
            counts.set(target, (counts.get(target) ?? 0) + 1);
            const load = { running: 1, waiting: 0, slots: 6, paceRatio: target === "target-2" ? paceRatio : 1 };
            const latencyMs = 45;
            // Notices of earlier requests arrive between placements, so that several are in flight.
            pending.push({ type: "attemptNotice", requestId, service, target, result: "complete", latencyMs, load });
            if (pending.length > 14) send(pending.shift()!, index * 3);
        }
        const count = counts.get("target-2") ?? 0;
        assert.ok(count >= min && count <= max, `${count} of 300 at pace ${paceRatio}`);
    }
});

test.run();
