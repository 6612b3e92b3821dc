/** Tests local placement by entry routers whose coordinator is slow or does not reply. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createEntryHarness, createRoutedRequest, findAttempt, formatEffects } from "./entryHarness.js";
import { createRouterEntries, createTargets, enginePool } from "./placementFixtures.js";

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

// Guards against a workspace that gets several times its share while the coordinator is slow: entry routers placed its
// requests locally without regard to shares.
test("the requests of a workspace beyond its share are not placed locally", () => {
    const harness = createUnresponsiveHarness();
    const { router, address } = harness.findCoordinator("assistant", 0);
    const sendReply = (usedRatio: number, now: number) => {
        const request = createRoutedRequest(engineRequest);
        harness.route(request, now);
        const { requestId } = request;
        const message = {
            type: "placementReply",
            requestId,
            service: "assistant",
            refusal: "shareUsed",
            usedRatio,
        } as const;
        harness.reduce({ type: "routerMessage", from: router, address, message, now: now + 10 });
    };
    /** Routes a request to which the coordinator does not reply; returns how it ends. */
    const routeUnanswered = (now: number, workspace: string): string => {
        const lines = [formatEffects(harness.route(createRoutedRequest({ ...engineRequest, workspace }), now))];
        for (let later = now + 5; later < now + 600; later += 5)
            lines.push(formatEffects(harness.reduce({ type: "wake", now: later })));
        return lines.join(" ").replace(/.*(start|fail \w+).*/, "$1");
    };
    sendReply(1.2, 0);
    assert.is(routeUnanswered(20, "ada"), "fail SHARE_USED");
    assert.is(routeUnanswered(1_000, "other"), "start");
    sendReply(0.9, 3_000);
    assert.is(routeUnanswered(3_020, "ada"), "start");
    sendReply(1.2, 4_000);
    assert.is(routeUnanswered(8_100, "ada"), "start", "the report is too old");
});

const badPrompt = {
    promptTokens: 8_000,
    outputTokens: 300,
    parts: [{ id: "common", tokens: 500 }, { id: "bad", tokens: 20 }, { id: "own", tokens: 7_480 }],
};

// Guards against requests that crash engines one after the other while the coordinator is slow.
test("a request with a quarantined part is not placed locally", () => {
    const harness = createUnresponsiveHarness();
    const { router, address } = harness.findCoordinator("assistant", 0);
    const part = { id: "bad", generation: 1, isReleased: false, probeInMs: 20_000, probeIntervalMs: 20_000 };
    const answered = createRoutedRequest({ ...engineRequest, prompt: badPrompt });
    harness.route(answered, 0);
    const message = {
        type: "placementReply",
        requestId: answered.requestId,
        service: "assistant",
        refusal: "partQuarantined",
        quarantinedParts: [part],
    } as const;
    const refused = harness.reduce({ type: "routerMessage", from: router, address, message, now: 10 });
    assert.is(formatEffects(refused), "fail PROMPT_QUARANTINED");
    harness.route(createRoutedRequest({ ...engineRequest, prompt: badPrompt }), 20);
    harness.reduce({ type: "wake", now: 50 });
    assert.is(formatEffects(harness.reduce({ type: "wake", now: 95 })), "fail PROMPT_QUARANTINED");
});

// Guards against crashes after the first event that no coordinator relates to the prompt.
test("the coordinator learns of the shared parts of a prompt when its response is complete or cut off, at any moment", () => {
    const harness = createUnresponsiveHarness();
    const { router, address } = harness.findCoordinator("assistant", 0);
    const listPartIds = (effects: ReturnType<typeof harness.reduce>) =>
        effects.flatMap(effect =>
            effect.type === "sendToRouter" && effect.message.type === "attemptNotice"
                ? [effect.message.partIds]
                : []
        );
    const place = () => {
        const request = createRoutedRequest({ ...engineRequest, maxAttempts: 1, prompt: badPrompt });
        harness.route(request, 0);
        const message = {
            type: "placementReply",
            requestId: request.requestId,
            service: "assistant",
            target: "target-1",
        } as const;
        return findAttempt(harness.reduce({ type: "routerMessage", from: router, address, message, now: 10 }));
    };
    const start = ({ requestId, attempt }: ReturnType<typeof place>) =>
        harness.reduce({ type: "attemptStarted", requestId, attempt, now: 20 });
    assert.equal(listPartIds(harness.finish(place(), 20, { result: "broken" })), [["common", "bad"]]);
    const broken = place();
    assert.equal(listPartIds(start(broken)), [undefined]);
    const ended = harness.finish(broken, 30, { result: "broken", responseStarted: true });
    assert.equal(listPartIds(ended), [["common", "bad"]]);
    const complete = place();
    start(complete);
    assert.equal(listPartIds(harness.finish(complete, 30, { responseStarted: true })), [["common", "bad"]]);
    assert.equal(listPartIds(harness.finish(place(), 30, { result: "cancelled" })), [undefined]);
});

test("a local placement is reported to the coordinator at once", () => {
    const harness = createUnresponsiveHarness();
    harness.route(createRoutedRequest(engineRequest), 0);
    harness.reduce({ type: "wake", now: 30 });
    const effects = harness.reduce({ type: "wake", now: 80 });
    assert.ok(findAttempt(effects));
    assert.ok(effects.some(effect => effect.type === "sendToRouter" && effect.message.type === "holdings"));
});

test.run();
