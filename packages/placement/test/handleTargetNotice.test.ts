/** Guards against DRAIN, BUDGET and LIMIT: an entry router that does not keep to what targets have told it. */
import type { TargetNotice } from "@rhubarbwheel/types/placement";
import type { PlacementEffect } from "@rhubarbwheel/types/placement-events";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createEntryHarness, createRoutedRequest, findAttempt, formatEffects } from "./entryHarness.js";
import { createRouterEntries, createTargets, plainPool } from "./placementFixtures.js";

function createHarness(targetCount: number, routerCount = 0, router = "r1") {
    const targets = createTargets(targetCount, { service: "orders", slots: 6 });
    return createEntryHarness({ pool: plainPool, targets, routers: createRouterEntries(routerCount), router });
}

type Harness = ReturnType<typeof createHarness>;

function notice(harness: Harness, target: string, more: Partial<TargetNotice>, now: number) {
    return harness.reduce({
        type: "targetNoticed",
        requestId: "noticed",
        target,
        notice: { isLeaving: false, rateLimit: "none", ...more },
        sentAt: now - 5,
        now,
    });
}

function getRetryAfterMs(effects: readonly PlacementEffect[]): number | undefined {
    const refusal = effects.find(effect => effect.type === "failRequest");
    return refusal?.code === "TARGETS_LIMITED" ? refusal.retryAfterMs : undefined;
}

test("a target that pauses or leaves gets nothing while others do", () => {
    for (const said of [{ isLeaving: true }, { pauseMs: 4_000 }]) {
        const harness = createHarness(2);
        notice(harness, "target-1", said, 100);
        for (let now = 110; now < 4_000; now += 100) {
            const attempt = findAttempt(harness.route(createRoutedRequest(), now));
            assert.is(attempt.target, "target-2");
            harness.finish(attempt, now + 50, {});
        }
    }
});

// Guards against DRAIN: a target that says that it leaves while its entry has vanished in an outage of the store.
test("a target whose entry comes back after it has said that it leaves gets nothing", () => {
    const harness = createHarness(2);
    const [entry] = createTargets(1, { service: "orders", slots: 6 });
    const change = (changes: readonly { readonly name: string; readonly entry?: typeof entry; }[], now: number) =>
        harness.reduce({ type: "viewChanged", kind: "targets", changes, era: 1, revision: now, confirmedAt: now, now });
    change([{ name: "target-1" }], 100);
    notice(harness, "target-1", { isLeaving: true }, 200);
    change([{ name: "target-1", entry }], 300);
    for (let now = 310; now < 1_000; now += 100) {
        const attempt = findAttempt(harness.route(createRoutedRequest(), now));
        assert.is(attempt.target, "target-2");
        harness.finish(attempt, now + 50, {});
    }
});

test("callers are refused at once until the first of all targets wants requests again", () => {
    const harness = createHarness(2);
    notice(harness, "target-1", { pauseMs: 2_500 }, 100);
    notice(harness, "target-2", { pauseMs: 700 }, 100);
    assert.is(getRetryAfterMs(harness.route(createRoutedRequest(), 200)), 600);
    assert.is(findAttempt(harness.route(createRoutedRequest(), 801)).target, "target-2");
});

test("callers are refused at once if all targets leave", () => {
    const harness = createHarness(2);
    for (const target of ["target-1", "target-2"]) notice(harness, target, { isLeaving: true }, 100);
    assert.is(getRetryAfterMs(harness.route(createRoutedRequest(), 200)), 200);
});

// Guards against a pause of one target in the middle of many attempts, of which some are retried.
test("attempts that a pausing target rejects are retried elsewhere", () => {
    const harness = createHarness(2);
    const attempts = Array.from({ length: 6 }, () => findAttempt(harness.route(createRoutedRequest(), 50)));
    const atFirst = attempts.filter(attempt => attempt.target === "target-1");
    assert.ok(atFirst.length > 0);
    notice(harness, "target-1", { pauseMs: 1_500 }, 100);
    for (const attempt of atFirst)
        assert.is(findAttempt(harness.finish(attempt, 101, { result: "rejected" })).target, "target-2");
});

test("a coordinator is asked for other targets than those that pause, and its outdated choice is not used", () => {
    const harness = createHarness(3, 4);
    notice(harness, "target-1", { pauseMs: 4_000 }, 100);
    const request = createRoutedRequest();
    const sent = harness.route(request, 200).find(effect => effect.type === "sendToRouter")!;
    assert.ok(sent.message.type === "placementAsk" && sent.message.request.excluded.includes("target-1"));
    const reply = {
        type: "placementReply",
        requestId: request.requestId,
        service: "orders",
        target: "target-1",
    } as const;
    const { router: from, address } = sent;
    const effects = harness.reduce({ type: "routerMessage", from, address, message: reply, now: 210 });
    assert.is(formatEffects(effects), "sendToRouter");
});

test("a limit and leaving are passed on to the coordinator, again after a second, and a pause is not", () => {
    const coordinator = createHarness(2, 4).findCoordinator("orders", 0).router;
    const harness = createHarness(2, 4, coordinator === "r1" ? "r2" : "r1");
    const listSent = (more: Partial<TargetNotice>, now: number) =>
        notice(harness, "target-1", more, now).flatMap(effect =>
            effect.type === "sendToRouter" && effect.message.type === "targetNotice" ? [effect.message] : []
        );
    const message = {
        type: "targetNotice",
        target: "target-1",
        startedAtUnixMs: undefined,
        ageMs: 5,
        isAnnounced: false,
    };
    assert.equal(listSent({ rateLimit: 4 }, 100), [{ ...message, isLeaving: false, rateLimit: 4 }]);
    assert.equal(listSent({ rateLimit: 4 }, 500), []);
    assert.equal(listSent({ rateLimit: 4 }, 1_100), [{ ...message, isLeaving: false, rateLimit: 4 }]);
    assert.equal(listSent({ rateLimit: 4, pauseMs: 100 }, 1_200), []);
    assert.equal(listSent({ rateLimit: 4, isLeaving: true }, 1_300), [{ ...message, isLeaving: true, rateLimit: 4 }]);
});

// Guards against LIMIT while no coordinator replies: each router would use the whole limit.
test("the shares of all routers without a coordinator are a quarter of the limit", () => {
    let sum = 0;
    for (const router of ["r1", "r2", "r3", "r4", "r5"]) {
        const harness = createHarness(1, 5, router);
        notice(harness, "target-1", { rateLimit: 8 }, 0);
        for (let now = 10; now < 4_000; now += 10) {
            const effects = [
                ...(now % 100 === 0 ? harness.route(createRoutedRequest(), now) : []),
                ...harness.reduce({ type: "wake", now }),
            ];
            sum += effects.filter(effect => effect.type === "startAttempt").length;
        }
    }
    assert.ok(sum >= 1 && sum <= 8, `${sum} requests in 4 s`);
});

test.run();
