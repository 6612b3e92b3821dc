/** Guards against grants that the coordinator must not make (G3): leases, takeovers and restarts, seen from its messages. */
import type { Effect } from "@rhubarbwheel/types/effects";
import type { RouterEvent } from "@rhubarbwheel/types/events";
import type { PoolAnnouncementMessage, PoolReportMessage, VirtualTimeCopy } from "@rhubarbwheel/types/peer-messages";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createPoolCoordinator } from "../src/createPoolCoordinator.js";

const target = { name: "t1", address: "http://t1", failureDomain: "fd1" };
const spec = { kind: "model" as const, targets: [target], targetLimit: 4, coldLimit: 2 };
const members = ["r1", "r2"].map(router => ({
    router,
    incarnation: 1,
    state: "alive" as const,
    address: `${router}:1`,
    failureDomain: "fd1",
}));

/** What a router holds after an announcement that may leave out unchanged entries; grants of older generations are void. */
function mergeAnnouncement(
    before: PoolAnnouncementMessage | undefined,
    message: PoolAnnouncementMessage,
): PoolAnnouncementMessage {
    if (before === undefined || message.partial !== true) return message;
    const targets = message.targets.length > 0 ? message.targets : before.targets;
    const granted = (message.granted.length > 0 ? message.granted : before.granted)
        .filter(grant => grant.generation === targets[0]?.generation);
    return { ...message, targets, granted };
}

function createCoordinator() {
    const service = { name: "proofs", version: 1, spec };
    const state = { now: 0, alive: 2, listed: 2, coordinator: members[0], sequence: 0 };
    const announced = new Map<string, PoolAnnouncementMessage>();
    const effects: Effect[] = [];
    const coordinator = createPoolCoordinator({
        identity: { router: "r1", incarnation: 1, address: "r1:1", failureDomain: "fd1" },
        membership: {
            listRoutable: () => members.slice(0, state.alive),
            getMember: router => members.find(member => member.router === router),
            countListed: () => state.listed,
            countListedAlive: () => state.alive,
            findCoordinator: () => state.coordinator as (typeof members)[number],
        },
        configuration: {
            listServices: () => [service],
            getService: () => service,
            getWorkspace: () => ({ share: 1, credentialHashes: [] }),
            getFailureDomain: () => ({ state: "in" }),
            isTargetOpen: () => true,
            getFreshness: () => "fresh",
            getDigest: () => ({ revision: 1, storeUnreachable: false }),
        },
    });
    const send = (event: RouterEvent) => {
        for (const effect of coordinator.reduce({ ...event, now: state.now })) {
            effects.push(effect);
            if (effect.type === "sendToPeer" && effect.message.type === "poolAnnouncement")
                announced.set(effect.router, mergeAnnouncement(announced.get(effect.router), effect.message));
        }
    };
    const tick = (until: number) => {
        for (; state.now < until; state.now += 100) send({ type: "tick", now: 0 });
    };
    const report = (from: string, queued: number, changes: Partial<PoolReportMessage> = {}) => {
        const usage = [{ workspace: "a", totalCost: 0, queued, estimatedCost: 100 }];
        const message = {
            type: "poolReport" as const,
            pool: "proofs",
            incarnation: 1,
            sequence: state.sequence += 1,
            usage,
            slots: [],
            granted: [],
            observations: [],
            totalsInCopy: [],
            ...changes,
        };
        send({ type: "peerMessage", now: 0, from, message });
    };
    const load = (running: number, startId = "s1") => {
        const about = { target: "t1", startId, running, queued: 0, ageMs: 0 };
        state.now += 1;
        send({ type: "loadReported", now: 0, service: "proofs", report: about });
    };
    const answerLease = (result: "held" | "taken" | "unavailable", validForMs = 5000) => {
        const lease = "cold/proofs/t1";
        send({ type: "leaseAnswered", now: 0, lease, result, validUntil: state.now + validForMs, fencingNumber: 1 });
    };
    /** Slots that the routers were told of, over all generations. */
    const countGranted = (router: string) =>
        announced.get(router)?.granted.reduce((sum, grant) => sum + grant.total, 0) ?? 0;
    return { state, announced, effects, coordinator, send, tick, report, load, answerLease, countGranted };
}

const warmCopy: VirtualTimeCopy = {
    version: 40,
    poolVirtualTime: 10,
    entries: [],
    targets: [{ target: "t1", generation: 3, condition: "warm", limit: 4, startId: "s1" }],
};

/** Brings the coordinator to the point where only the lease of its cold target is missing. */
function startCold() {
    const fleet = createCoordinator();
    fleet.tick(100);
    fleet.report("r1", 5);
    fleet.report("r2", 5);
    fleet.load(0);
    fleet.load(0);
    fleet.tick(300);
    return fleet;
}

test("a cold target is granted up to its cold limit, and only with the lease", () => {
    const { answerLease, countGranted, effects } = startCold();
    assert.ok(effects.some(effect => effect.type === "acquireLease" && effect.lease === "cold/proofs/t1"));
    assert.is(countGranted("r1") + countGranted("r2"), 0);
    answerLease("held");
    assert.is(countGranted("r1") + countGranted("r2"), 2);
});

test("a lease that another router holds allows no grant", () => {
    const { answerLease, countGranted, tick } = startCold();
    answerLease("taken");
    tick(8000);
    assert.is(countGranted("r1") + countGranted("r2"), 0);
});

test("a lease that ended during a pause allows no grant, and its slots are withdrawn", () => {
    const { answerLease, announced, state, report, tick, countGranted } = startCold();
    answerLease("held");
    const generation = announced.get("r1")?.targets[0]?.generation ?? 0;
    state.now += 6000;
    tick(state.now + 600);
    report("r1", 5);
    report("r2", 5);
    tick(state.now + 100);
    assert.is(announced.get("r1")?.targets[0]?.generation, generation + 1);
    assert.is(countGranted("r1") + countGranted("r2"), 0);
});

test("without the store, a majority grants once another router's lease must have ended, a minority never", () => {
    for (const [alive, expected] of [[2, 2], [1, 0]] as const) {
        const { answerLease, countGranted, tick, state } = startCold();
        state.alive = alive;
        answerLease("unavailable");
        tick(4900);
        assert.is(countGranted("r1") + countGranted("r2"), 0);
        answerLease("unavailable");
        tick(6500);
        assert.is(countGranted("r1") + countGranted("r2"), expected);
    }
});

test("a new coordinator keeps warm targets warm, and counts what routers hold before it grants", () => {
    const { report, load, tick, countGranted, coordinator, announced } = createCoordinator();
    tick(100);
    const held = { slots: [{ target: "t1", generation: 3, held: 3, inUse: 3 }] };
    report("r1", 5, { ...held, copy: warmCopy, granted: [{ target: "t1", generation: 3, total: 9 }] });
    load(3);
    assert.is(countGranted("r1"), 9);
    report("r2", 5, { copy: warmCopy, granted: [{ target: "t1", generation: 3, total: 4 }] });
    assert.is(countGranted("r1") + countGranted("r2"), 13);
    load(3);
    load(3);
    assert.is(countGranted("r1") + countGranted("r2"), 14);
    assert.is(coordinator.listTargets()[0]?.condition, "warm");
    assert.ok((announced.get("r1")?.version ?? 0) > warmCopy.version);
});

test("slots of a dead router count as taken until two later load reports show fewer running requests", () => {
    const { report, load, tick, countGranted, send, state } = createCoordinator();
    const granted = { copy: warmCopy, granted: [{ target: "t1", generation: 3, total: 4 }] };
    tick(100);
    report("r2", 0, { ...granted, slots: [{ target: "t1", generation: 3, held: 4, inUse: 4 }] });
    report("r1", 9, { copy: warmCopy });
    load(4);
    Object.assign(state, { alive: 1, listed: 1 });
    send({ type: "membershipChanged", now: 0, router: "r2", state: "dead", incarnation: 1 });
    tick(state.now + 200);
    assert.is(countGranted("r1"), 0);
    load(3);
    assert.is(countGranted("r1"), 0);
    load(3);
    assert.is(countGranted("r1"), 1);
});

test("an idle target, which may have restarted unnoticed, is granted its cold limit until requests run there", () => {
    const { report, load, tick, countGranted } = createCoordinator();
    tick(100);
    report("r1", 0, { copy: warmCopy });
    report("r2", 0, { copy: warmCopy });
    load(0);
    load(0);
    const before = countGranted("r1");
    report("r1", 4);
    assert.is(countGranted("r1") - before, 2);
    const used = { target: "t1", generation: 3 };
    report("r1", 2, { slots: [{ ...used, held: 2, inUse: 2 }], granted: [{ ...used, total: 2 }] });
    assert.is(countGranted("r1") - before, 4);
});

test("a coordinator that lost its state asks for copies instead of taking warm targets as cold", () => {
    const { report, load, tick, announced, coordinator } = createCoordinator();
    tick(100);
    load(1);
    const granted = [{ target: "t1", generation: 3, total: 2 }];
    report("r1", 5, { granted });
    // The router ignores this version, and answers with its copy.
    assert.is(announced.get("r1")?.version, 1);
    report("r1", 5, { copy: warmCopy, granted });
    report("r2", 5, { granted });
    assert.is(coordinator.listTargets()[0]?.condition, "warm");
});

test("a router that is no longer coordinator grants and polls nothing", () => {
    const { answerLease, state, tick, effects, report, load } = startCold();
    answerLease("held");
    state.coordinator = members[1];
    tick(state.now + 100);
    effects.length = 0;
    report("r1", 9);
    load(0);
    tick(state.now + 2000);
    assert.equal(effects.filter(({ type }) => type !== "log" && type !== "releaseLease"), []);
});

test("a workspace that starts to wait has no credit from its idle time", () => {
    const { report, coordinator, tick, load } = createCoordinator();
    tick(100);
    report("r1", 0, { copy: { ...warmCopy, poolVirtualTime: 500 } });
    report("r2", 0, { copy: warmCopy });
    load(0);
    report("r1", 1);
    assert.is(coordinator.listWorkspaces()[0]?.virtualTime, 500);
});

test.run();
