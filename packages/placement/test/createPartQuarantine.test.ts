/** Decisions on prompt parts that crash engines. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createPartQuarantine, minNarrowingIntervalMs, minProbeIntervalMs } from "../src/createPartQuarantine.js";
import { crashesBeforeQuarantine, crashesOfCompletedPart, crashGroupMs } from "../src/createPartSuspicions.js";

const groupMs = crashGroupMs + 1;

type PartQuarantine = ReturnType<typeof createPartQuarantine>;

/** Places a request unless it must be refused. */
function tryPlace(quarantine: PartQuarantine, partIds: readonly string[], now: number): boolean {
    if (!quarantine.mayPlace(partIds, now)) return false;
    quarantine.recordPlacement(partIds, "target-1", now);
    return true;
}

/** Records as many crashes in different groups; returns the parts that each one quarantined. */
function recordCrashes(quarantine: PartQuarantine, partIds: readonly string[], count: number) {
    return Array.from({ length: count }, (_, index) => quarantine.recordCrash(partIds, index * groupMs).quarantined);
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
    assert.equal(quarantine.recordCrash(["common"], 5_000).quarantined, []);
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
    for (let now = 0; now < crashGroupMs; now += 10)
        assert.equal(quarantine.recordCrash(["common"], now).quarantined, []);
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

test("of several parts that the same crashes quarantine, requests with some of them show which is at fault", () => {
    const quarantine = createPartQuarantine();
    const added = recordCrashes(quarantine, ["session", "bad"], crashesBeforeQuarantine).at(-1);
    assert.equal(added, ["session", "bad"]);
    assert.not(quarantine.mayPlace(["session", "bad"], 2_000));
    assert.ok(tryPlace(quarantine, ["session"], 2_000));
    quarantine.recordCompletion(["session"]);
    assert.ok(tryPlace(quarantine, ["session"], 2_001));
    // No other part is left that may be at fault, so a probe would only crash another engine.
    assert.not(quarantine.mayPlace(["session", "bad"], 2_001));
    const probeAt = (crashesBeforeQuarantine - 1) * groupMs + minProbeIntervalMs;
    assert.not(quarantine.mayPlace(["session", "bad"], probeAt - 1));
    assert.ok(tryPlace(quarantine, ["session", "bad"], probeAt));
    assert.not(tryPlace(quarantine, ["session", "bad"], probeAt + 1));
});

// Guards against sound parts that always occur together and stay quarantined with the one at fault.
test("sound parts that always occur together are released by one request without the part at fault", () => {
    const quarantine = createPartQuarantine();
    recordCrashes(quarantine, ["session", "subject", "bad"], crashesBeforeQuarantine);
    assert.ok(tryPlace(quarantine, ["session", "subject"], 2_000));
    assert.not(tryPlace(quarantine, ["session", "subject"], 2_001), "one probe at a time");
    assert.equal(quarantine.recordCompletion(["session", "subject"]), ["session", "subject"]);
    assert.ok(tryPlace(quarantine, ["session", "subject"], 3_000));
    assert.not(tryPlace(quarantine, ["session", "subject", "bad"], 3_000));
});

test("a probe of some parts that ends without a result is repeated at increasing intervals", () => {
    const quarantine = createPartQuarantine();
    recordCrashes(quarantine, ["session", "bad"], crashesBeforeQuarantine);
    const placedAt: number[] = [];
    for (let now = 2_000; now < 2_000 + 8 * minNarrowingIntervalMs; now += 500)
        if (tryPlace(quarantine, ["session"], now)) placedAt.push(now);
    assert.equal(placedAt.map(at => (at - 2_000) / minNarrowingIntervalMs), [0, 1, 3, 7]);
});

test("a probe of some parts that did not run is due again at once", () => {
    const quarantine = createPartQuarantine();
    recordCrashes(quarantine, ["session", "bad"], crashesBeforeQuarantine);
    assert.ok(tryPlace(quarantine, ["session"], 2_000));
    quarantine.recordUnused(["session"], 2_010);
    assert.ok(tryPlace(quarantine, ["session"], 2_010));
    assert.not(quarantine.mayPlace(["session"], 2_010 + minNarrowingIntervalMs - 1));
    assert.ok(quarantine.mayPlace(["session"], 2_010 + minNarrowingIntervalMs));
});

// Guards against one crash after the other by requests that have fewer and fewer other parts beside the one at fault.
test("a crash on a probe of some parts makes them the suspects, and the others stay quarantined until they complete", () => {
    const quarantine = createPartQuarantine();
    recordCrashes(quarantine, ["session", "subject", "bad"], crashesBeforeQuarantine);
    assert.ok(tryPlace(quarantine, ["subject", "bad"], 2_000));
    const { narrowed } = quarantine.recordCrash(["subject", "bad", "unrelated"], 2_100);
    assert.equal(narrowed, ["subject", "bad"]);
    const nextAt = 2_000 + minNarrowingIntervalMs;
    assert.not(quarantine.mayPlace(["subject", "bad"], nextAt), "no other part is as suspect");
    assert.ok(quarantine.hasQuarantined(["session"]));
    assert.ok(tryPlace(quarantine, ["subject"], nextAt));
    quarantine.recordCompletion(["subject"]);
    assert.not(quarantine.mayPlace(["bad"], nextAt + minNarrowingIntervalMs));
});

// Guards against a quarantine of a new part for the crashes of one that was sound before.
test("a part is released if one with earlier completions may be at fault instead", () => {
    const quarantine = createPartQuarantine();
    quarantine.recordCompletion(["bad"]);
    assert.equal(recordCrashes(quarantine, ["session", "bad"], crashesBeforeQuarantine).at(-1), ["session"]);
    assert.not(quarantine.mayPlace(["session", "bad"], 2_000));
    assert.ok(tryPlace(quarantine, ["session"], 2_000));
    assert.equal(quarantine.recordCompletion(["session"]), ["session"]);
    const added = Array.from(
        { length: crashesOfCompletedPart - crashesBeforeQuarantine },
        (_, index) => quarantine.recordCrash(["bad"], (crashesBeforeQuarantine + index) * groupMs).quarantined,
    );
    assert.equal(added.at(-1), ["bad"]);
});

test("a request whose parts were quarantined by different crashes runs as a probe of all of them", () => {
    const quarantine = createPartQuarantine();
    recordCrashes(quarantine, ["first", "bad-1"], crashesBeforeQuarantine);
    recordCrashes(quarantine, ["second", "bad-2"], crashesBeforeQuarantine);
    assert.ok(tryPlace(quarantine, ["first", "second"], 2_000));
    assert.equal(quarantine.recordCompletion(["first", "second"]), ["first", "second"]);
    assert.ok(tryPlace(quarantine, ["first", "second"], 2_001));
    assert.not(quarantine.mayPlace(["first", "bad-2"], 2_001));
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

test("another router learns which parts of a group may be at fault instead", () => {
    const first = createPartQuarantine();
    const second = createPartQuarantine();
    recordCrashes(first, ["session", "subject", "bad"], crashesBeforeQuarantine);
    second.merge(first.list(["session"], 2_000), 500_000);
    assert.ok(second.hasQuarantined(["bad"]));
    assert.ok(tryPlace(second, ["session", "subject"], 500_000));
    assert.not(tryPlace(second, ["session", "subject", "bad"], 500_000));
});

test.run();
