/** Tests retries, cancellation and deadlines; a call that must not run twice never does. */
import type { TargetEntry } from "@rhubarbwheel/types/fleet";
import type { PlacedAttemptResult } from "@rhubarbwheel/types/placement";
import type { AttemptFinishedEvent, RoutedRequest } from "@rhubarbwheel/types/placement-events";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createEntryHarness, createRoutedRequest, findAttempt, formatEffects } from "./entryHarness.js";
import { createRouterEntries, createTargets, plainPool } from "./placementFixtures.js";

const targets = createTargets(2, { service: "orders", slots: 6 });

function createHarness(more: { readonly reserve?: number; readonly targets?: readonly TargetEntry[]; } = {}) {
    return createEntryHarness({ pool: plainPool, targets, ...more });
}

interface RetryCase {
    readonly result: PlacedAttemptResult;
    readonly request: Partial<RoutedRequest>;
    readonly more?: Partial<AttemptFinishedEvent>;
    /** Effects that follow the end of the first attempt. */
    readonly expected: string;
}

const nonIdempotent = { kind: "nonIdempotent", maxAttempts: 2 } as const;
const stream = { kind: "stream", maxAttempts: 2 } as const;

const retryCases: readonly RetryCase[] = [
    { result: "broken", request: {}, expected: "start other for 1190 ms" },
    { result: "failed", request: {}, expected: "start other for 1190 ms" },
    // Guards against a second response after the part of a large one that the caller has received.
    { result: "broken", request: {}, more: { responseStarted: true }, expected: "breakAnswer" },
    { result: "failed", request: { maxAttempts: 1 }, expected: "relayFailure" },
    { result: "broken", request: { maxAttempts: 1 }, expected: "fail TARGET_BROKEN" },
    { result: "broken", request: nonIdempotent, expected: "fail TARGET_BROKEN" },
    { result: "failed", request: nonIdempotent, expected: "relayFailure" },
    { result: "rejected", request: nonIdempotent, expected: "start other for 1190 ms" },
    { result: "rejected", request: { ...nonIdempotent, maxAttempts: 1 }, expected: "fail TARGET_REFUSED" },
    { result: "unsent", request: { ...nonIdempotent, maxAttempts: 1 }, expected: "start other for 1190 ms" },
    { result: "misdirected", request: { ...nonIdempotent, maxAttempts: 1 }, expected: "start other for 1190 ms" },
    { result: "broken", request: stream, expected: "fail TARGET_BROKEN" },
    { result: "broken", request: stream, more: { responseStarted: true }, expected: "breakAnswer" },
    { result: "broken", request: { ...stream, resumable: true }, expected: "start other for 1190 ms" },
    {
        result: "broken",
        request: { ...stream, resumable: true },
        more: { responseStarted: true },
        expected: "start other for 1190 ms",
    },
];

for (const { result, request, more, expected } of retryCases) {
    const name = `an attempt ends as ${result}${
        more?.responseStarted === true ? " after the start of the response" : ""
    }: retry or failure of request ${JSON.stringify(request)}`;
    test(name, () => {
        const harness = createHarness();
        const first = findAttempt(harness.route(createRoutedRequest(request), 0));
        const effects = harness.finish(first, 10, { result, ...more });
        const other = first.target === "target-1" ? "target-2" : "target-1";
        assert.is(formatEffects(effects), expected.replace("other", other));
    });
}

// Guards against reporting a call as not run that may have run: its response is lost, and the next target rejects it.
test("a call that may have run is not refused after a retry", () => {
    const harness = createHarness();
    const first = findAttempt(harness.route(createRoutedRequest({ maxAttempts: 3 }), 0));
    const second = findAttempt(harness.finish(first, 10, { result: "broken" }));
    assert.is(formatEffects(harness.finish(second, 20, { result: "rejected" })), "fail TARGET_BROKEN");
});

test("the time limit of an attempt is the time left, and the deadline ends the request", () => {
    const harness = createHarness();
    const first = findAttempt(harness.route(createRoutedRequest(), 0));
    assert.is(first.timeLimitMs, 1_200);
    assert.is(findAttempt(harness.finish(first, 400, { result: "rejected" })).timeLimitMs, 800);
    assert.is(formatEffects(harness.reduce({ type: "wake", now: 1_200 })), "cancelAttempt, fail TARGET_TIMEOUT");
});

test("a request is not retried shortly before its deadline", () => {
    const harness = createHarness();
    const first = findAttempt(harness.route(createRoutedRequest(), 0));
    assert.is(formatEffects(harness.finish(first, 1_160, { result: "rejected" })), "fail TARGET_REFUSED");
});

// Guards against retry storms while all targets fail: the budget limits the additional load.
test("retries are limited to a fifth of the requests plus the reserve", () => {
    const harness = createHarness({ reserve: 3 });
    let retryCount = 0;
    for (let now = 0; now < 100; now++) {
        const first = findAttempt(harness.route(createRoutedRequest(), now));
        const effects = harness.finish(first, now, { result: "broken" });
        if (formatEffects(effects).startsWith("start")) retryCount += 1;
    }
    assert.is(retryCount, 23);
});

const callerGoneCases = [
    { request: {}, expected: "cancelAttempt" },
    { request: stream, expected: "cancelAttempt" },
    // Cancelling it would leave its outcome unknown.
    { request: nonIdempotent, expected: "" },
];

for (const { request, expected } of callerGoneCases) {
    test(`the caller of request ${JSON.stringify(request)} disconnects`, () => {
        const harness = createHarness();
        const { requestId } = findAttempt(harness.route(createRoutedRequest(request), 0));
        assert.is(formatEffects(harness.reduce({ type: "callerGone", requestId, now: 10 })), expected);
    });
}

// Guards against overload of a cold target while routers cannot reach each other: their shares add up to the limit.
test("routers without a coordinator send no more requests to a cold target than their share of its limit", () => {
    const routers = createRouterEntries(3);
    const cold = createTargets(1, { service: "orders", coldForMs: 10_000 });
    const pool = { ...plainPool, coldRequestsPerSecond: 4 };
    const harness = createEntryHarness({ pool, targets: cold, routers });
    let sent = 0;
    for (let now = 0; now < 900; now += 10) {
        const effects = [
            ...harness.route(createRoutedRequest(), now),
            // The coordinator does not reply.
            ...harness.reduce({ type: "wake", now: now + 5 }),
        ];
        sent += effects.filter(effect => effect.type === "startAttempt").length;
    }
    // The limit is 4 x 1.5 + 5 = 11 over three routers; the share of the first two is larger by one.
    assert.ok(sent <= 4, `${sent} sends`);
    assert.ok(sent >= 1);
});

// Guards against requests to targets that are leaving: the coordinator's view may be older than this router's.
test("no request is sent to a target that is leaving or whose failure domain is closed", () => {
    const harness = createHarness();
    const closed = { failureDomain: "a" };
    const changes = [{ name: "a", entry: closed }];
    harness.reduce({
        type: "viewChanged",
        kind: "closedDomains",
        changes,
        era: 1,
        revision: 2,
        confirmedAt: 0,
        now: 0,
    });
    assert.is(findAttempt(harness.route(createRoutedRequest(), 1)).target, "target-2");
    const leaving = { name: "target-2", entry: { ...targets[1]!, state: "leaving" as const } };
    harness.reduce({
        type: "viewChanged",
        kind: "targets",
        changes: [leaving],
        era: 1,
        revision: 3,
        confirmedAt: 0,
        now: 2,
    });
    assert.is(formatEffects(harness.route(createRoutedRequest(), 3)), "fail NO_TARGET");
});

test("requests that arrive long after the start of a drain are refused as draining", () => {
    const harness = createHarness();
    harness.reduce({ type: "drainRequested", now: 0 });
    findAttempt(harness.route(createRoutedRequest(), 1_000));
    assert.is(formatEffects(harness.route(createRoutedRequest(), 2_000)), "fail DRAINING");
});

test.run();
