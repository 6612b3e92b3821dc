/** Tests the utilization of engines, and which workspaces are refused, while the demand is close to the capacity. */
import type { PlacementRequest } from "@rhubarbwheel/types/placement";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createCoordinatorHarness } from "./coordinatorHarness.js";
import { createRequest, createTargets, enginePool } from "./placementFixtures.js";

/** Duration of an engine's step without prefill, with 25 running requests. */
const stepMs = 4.7;
const prefillTokensPerMs = 157;
const tokensPerStep = 1_024;
const firstEventMs = 26;
const fullBatchRate = tokensPerStep / (stepMs + tokensPerStep / prefillTokensPerMs);

interface QueuedPrompt {
    readonly request: PlacementRequest;
    readonly arrivedAt: number;
    tokensLeft: number;
}

/** An engine with chunked prefill, which runs prompts in order of arrival with a token budget per step. */
function createEngineSimulation(onPrefilled: (request: PlacementRequest, firstEventAt: number) => void) {
    const queue: QueuedPrompt[] = [];
    let engineTime = 0;
    let prefilledTokens = 0;

    const runStep = (): void => {
        let budget = tokensPerStep;
        const finished: PlacementRequest[] = [];
        for (let head = queue[0]; head !== undefined && head.arrivedAt <= engineTime && budget > 0; head = queue[0]) {
            const tokens = Math.min(budget, head.tokensLeft);
            head.tokensLeft -= tokens;
            budget -= tokens;
            if (head.tokensLeft > 0) break;
            queue.shift();
            finished.push(head.request);
        }
        prefilledTokens += tokensPerStep - budget;
        engineTime += stepMs + (tokensPerStep - budget) / prefillTokensPerMs;
        for (const request of finished) onPrefilled(request, engineTime + firstEventMs);
    };

    return {
        add: (request: PlacementRequest, newTokens: number, arrivedAt: number): void => {
            if (queue.length === 0) engineTime = Math.max(engineTime, arrivedAt);
            queue.push({ request, arrivedAt, tokensLeft: newTokens });
        },
        advance: (now: number): void => {
            while (queue.length > 0 && engineTime <= now) runStep();
        },
        countPrefilled: () => prefilledTokens,
    };
}

/** A request with a long, short or medium prompt; three of four requests are from three large workspaces. */
function createMixedRequest(index: number, random: () => number): PlacementRequest {
    const kind = random();
    let promptTokens = 600 + 2_400 * random();
    if (kind < 0.3) promptTokens = 3_000 + 8_000 * random();
    else if (kind < 0.56) promptTokens = 200 + 800 * random();
    const workspace = random() < 0.25 ? `small-${Math.floor(random() * 12)}` : `large-${Math.floor(random() * 3)}`;
    const prompt = { promptTokens: Math.round(promptTokens), outputTokens: 200, parts: [] };
    return createRequest(`s${index}`, { workspace, prompt });
}

interface SimulationResult {
    /** Fraction of the prefill throughput of engines that run full batches. */
    readonly prefillRatio: number;
    readonly refusedRatio: number;
    readonly refusedSmall: number;
}

function runSimulation(meanIntervalMs: number): SimulationResult {
    const targets = createTargets(8, { failureDomain: "a" });
    const harness = createCoordinatorHarness({ pool: enginePool, targets, tokensPerSecond: 560_000 });
    const generator = xoroshiro128plus(11);
    const random = (): number => uniformFloat64(generator);
    const durationMs = 10_000;
    const events: { readonly at: number; readonly request: PlacementRequest; readonly target: string; }[] = [];
    const engines = new Map(targets.map(({ target }) => [
        target,
        createEngineSimulation((request, at) => events.push({ at, request, target })),
    ]));
    let requestCount = 0;
    let refused = 0;
    let refusedSmall = 0;
    for (let now = 0; now < durationMs; now -= Math.log(1 - random()) * meanIntervalMs) {
        for (const engine of engines.values()) engine.advance(now);
        events.sort((left, right) => right.at - left.at);
        while ((events.at(-1)?.at ?? Infinity) <= now) {
            const { request, target, at } = events.pop()!;
            harness.sendNotice(request, target, at);
        }
        const request = createMixedRequest(requestCount++, random);
        const { target, newTokens = 0 } = harness.requestPlacement(request, now);
        if (target !== undefined) engines.get(target)?.add(request, newTokens, now);
        else {
            refused += 1;
            if (request.workspace?.startsWith("small") === true) refusedSmall += 1;
        }
    }
    let prefilledTokens = 0;
    for (const engine of engines.values()) prefilledTokens += engine.countPrefilled();
    return {
        prefillRatio: prefilledTokens / (engines.size * durationMs * fullBatchRate),
        refusedRatio: refused / requestCount,
        refusedSmall,
    };
}

// Guards against refusals while engines run half-empty batches. Workspaces beyond their share were admitted only at
// engines with less than 49 ms of queued work.
test("engines run full batches while large workspaces exceed the capacity", () => {
    // The demand exceeds the capacity by a sixth; 0.97 is the required utilization (docs/proofs.md).
    const { prefillRatio, refusedSmall } = runSimulation(3.5);
    assert.ok(prefillRatio >= 0.97, `${prefillRatio}`);
    assert.is(refusedSmall, 0);
});

test("large workspaces are not refused while the capacity covers the demand", () => {
    const { prefillRatio, refusedRatio } = runSimulation(5);
    assert.ok(prefillRatio < 0.9, `${prefillRatio}`);
    assert.ok(refusedRatio < 0.01, `${refusedRatio}`);
});

test("workspaces that have used little of their share are admitted under severe overload", () => {
    const { refusedRatio, refusedSmall } = runSimulation(3);
    assert.ok(refusedRatio > 0.2, `${refusedRatio}`);
    assert.is(refusedSmall, 0);
});

test.run();
