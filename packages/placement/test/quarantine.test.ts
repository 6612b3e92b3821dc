/** Prompt parts that crash engines: the coordinator, the quarantine tracker and simulated engines. */
import type { PlacementRequest } from "@rhubarbwheel/types/placement";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { completionGraceMs, createCrashDetector } from "../src/createCrashDetector.js";
import { createPartQuarantine } from "../src/createPartQuarantine.js";
import { createPlacementCoordinator } from "../src/createPlacementCoordinator.js";
import { createQuarantineTracker } from "../src/createQuarantineTracker.js";
import { createTargetNotices } from "../src/createTargetNotices.js";
import { createRequest, createRouterEntries, createTargets, enginePool } from "./placementFixtures.js";
import { createViewFixture } from "./viewFixture.js";

const targets = createTargets(6, { failureDomain: "a" });

function createFleet() {
    const routers = createRouterEntries(3);
    const { view, loadAll } = createViewFixture({ pool: enginePool, targets, routers });
    const quarantine = createPartQuarantine();
    const coordinator = createPlacementCoordinator({
        router: "r1",
        view,
        quarantine,
        targetNotices: createTargetNotices(),
        computeColdLimit: perSecond => perSecond,
    });
    const { countAssigned } = coordinator;
    const tracker = createQuarantineTracker({ router: "r1", view, quarantine, countAssigned });
    const slices = [view, coordinator, tracker];
    const reduce = (event: Parameters<typeof view.reduce>[0]) => slices.flatMap(slice => slice.reduce(event));
    loadAll(reduce);
    return { reduce, quarantine };
}

/** Requests of which every tenth has the part `bad`, at engines that crash when such a request starts. */
function runSimulation(durationMs: number) {
    const { reduce, quarantine } = createFleet();
    const running = new Map<string, PlacementRequest[]>();
    const placed = { bad: 0, sound: 0 };
    const placedBadAt: number[] = [];
    const requested = { bad: 0, sound: 0 };
    const announcedTo = new Set<string>();
    const sendNotice = (request: PlacementRequest, target: string, now: number, result?: "broken" | "complete") => {
        const { requestId, service, prompt } = request;
        const partIds = result === undefined ? undefined : prompt?.parts.slice(0, -1).map(({ id }) => id);
        const message = {
            type: "attemptNotice",
            requestId,
            service,
            target,
            latencyMs: 50,
            result,
            partIds,
        } as const;
        for (const effect of reduce({ type: "routerMessage", from: "r2", address: "10.0.0.2:7400", message, now })) {
            if (effect.type === "sendToRouter" && effect.message.type === "quarantineNotice")
                announcedTo.add(effect.router);
        }
    };
    const startOldest = (target: string, now: number): void => {
        const [oldest, ...others] = running.get(target) ?? [];
        if (oldest === undefined) return;
        const isBad = oldest.prompt?.parts.some(({ id }) => id === "bad") === true;
        running.set(target, isBad ? [] : others);
        if (isBad) { for (const request of [oldest, ...others]) sendNotice(request, target, now, "broken"); }
        else {
            sendNotice(oldest, target, now);
            sendNotice(oldest, target, now, "complete");
        }
    };
    for (let now = 0, index = 0; now < durationMs; now += 20, index++) {
        for (const { target } of targets) startOldest(target, now);
        const kind = index % 10 === 3 ? "bad" : "sound";
        const parts = [
            { id: "common", tokens: 512 },
            { id: `session-${index % 7}`, tokens: 800 },
            ...(kind === "bad" ? [{ id: "bad", tokens: 20 }] : []),
            { id: `own-${index}`, tokens: 100 },
        ];
        const request = createRequest("", { prompt: { promptTokens: 1_432, outputTokens: 50, parts } });
        requested[kind] += 1;
        const message = { type: "placementAsk", request } as const;
        const effects = reduce({ type: "routerMessage", from: "r2", address: "10.0.0.2:7400", message, now });
        const reply = effects.flatMap(effect => effect.type === "sendToRouter" ? [effect.message] : [])
            .find(sent => sent.type === "placementReply");
        if (reply?.target === undefined) continue;
        placed[kind] += 1;
        if (kind === "bad") placedBadAt.push(now);
        running.set(reply.target, [...running.get(reply.target) ?? [], request]);
    }
    return { placed, placedBadAt, requested, quarantine, announcedTo };
}

// Guards against requests of one kind that crash engines one after the other.
test("requests with a part that crashes engines stop after a few crashes, and others run", () => {
    const { placed, placedBadAt, requested, quarantine, announcedTo } = runSimulation(15_000);
    const lateCount = placedBadAt.filter(at => at > 5_000).length;
    assert.ok(lateCount <= 3, `placed at ${placedBadAt.join()}`);
    assert.ok(placed.sound >= 0.95 * requested.sound, `${placed.sound} of ${requested.sound}`);
    assert.not(quarantine.hasQuarantined(["common", ...Array.from({ length: 7 }, (_, index) => `session-${index}`)]));
    assert.equal([...announcedTo].sort(), ["r2", "r3"], "all other routers learn of it");
});

test("a coordinator learns of a quarantined part from the entry router", () => {
    const { reduce } = createFleet();
    const parts = [{ id: "bad", tokens: 20 }, { id: "own", tokens: 100 }];
    const quarantinedPart = {
        id: "bad",
        generation: 1,
        isReleased: false,
        probeInMs: 9_000,
        probeIntervalMs: 20_000,
        group: "bad:1",
    };
    const request = createRequest("", { prompt: { promptTokens: 120, outputTokens: 50, parts } });
    const ask = (quarantinedParts: PlacementRequest["quarantinedParts"], requestId: string, now: number) => {
        const message = { type: "placementAsk", request: { ...request, requestId, quarantinedParts } } as const;
        return reduce({ type: "routerMessage", from: "r2", address: "10.0.0.2:7400", message, now })
            .flatMap(effect => effect.type === "sendToRouter" ? [effect.message] : []);
    };
    const expected = {
        type: "placementReply",
        service: "assistant",
        refusal: "partQuarantined",
        retryAfterMs: 4_500,
    };
    assert.equal(ask([quarantinedPart], "a", 0), [{
        ...expected,
        requestId: "a",
        quarantinedParts: [quarantinedPart],
    }]);
    assert.equal(ask(undefined, "b", 1_000), [{
        ...expected,
        requestId: "b",
        quarantinedParts: [{ ...quarantinedPart, probeInMs: 8_000 }],
    }]);
});

test("a target crashed if all attempts that were assigned before the first broken one have ended", () => {
    let assigned = 2;
    const detector = createCrashDetector({ countAssigned: () => assigned });
    detector.recordBroken("target-1", ["a"], 0);
    assert.equal(detector.takeCrashes(0), []);
    detector.recordBroken("target-1", ["b"], 5);
    assigned = 0;
    assert.equal(detector.takeCrashes(10).map(({ target, partIds }) => [target, ...partIds]), [["target-1", "a", "b"]]);
    assert.not(detector.isPending());
});

// Guards against engines that crash as they end a response, whose request then looks sound.
test("a response that completes just before its target crashes does not count as complete", () => {
    const detector = createCrashDetector({ countAssigned: () => 0 });
    detector.recordComplete("target-1", ["earlier"], 0);
    detector.recordComplete("target-2", ["elsewhere"], completionGraceMs);
    detector.recordComplete("target-1", ["bad"], completionGraceMs);
    assert.equal(detector.takeCompletions(completionGraceMs), [["earlier"]]);
    detector.recordBroken("target-1", ["sound"], completionGraceMs + 1);
    detector.recordComplete("target-1", ["late"], completionGraceMs + 2);
    assert.equal(detector.takeCrashes(completionGraceMs + 3).map(({ partIds }) => [...partIds]), [[
        "bad",
        "sound",
        "late",
    ]]);
    assert.equal(detector.takeCompletions(3 * completionGraceMs), [["elsewhere"]]);
    assert.not(detector.isPending());
});

test("a target that keeps running other attempts has not crashed", () => {
    const detector = createCrashDetector({ countAssigned: () => 1 });
    detector.recordBroken("target-1", ["a"], 0);
    assert.equal(detector.takeCrashes(2_000), []);
    assert.equal(detector.takeCrashes(3_000), []);
    assert.not(detector.isPending());
});

test.run();
