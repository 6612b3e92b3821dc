/** Guards against grants that exceed the limit of a target (guarantee G3) after lost leases, takeovers and restarts. */
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

/** Merges an announcement that may omit unchanged entries, as a router does; grants of older generations are void. */
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
    const sendReport = (from: string, queued: number, changes: Partial<PoolReportMessage> = {}) => {
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
    const reportLoad = (running: number, startId = "s1") => {
        const loadReport = { target: "t1", startId, running, queued: 0, ageMs: 0 };
        state.now += 1;
        send({ type: "loadReported", now: 0, service: "proofs", report: loadReport });
    };
    const sendLeaseResult = (result: "held" | "taken" | "unavailable", validForMs = 5000) => {
        const lease = "cold/proofs/t1";
        send({ type: "leaseAnswered", now: 0, lease, result, validUntil: state.now + validForMs, fencingNumber: 1 });
    };
    /** Sum of the grant totals in the last announcement to the router. */
    const countGranted = (router: string) =>
        announced.get(router)?.granted.reduce((sum, grant) => sum + grant.total, 0) ?? 0;
    return {
        state,
        announced,
        effects,
        coordinator,
        send,
        tick,
        sendReport,
        reportLoad,
        sendLeaseResult,
        countGranted,
    };
}

const warmCopy: VirtualTimeCopy = {
    version: 40,
    poolVirtualTime: 10,
    entries: [],
    targets: [{ target: "t1", generation: 3, condition: "warm", limit: 4, startId: "s1" }],
};

/** Creates a coordinator that needs only the lease of its cold target to grant slots. */
function createColdCoordinator() {
    const fixture = createCoordinator();
    fixture.tick(100);
    fixture.sendReport("r1", 5);
    fixture.sendReport("r2", 5);
    fixture.reportLoad(0);
    fixture.reportLoad(0);
    fixture.tick(300);
    return fixture;
}

test("slots of a cold target are granted up to its cold limit, and only with the lease", () => {
    const { sendLeaseResult, countGranted, effects } = createColdCoordinator();
    assert.ok(effects.some(effect => effect.type === "acquireLease" && effect.lease === "cold/proofs/t1"));
    assert.is(countGranted("r1") + countGranted("r2"), 0);
    sendLeaseResult("held");
    assert.is(countGranted("r1") + countGranted("r2"), 2);
});

test("a lease that another router holds allows no grant", () => {
    const { sendLeaseResult, countGranted, tick } = createColdCoordinator();
    sendLeaseResult("taken");
    tick(8000);
    assert.is(countGranted("r1") + countGranted("r2"), 0);
});

test("a lease that expired during a pause allows no grant, and its slots are withdrawn", () => {
    const { sendLeaseResult, announced, state, sendReport, tick, countGranted } = createColdCoordinator();
    sendLeaseResult("held");
    const generation = announced.get("r1")?.targets[0]?.generation ?? 0;
    state.now += 6000;
    tick(state.now + 600);
    sendReport("r1", 5);
    sendReport("r2", 5);
    tick(state.now + 100);
    assert.is(announced.get("r1")?.targets[0]?.generation, generation + 1);
    assert.is(countGranted("r1") + countGranted("r2"), 0);
});

test("without the store, a majority grants once another router's lease must have expired, a minority never", () => {
    for (const [alive, expected] of [[2, 2], [1, 0]] as const) {
        const { sendLeaseResult, countGranted, tick, state } = createColdCoordinator();
        state.alive = alive;
        sendLeaseResult("unavailable");
        tick(4900);
        assert.is(countGranted("r1") + countGranted("r2"), 0);
        sendLeaseResult("unavailable");
        tick(6500);
        assert.is(countGranted("r1") + countGranted("r2"), expected);
    }
});

test("a new coordinator keeps warm targets warm, and counts the slots of all routers before it grants", () => {
    const { sendReport, reportLoad, tick, countGranted, coordinator, announced } = createCoordinator();
    tick(100);
    const held = { slots: [{ target: "t1", generation: 3, held: 3, inUse: 3 }] };
    sendReport("r1", 5, { ...held, copy: warmCopy, granted: [{ target: "t1", generation: 3, total: 9 }] });
    reportLoad(3);
    assert.is(countGranted("r1"), 9);
    sendReport("r2", 5, { copy: warmCopy, granted: [{ target: "t1", generation: 3, total: 4 }] });
    assert.is(countGranted("r1") + countGranted("r2"), 13);
    reportLoad(3);
    reportLoad(3);
    assert.is(countGranted("r1") + countGranted("r2"), 14);
    assert.is(coordinator.listTargets()[0]?.condition, "warm");
    assert.ok((announced.get("r1")?.version ?? 0) > warmCopy.version);
});

test("slots of a dead router count as in use until two later load reports show fewer running requests", () => {
    const { sendReport, reportLoad, tick, countGranted, send, state } = createCoordinator();
    const granted = { copy: warmCopy, granted: [{ target: "t1", generation: 3, total: 4 }] };
    tick(100);
    sendReport("r2", 0, { ...granted, slots: [{ target: "t1", generation: 3, held: 4, inUse: 4 }] });
    sendReport("r1", 9, { copy: warmCopy });
    reportLoad(4);
    Object.assign(state, { alive: 1, listed: 1 });
    send({ type: "membershipChanged", now: 0, router: "r2", state: "dead", incarnation: 1 });
    tick(state.now + 200);
    assert.is(countGranted("r1"), 0);
    reportLoad(3);
    assert.is(countGranted("r1"), 0);
    reportLoad(3);
    assert.is(countGranted("r1"), 1);
});

test("an idle target may have restarted, so only its cold limit is granted until requests are in use there", () => {
    const { sendReport, reportLoad, tick, countGranted } = createCoordinator();
    tick(100);
    sendReport("r1", 0, { copy: warmCopy });
    sendReport("r2", 0, { copy: warmCopy });
    reportLoad(0);
    reportLoad(0);
    const before = countGranted("r1");
    sendReport("r1", 4);
    assert.is(countGranted("r1") - before, 2);
    const used = { target: "t1", generation: 3 };
    sendReport("r1", 2, { slots: [{ ...used, held: 2, inUse: 2 }], granted: [{ ...used, total: 2 }] });
    assert.is(countGranted("r1") - before, 4);
});

test("a coordinator that lost its state requests copies instead of treating warm targets as cold", () => {
    const { sendReport, reportLoad, tick, announced, coordinator } = createCoordinator();
    tick(100);
    reportLoad(1);
    const granted = [{ target: "t1", generation: 3, total: 2 }];
    sendReport("r1", 5, { granted });
    // The router ignores this low version and sends its copy.
    assert.is(announced.get("r1")?.version, 1);
    sendReport("r1", 5, { copy: warmCopy, granted });
    sendReport("r2", 5, { granted });
    assert.is(coordinator.listTargets()[0]?.condition, "warm");
});

test("a router that is no longer the coordinator grants no slots and polls no targets", () => {
    const { sendLeaseResult, state, tick, effects, sendReport, reportLoad } = createColdCoordinator();
    sendLeaseResult("held");
    state.coordinator = members[1];
    tick(state.now + 100);
    effects.length = 0;
    sendReport("r1", 9);
    reportLoad(0);
    tick(state.now + 2000);
    assert.equal(effects.filter(({ type }) => type !== "log" && type !== "releaseLease"), []);
});

test("a workspace gains no credit while it has no queued requests", () => {
    const { sendReport, coordinator, tick, reportLoad } = createCoordinator();
    tick(100);
    sendReport("r1", 0, { copy: { ...warmCopy, poolVirtualTime: 500 } });
    sendReport("r2", 0, { copy: warmCopy });
    reportLoad(0);
    sendReport("r1", 1);
    assert.is(coordinator.listWorkspaces()[0]?.virtualTime, 500);
});

test.run();
