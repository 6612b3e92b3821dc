/** Tests retries, cancellation, deadlines and local placement; a call that must not run twice never does. */
import type { RouterEntry, TargetEntry } from "@rhubarbwheel/types/fleet";
import type { PlacedAttemptResult } from "@rhubarbwheel/types/placement";
import type { AttemptFinishedEvent, RoutedRequest } from "@rhubarbwheel/types/placement-events";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createEntryHarness, createRoutedRequest, findAttempt, formatEffects } from "./entryHarness.js";
import { createTargets, enginePool, plainPool } from "./placementFixtures.js";

const targets = createTargets(2, { service: "orders", slots: 6 });

function createHarness(more: { readonly reserve?: number; readonly targets?: readonly TargetEntry[]; } = {}) {
    return createEntryHarness({ pool: plainPool, targets, ...more });
}

function createRouterEntries(count: number): RouterEntry[] {
    return Array.from({ length: count }, (_, index) => ({
        router: `r${index + 1}`,
        incarnation: 1,
        address: `10.0.0.${index + 1}:7400`,
        failureDomain: "a",
    }));
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

/** One of nineteen routers; the coordinator is another one that does not reply. */
function createUnresponsiveHarness() {
    const engines = createTargets(8);
    return createEntryHarness({
        pool: enginePool,
        targets: engines,
        routers: createRouterEntries(19),
        tokensPerSecond: 800_000,
    });
}

const engineRequest = {
    service: "assistant",
    kind: "stream",
    latencyTargetMs: 600,
    timeLimitMs: 15_000,
    prompt: { promptTokens: 8_000, outputTokens: 300, parts: [] },
} as const;

// Guards against overload of engines after a restart of all routers: 19 routers that each assumed idle engines placed
// 277 requests within 0.75 s, and all of them waited for 1.5 s.
test("without a coordinator a router places its share of the engines' prefill rate", () => {
    const harness = createUnresponsiveHarness();
    let started = 0;
    for (let now = 0; now < 2_000; now += 5) {
        const effects = [
            ...(now % 50 === 0 ? harness.route(createRoutedRequest(engineRequest), now) : []),
            ...harness.reduce({ type: "wake", now }),
        ];
        started += effects.filter(effect => effect.type === "startAttempt").length;
    }
    // The share is 84,000 tokens: 800 per millisecond over 19 routers for 2 s; the last request may overdraw.
    assert.ok(started >= 8 && started <= 12, `${started} requests`);
});

/** Routes requests while the coordinator does not reply, and collects refusals and placement requests. */
function routeWithoutReplies(requests: number) {
    const harness = createUnresponsiveHarness();
    const refusedAt: number[] = [];
    const sentCounts = new Map<string, number>();
    for (let now = 0; now < 1_000; now += 5) {
        const effects = [
            ...(now < requests * 5 ? harness.route(createRoutedRequest(engineRequest), now) : []),
            ...harness.reduce({ type: "wake", now }),
        ];
        for (const effect of effects) {
            if (effect.type === "failRequest") refusedAt.push(now);
            if (effect.type !== "sendToRouter" || effect.message.type !== "placementAsk") continue;
            const key = `${effect.message.request.requestId} ${effect.router}`;
            sentCounts.set(key, (sentCounts.get(key) ?? 0) + 1);
        }
    }
    return { refusedAt, sentCounts };
}

test("a request that may not be placed locally waits for a late reply, and is refused early enough for a retry", () => {
    const { refusedAt } = routeWithoutReplies(4);
    assert.ok(refusedAt.length > 0);
    assert.ok(refusedAt.every(at => at >= 300 && at <= 400), `${refusedAt.join()}`);
});

// Guards against overload of a coordinator that has just started: routers sent it up to eight placement requests per
// request, which kept it busy for 2 s with requests to which it had already replied too late.
test("a slow coordinator receives no more than two placement requests per request", () => {
    const { sentCounts } = routeWithoutReplies(40);
    assert.ok(sentCounts.size >= 40);
    for (const [key, count] of sentCounts) assert.ok(count <= 2, `${key}: ${count} times`);
});

test("a reply after the placement timeout is used while the request is pending", () => {
    const harness = createUnresponsiveHarness();
    // The first request uses up the token bucket of local placement.
    for (const now of [0, 1]) harness.route(createRoutedRequest(engineRequest), now);
    const lateRequest = createRoutedRequest(engineRequest);
    harness.route(lateRequest, 2);
    for (let now = 5; now <= 200; now += 5) harness.reduce({ type: "wake", now });
    const { router, address } = harness.findCoordinator("assistant", 200);
    const message = {
        type: "placementReply",
        requestId: lateRequest.requestId,
        service: "assistant",
        target: "target-3",
    } as const;
    const effects = harness.reduce({ type: "routerMessage", from: router, address, message, now: 205 });
    assert.is(findAttempt(effects).target, "target-3");
});

// Guards against load that a coordinator counts for placements that are not used: after 300 late replies it counted all
// of them for 1.6 s, and refused four of five requests while the engines were idle.
test("the placement of a late reply is cancelled at once", () => {
    const harness = createUnresponsiveHarness();
    const requests = Array.from({ length: 4 }, () => createRoutedRequest(engineRequest));
    for (const request of requests) harness.route(request, 0);
    for (let now = 5; now <= 500; now += 5) harness.reduce({ type: "wake", now });
    const { router, address } = harness.findCoordinator("assistant", 500);
    const sendReply = (requestId: string) => {
        const message = { type: "placementReply", requestId, service: "assistant", target: "target-8" } as const;
        const effects = harness.reduce({ type: "routerMessage", from: router, address, message, now: 505 });
        return effects.flatMap(effect => effect.type === "sendToRouter" ? [effect] : []);
    };
    for (const { requestId } of requests) {
        const [notice, ...others] = sendReply(requestId);
        assert.equal(others, []);
        assert.is(notice?.router, router);
        assert.equal(notice?.message, {
            type: "attemptNotice",
            requestId,
            service: "assistant",
            target: "target-8",
            result: "cancelled",
            latencyMs: 0,
        });
    }
});

test("a duplicate reply does not cancel the placement", () => {
    const harness = createUnresponsiveHarness();
    const request = createRoutedRequest(engineRequest);
    const { router, address } = harness.findCoordinator("assistant", 0);
    harness.route(request, 0);
    const sendReply = (now: number) => {
        const { requestId } = request;
        const message = { type: "placementReply", requestId, service: "assistant", target: "target-8" } as const;
        return harness.reduce({ type: "routerMessage", from: router, address, message, now });
    };
    assert.is(findAttempt(sendReply(10)).target, "target-8");
    assert.is(formatEffects(sendReply(20)), "");
});

test("a local placement is reported to the coordinator at once", () => {
    const harness = createUnresponsiveHarness();
    harness.route(createRoutedRequest(engineRequest), 0);
    harness.reduce({ type: "wake", now: 30 });
    const effects = harness.reduce({ type: "wake", now: 80 });
    assert.ok(findAttempt(effects));
    assert.ok(effects.some(effect => effect.type === "sendToRouter" && effect.message.type === "holdings"));
});

// Guards against requests to targets that are leaving: the coordinator's view may be older than this router's.
test("no request is sent to a target that is leaving or whose failure domain is closed", () => {
    const harness = createHarness();
    const closed = { failureDomain: "a" };
    const changes = [{ name: "a", entry: closed }];
    harness.reduce({ type: "viewChanged", kind: "closedDomains", changes, revision: 2, confirmedAt: 0, now: 0 });
    assert.is(findAttempt(harness.route(createRoutedRequest(), 1)).target, "target-2");
    const leaving = { name: "target-2", entry: { ...targets[1]!, state: "leaving" as const } };
    harness.reduce({ type: "viewChanged", kind: "targets", changes: [leaving], revision: 3, confirmedAt: 0, now: 2 });
    assert.is(formatEffects(harness.route(createRoutedRequest(), 3)), "fail NO_TARGET");
});

test("requests that arrive long after the start of a drain are refused as draining", () => {
    const harness = createHarness();
    harness.reduce({ type: "drainRequested", now: 0 });
    findAttempt(harness.route(createRoutedRequest(), 1_000));
    assert.is(formatEffects(harness.route(createRoutedRequest(), 2_000)), "fail DRAINING");
});

test.run();
