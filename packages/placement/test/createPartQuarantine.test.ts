/** Decisions on prompt parts that crash engines. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
    crashesBeforeQuarantine,
    crashesOfCompletedPart,
    crashGroupMs,
    createPartQuarantine,
    minProbeIntervalMs,
} from "../src/createPartQuarantine.js";

const groupMs = crashGroupMs + 1;

type PartQuarantine = ReturnType<typeof createPartQuarantine>;

/** Places a request unless it must be refused. */
function tryPlace(quarantine: PartQuarantine, partIds: readonly string[], now: number): boolean {
    if (!quarantine.mayPlace(partIds, now)) return false;
    quarantine.recordPlacement(partIds, now);
    return true;
}

/** Records as many crashes in different groups; returns the parts that each one quarantined. */
function recordCrashes(quarantine: PartQuarantine, partIds: readonly string[], count: number) {
    return Array.from({ length: count }, (_, index) => quarantine.recordCrash(partIds, index * groupMs));
}

// Guards against requests that crash one engine after the other.
test("a part that was in progress at several engines that crashed is quarantined", () => {
    const quarantine = createPartQuarantine();
    assert.equal(recordCrashes(quarantine, ["bad"], crashesBeforeQuarantine), [[], [], ["bad"]]);
    assert.not(quarantine.mayPlace(["common", "bad"], 3_000));
    assert.ok(quarantine.mayPlace(["common", "other"], 3_000));
});

test("a part that has completed since the first crash is not quarantined", () => {
    const quarantine = createPartQuarantine();
    recordCrashes(quarantine, ["common"], crashesBeforeQuarantine - 1);
    quarantine.recordCompletion(["common"]);
    assert.equal(quarantine.recordCrash(["common"], 5_000), []);
    assert.not(quarantine.hasQuarantined(["common"]));
});

test("a part that has completed before needs more crashes", () => {
    const quarantine = createPartQuarantine();
    quarantine.recordCompletion(["common"]);
    const added = recordCrashes(quarantine, ["common"], crashesOfCompletedPart);
    assert.equal(added.findIndex(parts => parts.length > 0), crashesOfCompletedPart - 1);
});

// Guards against a quarantine of the parts that all requests share after a power failure of many engines.
test("engines that crash at the same time count once", () => {
    const quarantine = createPartQuarantine();
    for (let now = 0; now < crashGroupMs; now += 10) assert.equal(quarantine.recordCrash(["common"], now), []);
    assert.not(quarantine.hasQuarantined(["common"]));
});

test("one request with a quarantined part runs after each probe interval, which doubles", () => {
    const quarantine = createPartQuarantine();
    recordCrashes(quarantine, ["bad"], crashesBeforeQuarantine);
    const grantedAt: number[] = [];
    for (let now = 2_000; now < 200_000; now += 1_000) if (tryPlace(quarantine, ["bad"], now)) grantedAt.push(now);
    assert.equal(grantedAt, [22_000, 42_000, 82_000, 162_000]);
});

test("a probe that no engine can run is due again at once", () => {
    const quarantine = createPartQuarantine();
    recordCrashes(quarantine, ["bad"], crashesBeforeQuarantine);
    assert.ok(quarantine.mayPlace(["bad"], 30_000));
    assert.ok(tryPlace(quarantine, ["bad"], 30_001));
});

test("a probe that completes releases the part", () => {
    const quarantine = createPartQuarantine();
    recordCrashes(quarantine, ["bad"], crashesBeforeQuarantine);
    assert.ok(tryPlace(quarantine, ["bad"], 2 * groupMs + minProbeIntervalMs));
    assert.equal(quarantine.recordCompletion(["bad"]), ["bad"]);
    assert.not(quarantine.hasQuarantined(["bad"]));
    assert.equal(quarantine.recordCompletion(["bad"]), []);
});

test("of several parts that the same crashes quarantine, requests with a single one show which is at fault", () => {
    const quarantine = createPartQuarantine();
    const added = recordCrashes(quarantine, ["session", "bad"], crashesBeforeQuarantine).at(-1);
    assert.equal(added, ["session", "bad"]);
    assert.not(quarantine.mayPlace(["session", "bad"], 2_000));
    assert.ok(tryPlace(quarantine, ["session"], 2_000));
    quarantine.recordCompletion(["session"]);
    assert.ok(tryPlace(quarantine, ["session"], 2_001));
    assert.ok(tryPlace(quarantine, ["session", "bad"], 2_001), "the probe of the other part");
    assert.not(tryPlace(quarantine, ["session", "bad"], 2_002));
});

test("newer states of other routers replace older ones", () => {
    const first = createPartQuarantine();
    const second = createPartQuarantine();
    recordCrashes(first, ["bad"], crashesBeforeQuarantine);
    const quarantined = first.list(["bad"], 2_000);
    second.merge(quarantined, 500_000);
    assert.not(second.mayPlace(["bad"], 500_001));
    second.recordCompletion(["bad"]);
    second.merge(quarantined, 500_002);
    assert.not(second.hasQuarantined(["bad"]), "an older state has no effect");
    first.merge(second.list(["bad"], 500_003), 2_001);
    assert.not(first.hasQuarantined(["bad"]));
    recordCrashes(first, ["bad"], crashesOfCompletedPart);
    second.merge(first.list(["bad"], 6_000), 500_004);
    assert.ok(second.hasQuarantined(["bad"]));
});

test.run();
