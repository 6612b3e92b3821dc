/** Which router coordinates a pool while some are silent: all routers should agree, and a dead one should cost little. */
import type { RouterEntry } from "@rhubarbwheel/types/fleet";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createCoordinatorSelector } from "../src/createCoordinatorSelector.js";

function describeRouters(names: readonly string[], incarnation = 1): RouterEntry[] {
    return names.map(router => ({ router, incarnation, address: `${router}:7400`, failureDomain: "a" }));
}

const names = ["r1", "r2", "r3", "r4"];

function createChoice(router = "r1") {
    let routers = describeRouters(names);
    const choice = createCoordinatorSelector({ router, listRouters: () => routers });
    const find = (now: number): string | undefined => choice.find("assistant", now)?.router;
    return {
        ...choice,
        find,
        replace: (next: RouterEntry[]) => (routers = next),
        /** Misses every 50 ms from `from` on, until the router is passed over; returns when that happens. */
        missUntilSuspected: (silent: string, from: number): number => {
            for (let now = from; now < from + 10_000; now += 50) if (choice.recordTimeout(silent, now)) return now;
            throw new Error("It was never suspected.");
        },
    };
}

const first = createChoice().find(0)!;
const self = names.find(name => name !== first)!;

test("routers choose the same coordinator without having talked", () => {
    for (const router of names) assert.is(createChoice(router).find(0), first);
});

// Pattern: `kill_all`: right after a start the coordinator is slow for a moment, and must not be replaced by several.
test("a coordinator that is slow for less than 250 ms stays", () => {
    const choice = createChoice(self);
    for (let now = 0; now < 250; now += 25) assert.is(choice.recordTimeout(first, now), false);
    assert.is(choice.find(250), first);
});

// Pattern: `node_kill` of the coordinator.
test("a silent coordinator is passed over, and is back with its first message", () => {
    const choice = createChoice(self);
    assert.is(choice.missUntilSuspected(first, 0), 250);
    assert.is.not(choice.find(260), first);
    choice.recordMessage(first, 260);
    assert.is(choice.find(270), first);
});

// Pattern: `lossy`: the answer to a later question shows that this one was lost.
test("questions are repeated while the coordinator answers others", () => {
    const choice = createChoice(self);
    for (const askedAt of [0, 5, 10]) {
        choice.recordMessage(first, askedAt + 20);
        assert.ok(choice.tryTakeRetry(first, askedAt, askedAt + 30));
    }
});

// Pattern: `kill_all`: repeats of questions that are only late doubled the work of a coordinator that had just started.
test("a coordinator that answers nobody gets one repeat in 75 ms", () => {
    const choice = createChoice(self);
    choice.recordMessage(first, 0);
    const repeats: number[] = [];
    for (let now = 30; now < 300; now += 10) if (choice.tryTakeRetry(first, now - 29, now)) repeats.push(now);
    assert.equal(repeats, [30, 110, 190, 270]);
});

// Pattern: a host that is gone for good; its announcement stays in the store.
test("a router that stays silent is tried less and less often, every 8 s in the end", () => {
    const choice = createChoice(self);
    const pauses: number[] = [];
    let now = 0;
    for (let tries = 0; tries < 5; tries++) {
        const suspectedAt = choice.missUntilSuspected(first, now);
        now = suspectedAt;
        while (choice.find(now) !== first) now += 100;
        pauses.push(now - suspectedAt);
    }
    assert.equal(pauses, [2_000, 4_000, 8_000, 8_000, 8_000]);
});

test("a router that has started again is asked at once", () => {
    const choice = createChoice(self);
    choice.missUntilSuspected(first, 0);
    choice.replace(describeRouters(names, 2));
    assert.is(choice.find(300), first);
});

test("a router never passes itself over, and without routers there is no coordinator", () => {
    const choice = createChoice(first);
    for (let now = 0; now < 1_000; now += 50) choice.recordTimeout(first, now);
    assert.is(choice.find(1_000), first);
    choice.replace([]);
    assert.is(choice.find(1_000), undefined);
});

test.run();
