import { createConfiguration } from "@rhubarbwheel/configuration/createConfiguration";
import type { FakeRouter } from "@rhubarbwheel/membership/test/createFakeFleet";
import type { StoreMode } from "@rhubarbwheel/membership/test/createFakeStore";
import type { Effect } from "@rhubarbwheel/types/effects";
import type { Resource } from "@rhubarbwheel/types/resources";
import type { Member } from "@rhubarbwheel/types/slices";
import { test } from "uvu";
import * as assert from "uvu/assert";

import { createFleet, type RouterSlices } from "./createRouterSlices.js";

type Router = FakeRouter<RouterSlices>;

/** Starts 16 routers in 4 failure domains, and waits until all are fresh and hold one service. */
function startFleet(seed: number) {
    const fleet = createFleet(seed, 16, 4);
    fleet.accept("services", "orders", {
        kind: "plain",
        targets: [{ name: "desk-1", address: "http://127.0.0.1:9001", failureDomain: "domain-1" }],
        targetLimit: 4,
        coldLimit: 1,
    });
    fleet.advance(6_000);
    const list = () => [...fleet.routers.values()];
    const get = (name: string) => fleet.routers.get(name) as Router;
    const isFresh = ({ slices }: Router) => slices.configuration.getFreshness() === "fresh";
    /** Advances the clock until the condition holds, for at most 10 s; returns the time taken in ms. */
    const measure = (isReached: () => boolean): number => {
        const from = fleet.getTime();
        while (!isReached() && fleet.getTime() - from < 10_000) fleet.advance(50);
        return fleet.getTime() - from;
    };
    assert.ok(list().every(isFresh), "every router is fresh after the start");
    return { ...fleet, list, get, isFresh, measure };
}

type Fleet = ReturnType<typeof startFleet>;

const storeModes: readonly StoreMode[] = ["up", "down", "hung", "slow", "responseLost"];
const networkFaults: Readonly<Record<string, (fleet: Fleet) => void>> = {
    none: () => undefined,
    loss: fleet => void (fleet.faults.loss = 0.1),
    reordering: fleet => void (fleet.faults.maxDelayMs = 100),
    duplication: fleet => void (fleet.faults.duplication = 0.5),
    killedRouter: fleet => void (fleet.get("router-4").up = false),
};

for (const mode of storeModes) {
    for (const [fault, apply] of Object.entries(networkFaults)) {
        // Guards against routers that stop serving because the store is down or slow, alone or with a second fault.
        test(`connected routers stay fresh with the store ${mode} and ${fault}`, () => {
            const fleet = startFleet(storeModes.indexOf(mode) * 10 + 1);
            fleet.faults.getStoreMode = () => mode;
            apply(fleet);
            for (let elapsed = 0; elapsed < 12_000; elapsed += 100) {
                fleet.advance(100);
                const stale = fleet.list().filter(router => router.up && !fleet.isFresh(router));
                assert.equal(stale.map(({ identity }) => identity.router), [], `after ${elapsed} ms`);
            }
        });
    }

    test(`a partitioned router goes stale within 3 s with the store ${mode} for the others`, () => {
        // Guards against new work under a configuration that cannot be updated (G4).
        const fleet = startFleet(7);
        fleet.faults.getStoreMode = name => name === "router-5" ? "hung" : mode;
        fleet.advance(4_000);
        fleet.faults.isLinkDown = (from, to) => from === "router-5" || to === "router-5";
        const staleMs = fleet.measure(() => !fleet.isFresh(fleet.get("router-5")));
        assert.ok(staleMs <= 3_000, `took ${staleMs} ms`);
        assert.ok(fleet.list().filter(router => router !== fleet.get("router-5")).every(fleet.isFresh));
    });
}

test("without the store, the majority of a partition stays fresh and the minority goes stale", () => {
    // Guards against two sides of a partition that serve under different configurations.
    const fleet = startFleet(8);
    const isMinority = ({ identity }: Router) => identity.failureDomain === "domain-0";
    fleet.faults.getStoreMode = () => "down";
    fleet.advance(5_000);
    fleet.faults.isLinkDown = (from, to) => isMinority(fleet.get(from)) !== isMinority(fleet.get(to));
    fleet.advance(3_000);
    for (const router of fleet.list()) assert.is(fleet.isFresh(router), !isMinority(router));
});

test("a router that restarts while the store is down serves with the majority, and not in a minority", () => {
    // Guards against lost capacity in long outages, and against a majority that is computed from the seeds alone.
    const fleet = startFleet(9);
    fleet.faults.getStoreMode = () => "down";
    fleet.advance(5_000);
    fleet.start("router-6");
    assert.ok(fleet.measure(() => fleet.isFresh(fleet.get("router-6"))) < 5_000);
    assert.is(fleet.get("router-6").slices.configuration.getService("orders")?.version, 1);
    const isMinority = (name: string) => ["router-0", "router-1"].includes(name);
    fleet.faults.isLinkDown = (from, to) => isMinority(from) !== isMinority(to);
    fleet.start("router-0");
    for (let elapsed = 0; elapsed < 8_000; elapsed += 100) {
        fleet.advance(100);
        assert.not(fleet.isFresh(fleet.get("router-0")));
    }
});

test("a resumed process is stale on its first event, whatever that event is", () => {
    // Guards against new work by a process that was paused while a failure domain was taken out of service (G4).
    for (const type of ["tick", "drainRequested", "configurationRead"] as const) {
        const { slices, identity, clockOffset, raised, ...router } = startFleet(10).get("router-3");
        assert.ok(router.up && identity.router === "router-3");
        const now = clockOffset + 6_000 + 2_600;
        const response = { revision: 1, resources: [], requestSentAt: now - 1 };
        const effects = slices.configuration.reduce({ type, now, ...response });
        const events = effects.flatMap(effect => effect.type === "raise" ? [effect.event] : []);
        assert.equal(events[0], { type: "freshnessChanged", now, freshness: "stale" });
        assert.ok(raised.length > 0);
    }
});

test("every router closes a leaving target within 3 s, and mostly watchers read the host list", () => {
    // Guards against new work for a leaving target (G8), and against a read rate that grows with the fleet.
    const fleet = startFleet(11);
    assert.ok(fleet.list().every(({ slices }) => slices.configuration.isTargetOpen("orders", "desk-1")));
    const address = "http://127.0.0.1:9001";
    const target = { name: "desk-1", role: "target", address, failureDomain: "domain-1" } as const;
    fleet.store.hosts.push({ ...target, state: "leaving" });
    const closedMs = fleet.measure(() =>
        fleet.list().every(({ slices }) => !slices.configuration.isTargetOpen("orders", "desk-1"))
    );
    // Fails if a router had to read the list itself, which it does only after 2 s without a digest from a peer.
    assert.ok(closedMs < 1_500, `took ${closedMs} ms`);
    const before = fleet.store.requestCounts.listHosts;
    fleet.advance(10_000);
    assert.ok(fleet.store.requestCounts.listHosts - before <= 8 * 12, "eight watchers, about once a second");
});

test("a target is open only while its service lists it and its failure domain is not out", () => {
    // Guards against requests to targets that were removed or taken out of service.
    const fleet = startFleet(12);
    const isOpen = (target = "desk-1") => fleet.get("router-0").slices.configuration.isTargetOpen("orders", target);
    const accept = (name: string, state: string) => {
        fleet.accept("failuredomains", name, { state });
        fleet.advance(1_500);
    };
    assert.ok(isOpen());
    assert.not(isOpen("desk-2"));
    accept("domain-2", "out");
    assert.ok(isOpen());
    accept("domain-1", "out");
    assert.not(isOpen());
    accept("domain-1", "in");
    assert.ok(isOpen());
});

const self = { router: "a", incarnation: 1, address: "127.0.0.1:1", failureDomain: "d" };
const peer: Member = { ...self, router: "b", state: "alive" };

/** A single slice that receives events from the test. It is a watcher, because its failure domain has two routers. */
function createSlice() {
    const members = [{ ...self, state: "alive" } as Member, peer];
    const membership = {
        listRoutable: () => members,
        getMember: (router: string) => members.find(member => member.router === router),
        countListed: () => 2,
        countListedAlive: () => 2,
    };
    const slice = createConfiguration({ identity: self, membership, random: () => 0.5 });
    const requests: Effect[] = [];
    const dispatch = (event: Parameters<typeof slice.reduce>[0]) => {
        const effects = slice.reduce(event);
        requests.push(...effects.filter(({ type }) => type === "readConfiguration" || type === "watchConfiguration"));
        return effects;
    };
    const tick = (from: number, to: number) => {
        for (let now = from; now <= to; now += 100) dispatch({ type: "tick", now });
    };
    return { slice, dispatch, tick, requests };
}

const createWorkspaces = (count: number): readonly Resource[] =>
    Array.from({ length: count }, (_, index) => ({
        kind: "workspaces",
        name: `w${index}`,
        version: 1,
        revision: index + 1,
        spec: { share: 1, credentialHashes: [] },
    }));

test("a watcher has one outstanding request, backs off, and does a full read if its revision is compacted", () => {
    // Guards against store requests that multiply during an outage, and against a watcher that never recovers.
    const { slice, dispatch, tick, requests } = createSlice();
    tick(0, 5_000);
    assert.equal(requests, [{ type: "readConfiguration" }]);
    dispatch({
        type: "configurationRead",
        now: 5_000,
        revision: 3,
        resources: createWorkspaces(3),
        requestSentAt: 700,
    });
    tick(5_100, 8_000);
    assert.equal(requests.slice(1).map(({ type }) => type), ["watchConfiguration"]);
    assert.ok(slice.getDigest(8_000).storeUnreachable, "an overdue request counts as an outage");
    const attempts: number[] = [];
    for (let now = 8_100; now <= 14_000; now += 100) {
        const before = requests.length;
        tick(now, now);
        if (requests.length > before) attempts.push(now);
        if (requests.length > before || now === 8_100)
            dispatch({ type: "platformUnavailable", now, operation: "watchConfiguration" });
    }
    const gaps = attempts.slice(1).map((at, index) => at - (attempts[index] as number));
    assert.equal(gaps.slice(0, 5), [200, 300, 600, 800, 800]);
    dispatch({ type: "platformUnavailable", now: 14_100, operation: "watchConfiguration", revisionGone: true });
    tick(14_100, 14_300);
    assert.is(requests.at(-1)?.type, "readConfiguration");
});

test("a large gap is repaired by several updates that may arrive in any order", () => {
    // Guards against messages over the size limit, and against a revision that includes missing changes.
    const source = createSlice();
    source.dispatch({ type: "tick", now: 0 });
    source.dispatch({
        type: "configurationRead",
        now: 10,
        revision: 450,
        resources: createWorkspaces(450),
        requestSentAt: 0,
    });
    const request = { type: "configurationRequest", revision: 0 } as const;
    const parts = source.dispatch({ type: "peerMessage", now: 20, from: "b", message: request })
        .flatMap(effect => effect.type === "sendToPeer" ? [effect.message] : []);
    assert.is(parts.length, 3);
    const receiver = createSlice();
    const revisions = [...parts].reverse().map(message => {
        receiver.dispatch({ type: "peerMessage", now: 30, from: "b", message });
        return receiver.slice.getRevision();
    });
    assert.equal(revisions, [0, 0, 450]);
    assert.is(receiver.slice.listResources("workspaces").length, 450);
});

test("an accepted write of this router is pushed and applied before the operator gets a response", () => {
    // Guards against an accepted change that only one router holds if the store fails immediately afterwards.
    const { slice, dispatch } = createSlice();
    dispatch({ type: "tick", now: 0 });
    dispatch({ type: "configurationRead", now: 10, revision: 3, resources: createWorkspaces(3), requestSentAt: 0 });
    const resources = createWorkspaces(5).slice(4);
    const range = { fromRevision: 4, revision: 5, requestSentAt: 50, ownWrite: true };
    const effects = dispatch({ type: "configurationChanged", now: 60, resources, ...range });
    const sent = effects.flatMap(effect => effect.type === "sendToPeer" ? [effect.message.type] : []);
    assert.equal(sent, ["configurationUpdate"]);
    assert.is(slice.getWorkspace("w4")?.share, 1);
    assert.is(slice.getRevision(), 3, "the revision does not include a change beyond a gap");
});

test("a delayed acknowledgement confirms only as of the time of its probe", () => {
    // Guards against an outdated configuration that appears current through a message delayed by a partition (G4).
    const { slice, dispatch } = createSlice();
    dispatch({ type: "tick", now: 0 });
    dispatch({ type: "configurationRead", now: 10, revision: 0, resources: [], requestSentAt: 0 });
    const probes = dispatch({ type: "tick", now: 700 })
        .flatMap(effect => effect.type === "sendToPeer" && effect.message.type === "probe" ? [effect.message] : []);
    const sequence = probes[0]?.sequence as number;
    const digest = { revision: 0, confirmedAgeMs: 0, storeUnreachable: false };
    const ack = { type: "probeAck", sequence, router: "b", updates: [], digest } as const;
    dispatch({ type: "peerMessage", now: 2_400, from: "b", message: ack });
    assert.is(slice.getDigest(2_400).confirmedAgeMs, 1_700);
});

test.run();
