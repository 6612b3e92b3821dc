/** Rollouts at coordinators with a fake store and fake deciders, on a fake clock. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createRequest } from "./placementFixtures.js";
import { createFakeStore, createRouter, rolloutTargets, startRollout } from "./rolloutHarness.js";

test("a good version is observed, shifted to when the store has accepted, and completed when old calls have ended", () => {
    const { store, router } = startRollout();
    assert.equal(store.get()?.status, {
        state: "running",
        phase: "observing",
        targetVersion: "v2",
        replacedVersions: ["v1"],
        startedAtUnixMs: 1_000_000,
    });
    assert.is(router.countCanaryTargets(1_100), 1);
    router.setDecision("shift");
    router.wake(2_000);
    assert.is(router.phases.at(-1), "shifting");
    assert.is(router.countCanaryTargets(2_100), 0);
    assert.ok(router.view.listUsableTargets("orders").every(({ version }) => version === "v2"));
    router.setInFlight(1);
    router.setDecision("complete");
    router.wake(5_000);
    assert.is(store.get()?.status?.state, "running");
    router.setInFlight(0);
    router.wake(5_100);
    assert.equal(store.writes, ["running observing ok", "running shifting ok", "completed ok"]);
    assert.is(router.coordinator.countActive(), 0);
    assert.is(router.coordinator.getWakeAt(), Infinity);
});

// Guards against a verdict that is lost with its decider, and against a new clock for the next one.
test("a decider that is killed between verdict and write is followed by one that observes in the remaining time", () => {
    const { store, router } = startRollout();
    router.setDecision("rollBack");
    router.wake(2_000, true);
    assert.is(store.get()?.status?.state, "running");
    const next = createRouter("r2", store, { wallClockMs: 1_004_000 });
    next.readStore(5_000);
    assert.equal(next.deciders.map(({ elapsedMs, phase }) => ({ elapsedMs, phase })), [
        { elapsedMs: 4_000, phase: "observing" },
    ]);
    next.setDecision("rollBack");
    next.wake(6_000);
    assert.is(store.get()?.status?.state, "rolledBack");
});

// Guards against canaries that go on while a bad verdict cannot be written, and against retries that stop or hurry.
test("a bad verdict holds while the store is down, and is written when it returns", () => {
    const { store, router } = startRollout();
    store.setDown(true);
    router.setDecision("rollBack");
    for (let now = 2_000; now < 7_000; now += 100) router.wake(now);
    assert.is(router.countCanaryTargets(7_000), 0);
    const attempts = store.writes.filter(write => write.endsWith("unavailable")).length;
    assert.ok(attempts >= 6 && attempts <= 9, `${attempts} attempts in 5 s`);
    router.setDecision("wait");
    store.setDown(false);
    router.wake(8_000);
    assert.is(store.get()?.status?.state, "rolledBack");
});

test("canaries continue within their share while the store is down without a verdict", () => {
    const { store, router } = startRollout();
    store.setDown(true);
    router.wake(3_000);
    assert.is(router.countCanaryTargets(3_000), 1);
});

// Guards against a decider that writes over the decision of another one.
test("of two deciders, the second to write gets a conflict and applies the order that it returns", () => {
    const { store, router } = startRollout();
    const other = createRouter("r2", store);
    other.readStore(1_500);
    router.setDecision("rollBack");
    router.wake(2_000);
    other.setDecision("shift");
    other.wake(2_050);
    assert.equal(store.writes, ["running observing ok", "rolledBack ok", "running shifting conflict"]);
    assert.is(other.coordinator.countActive(), 0);
    assert.ok(other.view.listUsableTargets("orders").every(({ version }) => version === "v1"));
});

// Guards against a bad verdict that is dropped because another coordinator has started the shift.
test("a bad verdict wins over the shift of another decider", () => {
    const { store, router } = startRollout();
    const other = createRouter("r2", store);
    other.readStore(1_500);
    other.setDecision("shift");
    other.wake(2_000);
    router.setDecision("rollBack");
    router.wake(2_050);
    assert.equal(store.writes.slice(1), ["running shifting ok", "rolledBack conflict", "rolledBack ok"]);
});

// Guards against a router that is cut off from the coordinator, takes over with only its own requests, and decides on
// them.
test("a coordinator that is not the first by rank decides late without evidence, and at once with it", () => {
    const store = createFakeStore();
    const router = createRouter("r2", store);
    store.order("v2");
    router.readStore(1_000);
    router.setDecision("rollBack", "tooFewResponses");
    router.wake(9_000);
    assert.equal(store.writes, ["running observing ok"]);
    router.wake(1_000 + 0.85 * 12_000);
    assert.equal(store.writes.slice(1), ["rolledBack ok"]);
    store.order("v2");
    router.setDecision("rollBack", "failures");
    router.readStore(20_000);
    assert.equal(store.writes.slice(2), ["rolledBack ok"]);
});

test("a coordinator without evidence follows the shift of another one, and completes late", () => {
    const store = createFakeStore();
    const router = createRouter("r2", store);
    store.order("v2");
    router.readStore(1_000);
    router.setDecision("rollBack", "tooFewResponses");
    const { era, revision, status } = store.get()!;
    store.write({ service: "orders", era, revision, status: { ...status!, phase: "shifting" } });
    router.readStore(9_000);
    assert.equal(router.deciders.map(({ phase }) => phase), ["observing", "shifting"]);
    router.setDecision("complete");
    router.wake(10_000);
    assert.is(store.get()?.status?.state, "running");
    router.wake(11_500);
    assert.is(store.get()?.status?.state, "completed");
});

// Guards against an order that stays as it was before the store came back, because its revision was higher then.
test("a status that the store has lost is written again", () => {
    const { store, router } = startRollout();
    const copy = store.get()!;
    router.setDecision("shift");
    router.wake(2_000);
    assert.equal([store.get()?.status?.phase, router.view.rollouts?.getOrder("orders")?.status?.phase], [
        "shifting",
        "shifting",
    ]);
    store.restoreCopy(copy);
    router.readStore(3_000);
    assert.is(router.view.rollouts?.getOrder("orders")?.era, 2);
    router.wake(3_500);
    assert.is(store.get()?.status?.phase, "shifting");
});

test("an order that is removed ends, and its version gets nothing more", () => {
    const { store, router } = startRollout();
    store.remove();
    router.readStore(2_000);
    assert.is(router.coordinator.countActive(), 0);
    assert.is(router.countCanaryTargets(2_000), 0);
    assert.ok(router.view.listUsableTargets("orders").every(({ version }) => version === "v1"));
});

test("a second order in the middle starts a decider of its own and forbids the first version", () => {
    const { store, router } = startRollout();
    store.order("v3");
    router.readStore(2_000);
    assert.equal(router.deciders.map(({ elapsedMs }) => elapsedMs), [0, 0]);
    assert.equal(store.get()?.status?.replacedVersions, ["v1"]);
    assert.ok(!router.view.isUsable("new-target-1"));
});

test("a router that no longer coordinates the service stops at once", () => {
    const { store, router } = startRollout();
    router.setCoordinator("r2");
    router.setDecision("shift");
    router.wake(2_000);
    assert.is(router.countCanaryTargets(2_000), 0);
    router.wake(4_100);
    assert.is(router.coordinator.countActive(), 0);
    assert.equal(store.writes, ["running observing ok"]);
});

// Guards against evidence that is lost every few seconds, when the suspicion of a failed coordinator ends for a moment.
test("a router that coordinates again after a moment keeps its evidence", () => {
    const { store, router } = startRollout();
    router.setCoordinator("r2");
    router.wake(2_000);
    router.setCoordinator("r1");
    router.setDecision("shift");
    router.wake(2_500);
    assert.is(router.deciders.length, 1);
    assert.equal(store.writes, ["running observing ok", "running shifting ok"]);
});

// Guards against evidence that blames a version for callers that disconnect, or misses responses that never came.
test("outcomes are those of the attempts, and a cancelled one without a response in time counts as a failure", () => {
    const { router } = startRollout();
    const results = [
        { result: "complete", afterMs: 20 },
        { result: "cancelled", afterMs: 300 },
        { result: "cancelled", afterMs: 1_490 },
        { result: "unsent", afterMs: 5 },
    ] as const;
    for (const { result, afterMs } of results) {
        const request = createRequest("x", { service: "orders", route: "route", timeLeftMs: 1_500 });
        const target = rolloutTargets[4]!;
        const choice = { target: target.target, waitMs: 0, newTokens: 0, runningRequests: 0 };
        router.coordinator.recordPlacement(request, target, choice, 2_000);
        const { requestId, service } = request;
        const notice = { type: "attemptNotice", requestId, service, target: target.target } as const;
        const message = { ...notice, result, latencyMs: afterMs };
        router.reduce({ type: "routerMessage", from: "r2", address: "a", message, now: 2_000 + afterMs });
    }
    assert.equal(router.outcomes, ["route new complete", "route new cancelled", "route new broken"]);
    assert.is(router.countReturned(), 1);
});

// Guards against an order for the version in use, which would be rolled back without evidence and stop the service.
test("an order for the only version is completed at once", () => {
    const { store, router } = startRollout();
    store.order("v1");
    const inUse = rolloutTargets.slice(0, 4);
    router.reduce({
        type: "viewListed",
        kind: "targets",
        entries: inUse,
        era: 1,
        revision: 90,
        confirmedAt: 2_000,
        now: 2_000,
    });
    router.readStore(2_100);
    assert.is(store.get()?.status?.state, "completed");
    assert.is(router.view.listUsableTargets("orders").length, 4);
});

test("a retry of a canary goes to an old target", () => {
    const { router } = startRollout();
    const request = createRequest("x", { service: "orders", excluded: ["new-target-1"] });
    assert.equal(router.coordinator.takeCanaryTargets(request, 2_000), []);
});

test.run();
