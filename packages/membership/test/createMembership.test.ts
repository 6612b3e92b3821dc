import { chooseByRendezvous, rankByRendezvous } from "@rhubarbwheel/membership/chooseByRendezvous";
import { createMembership } from "@rhubarbwheel/membership/createMembership";
import { test } from "uvu";
import * as assert from "uvu/assert";

import { createFakeFleet, type FakeRouter } from "./createFakeFleet.js";

type MembershipSlice = ReturnType<typeof createMembership>;

const getDigest = () => ({ revision: 0, storeUnreachable: false });

function createFleet(seed: number, count: number, domains = 3) {
    const fleet = createFakeFleet<MembershipSlice>(seed, count, domains, {
        createSlices: (identity, seeds, random) => createMembership({ identity, seeds, random, getDigest }),
        list: slices => [slices],
    });
    const list = () => [...fleet.routers.values()];
    const get = (name: string) => fleet.routers.get(name) as FakeRouter<MembershipSlice>;
    const listHosts = () =>
        list().forEach(({ identity }) => fleet.deliver(identity, { type: "hostsListed", hosts: fleet.store.hosts }));
    /** Advances the clock until the condition holds, for at most 20 s; returns the time taken in ms. */
    const measure = (isReached: () => boolean): number => {
        const from = fleet.getTime();
        while (!isReached() && fleet.getTime() - from < 20_000) fleet.advance(50);
        return fleet.getTime() - from;
    };
    const isComplete = () => list().every(({ slices }) => slices.countListedAlive() === count);
    const countRaised = (state: string) =>
        list().flatMap(({ raised }) => raised)
            .filter(event => event.type === "membershipChanged" && event.state === state).length;
    listHosts();
    return { ...fleet, list, get, listHosts, measure, isComplete, countRaised };
}

type Fleet = ReturnType<typeof createFleet>;

const faults: Readonly<Record<string, (fleet: Fleet) => void>> = {
    loss: fleet => void (fleet.faults.loss = 0.1),
    duplication: fleet => void (fleet.faults.duplication = 0.5),
    reordering: fleet => void (fleet.faults.maxDelayMs = 250),
    pause: fleet => void (fleet.get("router-4").pausedUntil = fleet.getTime() + 5_000),
    restart: fleet => {
        fleet.start("router-2");
        fleet.listHosts();
    },
    partition: fleet => void (fleet.faults.isLinkDown = (from, to) => from < "router-5" !== to < "router-5"),
    oneWay: fleet => void (fleet.faults.isLinkDown = (from, to) => from === "router-1" && to === "router-6"),
};

const names = Object.keys(faults);
const pairs = names.flatMap((first, index) => names.slice(index).map(second => [first, second] as const));
for (const [first, second] of pairs) {
    // Guards against routers that others still regard as unknown or dead after single or combined faults have ended.
    test(`membership is complete again after ${first} with ${second}`, () => {
        const fleet = createFleet(names.indexOf(first) * 10 + names.indexOf(second), 9);
        assert.ok(fleet.measure(fleet.isComplete) < 5_000, "start");
        faults[first]?.(fleet);
        fleet.advance(700);
        faults[second]?.(fleet);
        fleet.advance(9_000);
        Object.assign(fleet.faults, { loss: 0, duplication: 0, maxDelayMs: 5, isLinkDown: () => false });
        const recoveryMs = fleet.measure(fleet.isComplete);
        assert.ok(recoveryMs < 8_000, `took ${recoveryMs} ms`);
    });
}

for (const fault of ["loss", "duplication", "reordering", "oneWay"]) {
    test(`no live router is declared dead during ${fault}`, () => {
        // Guards against takeovers and closed targets when the network only loses or delays some messages.
        const fleet = createFleet(5, 9);
        fleet.measure(fleet.isComplete);
        faults[fault]?.(fleet);
        fleet.advance(30_000);
        assert.is(fleet.countRaised("dead"), 0);
    });
}

test("every router declares a killed router dead within 5 s, and they agree on the new coordinators", () => {
    // Guards against pools without a coordinator, and against pools with two.
    const fleet = createFleet(7, 16);
    fleet.measure(fleet.isComplete);
    const pools = Array.from({ length: 40 }, (_, index) => `pool-${index}`);
    const before = pools.map(pool => fleet.get("router-0").slices.findCoordinator(pool).router);
    fleet.get("router-9").up = false;
    const others = fleet.list().filter(router => router.up);
    const detectMs = fleet.measure(() => others.every(({ slices }) => slices.getMember("router-9")?.state === "dead"));
    assert.ok(detectMs < 5_000, `took ${detectMs} ms`);
    for (const [index, pool] of pools.entries()) {
        const found = new Set(others.map(({ slices }) => slices.findCoordinator(pool).router));
        assert.is(found.size, 1);
        if (before[index] !== "router-9")
            assert.ok(found.has(before[index] as string), "other pools keep their coordinator");
        assert.not(found.has("router-9"));
    }
});

test("a suspected router keeps its pools, and refutes with a higher incarnation", () => {
    // Guards against a takeover after each broken connection, and against a live router that remains suspected.
    const fleet = createFleet(8, 5);
    fleet.measure(fleet.isComplete);
    const { slices, identity, raised } = fleet.get("router-0");
    const before = slices.getMember("router-3")?.incarnation ?? 0;
    fleet.deliver(identity, { type: "peerUnreachable", router: "router-3" });
    assert.is(slices.getMember("router-3")?.state, "suspect");
    assert.ok(slices.listRoutable().some(member => member.router === "router-3"));
    fleet.advance(1_500);
    assert.is(slices.getMember("router-3")?.state, "alive");
    assert.ok((slices.getMember("router-3")?.incarnation ?? 0) > before);
    assert.not(raised.some(event => event.type === "membershipChanged" && event.state === "dead"));
});

test("a leaving router is marked as left without a suspicion, and rejoins after a restart", () => {
    // Guards against requests to a router that shuts down, and against names that cannot be reused.
    const fleet = createFleet(9, 9);
    fleet.measure(fleet.isComplete);
    const leaving = fleet.get("router-3");
    fleet.deliver(leaving.identity, { type: "drainRequested" });
    const others = fleet.list().filter(router => router !== leaving);
    const leftMs = fleet.measure(() => others.every(({ slices }) => slices.getMember("router-3")?.state === "left"));
    assert.ok(leftMs < 3_000, `took ${leftMs} ms`);
    leaving.up = false;
    fleet.advance(6_000);
    assert.is(fleet.countRaised("suspect") + fleet.countRaised("dead"), 0);
    fleet.start("router-3");
    fleet.listHosts();
    assert.ok(fleet.measure(fleet.isComplete) < 6_000);
});

test("a resumed router suspects no member because of its own pause", () => {
    // Guards against a process that takes over the pools of all other routers when it resumes after a pause.
    const fleet = createFleet(10, 9);
    fleet.measure(fleet.isComplete);
    fleet.faults.loss = 1;
    fleet.advance(400);
    for (const { slices, clockOffset } of fleet.list()) {
        const resumedAt = fleet.getTime() + clockOffset + 20_000;
        const ticks = [0, 100, 200].flatMap(delay => slices.reduce({ type: "tick", now: resumedAt + delay }));
        assert.not(ticks.some(effect => effect.type === "raise" && effect.event.type === "membershipChanged"));
    }
});

test("an update with an older incarnation does not supersede a newer one", () => {
    // Guards against delayed messages about a previous process that mark a restarted router as dead.
    const fleet = createFleet(11, 3);
    fleet.measure(fleet.isComplete);
    const { slices, identity } = fleet.get("router-0");
    const member = slices.getMember("router-1");
    const update = { ...member, incarnation: (member?.incarnation ?? 0) - 1, state: "dead" };
    fleet.deliver(identity, { type: "peerMessage", from: "router-2", message: { type: "leaving", update } });
    assert.is(slices.getMember("router-1")?.state, "alive");
});

test("listed routers are counted once, and dead ones that are no longer listed are forgotten", () => {
    // Guards against a majority that includes hosts that no longer exist, and against memory that grows with restarts.
    const fleet = createFleet(12, 6);
    fleet.measure(fleet.isComplete);
    const { slices, identity } = fleet.get("router-0");
    assert.is(slices.countListed(), 6);
    fleet.get("router-5").up = false;
    fleet.advance(8_000);
    assert.is(slices.countListedAlive(), 5);
    fleet.deliver(identity, { type: "hostsListed", hosts: fleet.store.hosts.filter(host => host.name !== "router-5") });
    assert.is(slices.countListed(), 5);
    fleet.advance(70_000);
    assert.is(slices.getMember("router-5"), undefined);
});

test("the message rate of a router does not grow with the fleet", () => {
    // Guards against control traffic that exceeds its budget in a large fleet.
    const rates = [8, 64].map(count => {
        const fleet = createFleet(13, count);
        fleet.measure(fleet.isComplete);
        fleet.advance(10_000);
        fleet.list().forEach(router => void (router.sent = 0));
        fleet.advance(20_000);
        return fleet.list().reduce((sum, router) => sum + router.sent, 0) / count / 20;
    });
    assert.ok((rates[1] ?? 0) < (rates[0] ?? 0) * 1.2, rates.join(" and "));
});

test("rendezvous hashing distributes keys evenly, and a removed name moves only its own keys", () => {
    // Guards against one router that coordinates most pools, and against unnecessary takeovers.
    const routers = Array.from({ length: 16 }, (_, index) => `router-${index}`);
    const keys = Array.from({ length: 1_600 }, (_, index) => `pool-${index}`);
    const counts = new Map<string, number>();
    for (const key of keys) {
        const chosen = chooseByRendezvous(key, routers) as string;
        counts.set(chosen, (counts.get(chosen) ?? 0) + 1);
        assert.is(rankByRendezvous(key, routers)[0], chosen);
        if (chosen !== "router-3")
            assert.is(chooseByRendezvous(key, routers.filter(name => name !== "router-3")), chosen);
    }
    assert.is(counts.size, 16);
    assert.ok(Math.max(...counts.values()) < 160);
    assert.is(chooseByRendezvous("pool", []), undefined);
});

test.run();
