/** Targets whose responses are cut off in a row get fewer calls for a while. */
import type { AttemptFinishedEvent } from "@rhubarbwheel/types/placement-events";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createEntryHarness, createRoutedRequest } from "./entryHarness.js";
import { createTargets, plainPool } from "./placementFixtures.js";

type Outcome = Pick<AttemptFinishedEvent, "result" | "isCutOff">;

const cutOff: Outcome = { result: "broken", isCutOff: true };
const complete: Outcome = { result: "complete" };

/** Plays calls that `faulty` targets end with `outcomes` in turn, then a burst; returns the calls of the burst by target. */
function playBurst(faulty: readonly string[], outcomes: readonly Outcome[], burstAt: number): Record<string, number> {
    const targets = createTargets(2, { service: "orders", slots: 6, failureDomain: "a" });
    const harness = createEntryHarness({ pool: plainPool, targets });
    const start = (now: number) =>
        harness.route(createRoutedRequest({ kind: "nonIdempotent" }), now).filter(effect =>
            effect.type === "startAttempt"
        );
    // Calls in flight at once are spread over both targets.
    const attempts = Array.from({ length: outcomes.length * 2 }, () => start(0)).flat();
    for (const { target } of targets) {
        for (const [index, attempt] of attempts.filter(found => found.target === target).entries())
            harness.finish(attempt, 10, faulty.includes(target) ? outcomes[index]! : complete);
    }
    const counts = { "target-1": 0, "target-2": 0 };
    for (const attempt of Array.from({ length: 400 }, () => start(burstAt)).flat())
        counts[attempt.target as keyof typeof counts] += 1;
    return counts;
}

const eight = Array.from({ length: 8 }, () => cutOff);
const half = Array.from({ length: 16 }, (_, index) => index % 2 === 0 ? cutOff : complete);
const otherFailures = eight.map((): Outcome => ({ result: "broken" }));

const cases = [
    { name: "cut off eight times in a row", faulty: ["target-1"], outcomes: eight, burstAt: 20, isAvoided: true },
    { name: "the same, a while ago", faulty: ["target-1"], outcomes: eight, burstAt: 1_020, isAvoided: false },
    { name: "cut off seven times", faulty: ["target-1"], outcomes: eight.slice(1), burstAt: 20, isAvoided: false },
    { name: "cut off every other time", faulty: ["target-1"], outcomes: half, burstAt: 20, isAvoided: false },
    { name: "broken otherwise", faulty: ["target-1"], outcomes: otherFailures, burstAt: 20, isAvoided: false },
    { name: "both", faulty: ["target-1", "target-2"], outcomes: eight, burstAt: 20, isAvoided: false },
];

for (const { name, faulty, outcomes, burstAt, isAvoided } of cases) {
    // Guards against LOST: a faulty target takes time with each call; and against a breaker that excludes other targets.
    test(`${name}: ${isAvoided ? "gets no" : "gets"} calls`, () => {
        const counts = playBurst(faulty, outcomes, burstAt);
        assert.is(counts["target-1"] === 0, isAvoided, JSON.stringify(counts));
        assert.ok(counts["target-2"]! > 0);
    });
}

test.run();
