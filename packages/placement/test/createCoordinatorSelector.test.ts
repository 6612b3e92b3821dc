/** Tests coordinator selection with unresponsive routers: routers agree, and a dead router causes few delays. */
import type { RouterEntry } from "@rhubarbwheel/types/fleet";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createCoordinatorSelector } from "../src/createCoordinatorSelector.js";

function createRouterEntries(names: readonly string[], incarnation = 1): RouterEntry[] {
    return names.map(router => ({ router, incarnation, address: `${router}:7400`, failureDomain: "a" }));
}

const names = ["r1", "r2", "r3", "r4"];

function createSelectorHarness(router = "r1") {
    let routers = createRouterEntries(names);
    let position = { era: 1, revision: 10 };
    const selector = createCoordinatorSelector({
        router,
        listRouters: () => routers,
        getListPosition: () => position,
    });
    const find = (now: number): string | undefined => selector.find("assistant", now)?.router;
    return {
        ...selector,
        find,
        setRouters: (next: RouterEntry[]) => (routers = next),
        setListPosition: (era: number, revision: number) => (position = { era, revision }),
        /** Records a timeout every 50 ms, starting at `from`, until the router is suspected; returns the time. */
        recordTimeoutsUntilSuspected: (router: string, from: number): number => {
            for (let now = from; now < from + 10_000; now += 50) if (selector.recordTimeout(router, now)) return now;
            throw new Error("The router was not suspected within 10 s.");
        },
    };
}

const first = createSelectorHarness().find(0)!;
const self = names.find(name => name !== first)!;

test("routers select the same coordinator without communication", () => {
    for (const router of names) assert.is(createSelectorHarness(router).find(0), first);
});

// Guards against a coordinator without processor time: one of the smallest hosts coordinated the largest pool.
test("routers on larger hosts are selected first, and smaller ones while those are suspected", () => {
    const cores: Readonly<Record<string, number>> = { r2: 1.4, r4: 0.8 };
    const routers = createRouterEntries(names).map(entry => ({ ...entry, cores: cores[entry.router] ?? 0.3 }));
    const selector = createCoordinatorSelector({
        router: "r1",
        listRouters: () => routers,
        getListPosition: () => ({ era: 1, revision: 1 }),
    });
    const services = Array.from({ length: 20 }, (_, index) => `service-${index}`);
    const listSelected = (now: number) => [...new Set(services.map(name => selector.find(name, now)?.router))].sort();
    assert.equal(listSelected(0), ["r2", "r4"]);
    for (const router of ["r2", "r4"]) for (const now of [0, 300]) selector.recordTimeout(router, now);
    assert.equal(listSelected(301), ["r1", "r3"]);
});

// Guards against several coordinators per pool after a restart of all routers, while the coordinator is slow.
test("a coordinator that is slow for less than 250 ms is not suspected", () => {
    const selector = createSelectorHarness(self);
    for (let now = 0; now < 250; now += 25) assert.is(selector.recordTimeout(first, now), false);
    assert.is(selector.find(250), first);
});

// Guards against delays of all requests after the coordinator's host failed.
test("an unresponsive coordinator is suspected until its next message", () => {
    const selector = createSelectorHarness(self);
    assert.is(selector.recordTimeoutsUntilSuspected(first, 0), 250);
    assert.is.not(selector.find(260), first);
    selector.recordMessage(first, 260);
    assert.is(selector.find(270), first);
});

// Packet loss: a reply to another placement request shows that the unanswered one was lost.
test("placement requests are retried while the coordinator replies to others", () => {
    const selector = createSelectorHarness(self);
    for (const sentAt of [0, 5, 10]) {
        selector.recordMessage(first, sentAt + 20);
        assert.ok(selector.tryTakeRetry(first, sentAt, sentAt + 30));
    }
});

// Guards against retries of requests that are only late, which doubled the load of a coordinator after its start.
test("an unresponsive coordinator receives at most one retry per 75 ms", () => {
    const selector = createSelectorHarness(self);
    selector.recordMessage(first, 0);
    const retries: number[] = [];
    for (let now = 30; now < 300; now += 10) if (selector.tryTakeRetry(first, now - 29, now)) retries.push(now);
    assert.equal(retries, [30, 110, 190, 270]);
});

// Guards against repeated delays by a host that is gone for good but still registered in the store.
test("an unresponsive router is suspected for increasing times, up to 8 s", () => {
    const selector = createSelectorHarness(self);
    const suspicionsMs: number[] = [];
    let now = 0;
    for (let round = 0; round < 5; round++) {
        const suspectedAt = selector.recordTimeoutsUntilSuspected(first, now);
        now = suspectedAt;
        while (selector.find(now) !== first) now += 100;
        suspicionsMs.push(now - suspectedAt);
    }
    assert.equal(suspicionsMs, [2_000, 4_000, 8_000, 8_000, 8_000]);
});

test("a restarted router is not suspected", () => {
    const selector = createSelectorHarness(self);
    selector.recordTimeoutsUntilSuspected(first, 0);
    selector.setRouters(createRouterEntries(names, 2));
    assert.is(selector.find(300), first);
});

test("a router never suspects itself, and without registered routers there is no coordinator", () => {
    const selector = createSelectorHarness(first);
    for (let now = 0; now < 1_000; now += 50) selector.recordTimeout(first, now);
    assert.is(selector.find(1_000), first);
    selector.setRouters([]);
    assert.is(selector.find(1_000), undefined);
});

const claim = { router: "r9", incarnation: 1, address: "r9:7400", era: 1, revision: 12 };

// Guards against two coordinators of a pool while the store turns some routers away.
test("a router that coordinates by a newer list is selected until this router's list is as new", () => {
    const selector = createSelectorHarness(first);
    assert.ok(selector.recordClaim("assistant", claim));
    assert.is(selector.find(0), "r9", "also by the coordinator before it");
    assert.is(selector.findRouter("r9")?.address, "r9:7400");
    assert.not(selector.recordClaim("assistant", claim), "a repeated notice changes nothing");
    selector.setListPosition(1, 12);
    assert.is(selector.find(0), first);
});

test("an older claim has no effect", () => {
    const selector = createSelectorHarness(self);
    assert.not(selector.recordClaim("assistant", { ...claim, revision: 10 }));
    assert.is(selector.find(0), first);
    selector.recordClaim("assistant", claim);
    assert.not(selector.recordClaim("assistant", { ...claim, router: "r8", revision: 11 }));
    assert.is(selector.find(0), "r9");
    assert.ok(selector.recordClaim("assistant", { ...claim, router: "r8", revision: 13 }));
    assert.is(selector.find(0), "r8");
});

// Guards against LIMIT: after the store has come back from an older copy, the lists of the lost history have higher revisions.
test("a claim by a list of a later era goes before one of an earlier era with a higher revision", () => {
    const selector = createSelectorHarness(self);
    selector.recordClaim("assistant", claim);
    assert.ok(selector.recordClaim("assistant", { ...claim, router: "r8", era: 2, revision: 9 }));
    assert.is(selector.find(0), "r8");
    assert.not(selector.recordClaim("assistant", { ...claim, revision: 30 }));
    selector.setListPosition(2, 9);
    assert.is(selector.find(0), first);
    assert.not(selector.recordClaim("assistant", { ...claim, revision: 30 }));
});

test("an unresponsive router that has claimed to coordinate is suspected like any other", () => {
    const selector = createSelectorHarness(self);
    selector.recordClaim("assistant", claim);
    const suspectedAt = selector.recordTimeoutsUntilSuspected("r9", 0);
    assert.is(selector.find(suspectedAt), first);
    selector.recordMessage("r9", suspectedAt + 10);
    assert.is(selector.find(suspectedAt + 10), "r9");
});

test.run();
