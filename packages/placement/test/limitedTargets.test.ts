/** Load patterns at a coordinator: targets that leave, or that accept a limited rate of requests. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createCoordinatorHarness } from "./coordinatorHarness.js";
import { createRequest, createRouterEntries, createTargets, enginePool, plainPool } from "./placementFixtures.js";

function createHarness(targetCount: number) {
    return createCoordinatorHarness({
        pool: plainPool,
        targets: createTargets(targetCount, { service: "orders", slots: 6 }),
        routers: createRouterEntries(4),
    });
}

type Harness = ReturnType<typeof createHarness>;

const plainRequest = { service: "orders", prompt: undefined, latencyTargetMs: 200, timeLeftMs: 1_500 } as const;

function setRateLimit(harness: Harness, target: string, rateLimit: number, now = 0): void {
    harness.targetNotices.record({ target }, { isLeaving: false, rateLimit }, now, now);
}

/** Requests placements at equal intervals; each request ends after 50 ms. Returns the replies. */
function runLoad(harness: Harness, fromMs: number, toMs: number, intervalMs: number) {
    const replies = [];
    for (let now = fromMs; now < toMs; now += intervalMs) {
        const request = createRequest("x", plainRequest);
        const reply = harness.requestPlacement(request, now);
        if (reply.target !== undefined) harness.sendNotice(request, reply.target, now + 1, "complete");
        replies.push(reply);
    }
    return replies;
}

// Guards against LIMIT: a coordinator that grants more than a target accepts, or leaves what it accepts unused.
test("a limited target gets its rate, and the others the rest of the load", () => {
    const harness = createHarness(2);
    setRateLimit(harness, "target-1", 5);
    const replies = runLoad(harness, 0, 8_000, 25);
    const count = replies.filter(({ target }) => target === "target-1").length;
    assert.ok(count >= 35 && count <= 45, `${count} requests in 8 s`);
    assert.is(replies.filter(({ target }) => target === "target-2").length, replies.length - count);
});

// Guards against a limit that holds only until another router coordinates.
test("two coordinators in turn grant no more than the limit allows in any 4 s", () => {
    const times: number[] = [];
    for (let start = 0; start < 12_000; start += 1_500) {
        const harness = createHarness(1);
        setRateLimit(harness, "target-1", 5, start);
        for (const [index, { target }] of runLoad(harness, start, start + 1_500, 25).entries())
            if (target !== undefined) times.push(start + index * 25);
    }
    for (const from of times) {
        const count = times.filter(time => time >= from && time < from + 4_000).length;
        assert.ok(count <= 5 * 4 * 1.5 + 5, `${count} requests in 4 s`);
    }
});

// Guards against callers that wait until their deadline for a target that has taken all that it accepts.
test("if all targets have taken what they accept, callers are refused at once and return at the rate of the targets", () => {
    const harness = createHarness(2);
    for (const target of ["target-1", "target-2"]) setRateLimit(harness, target, 4);
    runLoad(harness, 0, 1_060, 5);
    const replies = runLoad(harness, 1_060, 1_070, 2);
    assert.equal(replies.map(({ refusal }) => refusal), Array.from({ length: 5 }, () => "limited"));
    const returns = replies.map(({ retryAfterMs }) => retryAfterMs!);
    assert.ok(returns.every(ms => ms > 0 && ms <= 1_500 / 3), returns.join());
});

test("a limit that is raised is used at once, and one that is withdrawn no longer binds", () => {
    const harness = createHarness(1);
    const countPlaced = (fromMs: number) =>
        runLoad(harness, fromMs, fromMs + 2_000, 25).filter(({ target }) => target !== undefined).length;
    setRateLimit(harness, "target-1", 2);
    const low = countPlaced(0);
    setRateLimit(harness, "target-1", 20, 2_000);
    const high = countPlaced(2_000);
    harness.targetNotices.record({ target: "target-1" }, { isLeaving: false, rateLimit: "none" }, 4_001, 4_010);
    assert.ok(low <= 6 && high >= 35 && high <= 62, `${low}, ${high}`);
    assert.is(countPlaced(4_020), 80);
});

// Guards against DRAIN: other routers that use a target which has told one of them that it leaves.
test("a target that has told any router that it leaves is placed at no more", () => {
    const harness = createHarness(2);
    harness.targetNotices.merge(
        { type: "targetNotice", target: "target-2", isLeaving: true, ageMs: 3, isAnnounced: false },
        10,
    );
    for (const { target } of runLoad(harness, 20, 2_000, 40)) assert.is(target, "target-1");
});

// Guards against shared prompt parts that are prefilled again because the engine that has them takes no more requests.
test("an engine that has taken all that it accepts is a source of prompt parts", () => {
    const harness = createCoordinatorHarness({
        pool: enginePool,
        targets: createTargets(2),
        routers: createRouterEntries(4),
    });
    const first = createRequest("shared");
    const { target } = harness.requestPlacement(first, 0);
    harness.sendNotice(first, target!, 200);
    harness.sendNotice(first, target!, 300, "complete");
    setRateLimit(harness, target!, 0.25, 400);
    const reply = harness.requestPlacement(createRequest("shared"), 500);
    assert.is.not(reply.target, target);
    assert.is(reply.prefixSource, target);
});

// Guards against engines that run fewer tokens than they could, because short prompts use up a limit on requests.
test("an engine with a limited rate gets the long prompts while another engine has no limit", () => {
    const harness = createCoordinatorHarness({
        pool: enginePool,
        targets: createTargets(2),
        routers: createRouterEntries(4),
        tokensPerSecond: 200_000,
    });
    setRateLimit(harness, "target-1", 5);
    const sizes: number[] = [];
    for (let now = 0; now < 10_000; now += 20) {
        const promptTokens = now % 100 === 0 ? 12_000 : 800;
        const parts = [{ id: `own-${now}`, tokens: promptTokens }];
        const request = createRequest("x", { prompt: { promptTokens, outputTokens: 100, parts } });
        const { target } = harness.requestPlacement(request, now);
        if (target === "target-1") sizes.push(promptTokens);
        if (target !== undefined) harness.sendNotice(request, target, now + 15, "complete");
    }
    const long = sizes.filter(size => size === 12_000).length;
    assert.ok(sizes.length >= 45 && long >= 0.8 * sizes.length, `${long} of ${sizes.length}`);
});

test.run();
