import type { TargetEntry } from "@rhubarbwheel/types/fleet";
import type { PlacedAttemptResult } from "@rhubarbwheel/types/placement";
import type { RolloutPhase } from "@rhubarbwheel/types/rollout";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { computeCanaryTargets } from "../src/computeCanaryTargets.js";
import { createRolloutDecider, type RolloutDecision, type RolloutReason } from "../src/createRolloutDecider.js";

const opts = { durationMs: 10_000, exposeShare: 0.1, exposeSlack: 50, applyMs: 2_000, random: () => 0.2 };

interface Case {
    readonly name: string;
    readonly elapsedMs?: number;
    readonly phase?: RolloutPhase;
    readonly applyMs?: number;
    readonly requestsPer100Ms: number;
    readonly result?: (now: number, isNewVersion: boolean) => PlacedAttemptResult;
    readonly latencyMs?: (now: number, isNewVersion: boolean) => number;
    readonly isWarmingUp?: boolean;
    /** Time after which the store accepts no write. */
    readonly storeDownAt?: number;
    readonly inFlightAtOld?: (now: number) => number;
    /** Decisions other than "wait", each with the time of the first such decision. */
    readonly expected: readonly (readonly [RolloutDecision, RolloutReason, number])[];
}

/** Sends requests at equal intervals until the deadline; responses are recorded at once. */
function runCase(given: Case): Case["expected"] {
    const startAt = given.elapsedMs ?? 0;
    const decider = createRolloutDecider({
        ...opts,
        applyMs: given.applyMs ?? opts.applyMs,
        elapsedMs: startAt,
        phase: given.phase ?? "observing",
        now: startAt,
    });
    const decisions: (readonly [RolloutDecision, RolloutReason, number])[] = [];
    for (let now = startAt; now <= opts.durationMs + 1_000; now += 100) {
        for (let index = 0; index < given.requestsPer100Ms; index++) {
            const isNewVersion = decider.tryTakeCanary(now);
            const result = given.result?.(now, isNewVersion) ?? "complete";
            const latencyMs = given.latencyMs?.(now, isNewVersion) ?? 50 + index;
            const isWarmingUp = isNewVersion && given.isWarmingUp === true;
            decider.recordOutcome({ route: "a", isNewVersion, result, latencyMs, isWarmingUp }, now);
        }
        const decision = decider.decide(now, given.inFlightAtOld?.(now) ?? 0);
        const { reason } = decider.getEvidence();
        if (decision === "wait" || reason === undefined) continue;
        if (decisions.at(-1)?.[0] !== decision) decisions.push([decision, reason, now]);
        if (decision === "complete" || decision === "rollBack") break;
        if (now < (given.storeDownAt ?? Infinity)) decider.setPhase("shifting", now);
    }
    return decisions;
}

const failIfNew = (_now: number, isNewVersion: boolean): PlacedAttemptResult => isNewVersion ? "failed" : "complete";

const cases: readonly Case[] = [
    {
        name: "a good version is shifted at half of the duration, and completed before its end",
        requestsPer100Ms: 20,
        expected: [["shift", "good", 5_000], ["complete", "good", 8_500]],
    },
    {
        name: "completion waits for requests in flight at the old version",
        requestsPer100Ms: 20,
        inFlightAtOld: now => now < 9_300 ? 1 : 0,
        expected: [["shift", "good", 5_000], ["complete", "good", 9_300]],
    },
    {
        name: "a version that fails is rolled back at once",
        requestsPer100Ms: 20,
        result: failIfNew,
        expected: [["rollBack", "failures", 400]],
    },
    {
        name: "failures of both versions are no reason",
        requestsPer100Ms: 20,
        result: now => now >= 2_000 && now < 4_000 ? "failed" : "complete",
        expected: [["shift", "good", 6_000], ["complete", "good", 8_500]],
    },
    {
        name: "calls that the new version rejects, or that callers cancel, are no evidence",
        requestsPer100Ms: 20,
        result: (now, isNewVersion) => isNewVersion ? now % 200 === 0 ? "rejected" : "cancelled" : "complete",
        expected: [["rollBack", "tooFewResponses", 6_500]],
    },
    {
        name: "slow responses of a version that is warming up are no reason",
        requestsPer100Ms: 20,
        latencyMs: (_now, isNewVersion) => isNewVersion ? 1_000 : 50,
        isWarmingUp: true,
        expected: [["shift", "good", 6_500], ["complete", "good", 8_500]],
    },
    {
        name: "the verdict is due early enough for routers that read the shift late",
        requestsPer100Ms: 20,
        latencyMs: (_now, isNewVersion) => isNewVersion ? 1_000 : 50,
        isWarmingUp: true,
        applyMs: 4_000,
        expected: [["shift", "good", 5_000], ["complete", "good", 9_000]],
    },
    {
        name: "a version that fails only after the shift is rolled back",
        requestsPer100Ms: 20,
        result: (now, isNewVersion) => isNewVersion && now >= 6_000 ? "broken" : "complete",
        expected: [["shift", "good", 5_000], ["rollBack", "failures", 6_100]],
    },
    {
        name: "without requests there is no evidence",
        requestsPer100Ms: 0,
        expected: [["rollBack", "tooFewResponses", 6_500]],
    },
    {
        name: "a coordinator that takes over late observes in the remaining time",
        elapsedMs: 5_500,
        requestsPer100Ms: 20,
        expected: [["shift", "good", 6_500], ["complete", "good", 8_500]],
    },
    {
        name: "a coordinator that takes over after the shift completes it",
        elapsedMs: 7_000,
        phase: "shifting",
        requestsPer100Ms: 20,
        expected: [["complete", "good", 9_000]],
    },
    {
        name: "a coordinator that takes over after the shift rolls back without a comparison",
        elapsedMs: 7_000,
        phase: "shifting",
        requestsPer100Ms: 20,
        result: failIfNew,
        expected: [["rollBack", "failures", 7_100]],
    },
    {
        name: "a shift that the store has not accepted before the deadline is rolled back",
        requestsPer100Ms: 20,
        storeDownAt: 0,
        expected: [["shift", "good", 5_000], ["rollBack", "tooLate", 10_000]],
    },
];

// Guards against each verdict at the wrong time, or for the wrong reason.
for (const given of cases) test(given.name, () => assert.equal(runCase(given), given.expected));

// Guards against canaries after a rollback whose write the store has not accepted yet.
test("after a bad verdict no request goes to the new version", () => {
    const decider = createRolloutDecider({ ...opts, elapsedMs: 0, phase: "shifting", now: 0 });
    for (let now = 0; now < 1_000; now += 10) {
        decider.recordOutcome(
            { route: "a", isNewVersion: true, result: "failed", latencyMs: 1, isWarmingUp: false },
            now,
        );
    }
    assert.is(decider.tryTakeCanary(1_000), true);
    assert.is(decider.decide(1_000, 0), "rollBack");
    assert.is(decider.tryTakeCanary(1_001), false);
});

// Guards against canaries of a large service that leave no exposure for the time between the shift and a rollback.
test("an order has at most 250 canaries, over the whole time", () => {
    const decider = createRolloutDecider({ ...opts, elapsedMs: 0, phase: "observing", now: 0 });
    const times = Array.from({ length: 65_000 }, (_, index) => index / 10).filter(now => decider.tryTakeCanary(now));
    assert.ok(times.length <= 250 && times.length > 100, `${times.length}`);
    assert.ok(times.some(now => now < 1_000) && times.some(now => now > 4_000));
});

// Guards against a version that is bad only under load and is never loaded, or a good one that is overloaded.
test("canary targets are as few as have the load of an old target, in several failure domains", () => {
    const targets = Array.from({ length: 12 }, (_, index): TargetEntry => ({
        target: `t${index}`,
        service: "s",
        address: `10.0.0.${index}:80`,
        failureDomain: `domain-${index % 3}`,
        slots: 8,
        state: "ready",
        coldForMs: 0,
    }));
    const counts = [0, 1, 4, 6, 10, 100].map(oldCount => computeCanaryTargets(oldCount, targets, 0.3).length);
    assert.equal(counts, [1, 1, 1, 2, 3, 12]);
    assert.equal(computeCanaryTargets(6, [], 0.3), []);
    const chosen = computeCanaryTargets(10, targets, 0.3);
    assert.is(new Set(chosen.map(({ failureDomain }) => failureDomain)).size, 3);
    assert.equal(computeCanaryTargets(10, targets.toReversed(), 0.3), chosen);
});

test.run();
