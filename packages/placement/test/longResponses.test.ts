/** Tests whether long responses are complete before their deadlines while the demand exceeds the capacity. */
import type { PoolSpec } from "@rhubarbwheel/types/fleet";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createCoordinatorHarness } from "./coordinatorHarness.js";
import { createDecodingEngine, type RunningResponse, tokensPerEvent } from "./createDecodingEngine.js";
import { createRequest, createTargets, enginePool } from "./placementFixtures.js";

const pool: PoolSpec = {
    ...enginePool,
    coldRequestsPerSecond: 0,
    engine: { maxBatchSize: 64, kvCacheTokens: 400_469, tokensPerEvent },
};

const durationMs = 40_000;
const timeoutMs = 10_000;
const maxOutputTokens = 950;
const reportIntervalMs = 500;
const tickMs = 10;

interface Outcome {
    readonly tokens: number;
    readonly isComplete: boolean;
    readonly workspace: string;
    readonly isRefused: boolean;
}

interface SimulationOptions {
    readonly seed: number;
    /** Mean time between two requests to the pool. */
    readonly meanIntervalMs: number;
    readonly hasExpectedLength: boolean;
    /** Workspace of the request with this index; by default one of five by turns. */
    readonly getWorkspace?: (index: number) => string;
}

function runSimulation(opts: SimulationOptions): readonly Outcome[] {
    const { seed, meanIntervalMs, hasExpectedLength, getWorkspace = index => `w${index % 5}` } = opts;
    const targets = createTargets(8, { failureDomain: "a", slots: 64 });
    const harness = createCoordinatorHarness({ pool, targets, latencyTargetMs: 500, tokensPerSecond: 256_000 });
    const generator = xoroshiro128plus(seed);
    const random = (): number => uniformFloat64(generator);
    const sampleNormal = (): number => Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
    const outcomes: Outcome[] = [];
    const engines = new Map(targets.map(({ target }) => [
        target,
        createDecodingEngine({
            onStarted: ({ request }, at) => harness.sendNotice(request, target, at),
            onEnded: ({ request, tokens }, isComplete, at) => {
                outcomes.push({ tokens, isComplete, workspace: request.workspace ?? "", isRefused: false });
                harness.sendNotice(request, target, at, isComplete ? "complete" : "cancelled");
            },
        }),
    ]));

    const report = (now: number): void => {
        for (const [target, engine] of engines) {
            const holdings = [...engine.list()].map(({ request, generatedTokens, assignedAt, deadlineAt }) => ({
                requestId: request.requestId,
                target,
                promptTokens: request.prompt?.promptTokens ?? 0,
                outputTokens: maxOutputTokens,
                newTokens: 0,
                ageMs: now - assignedAt,
                timeLeftMs: deadlineAt - now,
                started: generatedTokens > 0,
                eventCount: Math.floor(generatedTokens / tokensPerEvent),
            }));
            harness.send({ type: "holdings", service: pool.service, holdings }, now);
        }
    };

    const arrive = (index: number, now: number): void => {
        const tokens = Math.round(Math.min(maxOutputTokens, Math.max(1, 150 * Math.exp(1.1 * sampleNormal()))));
        const promptTokens = Math.round(500 + (random() < 0.3 ? 9_000 : 1_500) * random());
        const expectedOutputTokens = Math.max(1, Math.round(tokens * Math.exp(0.5 * sampleNormal())));
        const workspace = getWorkspace(index);
        const request = createRequest(`s${index}`, {
            workspace,
            prompt: {
                promptTokens,
                outputTokens: maxOutputTokens,
                ...(hasExpectedLength ? { expectedOutputTokens } : {}),
                parts: [],
            },
            latencyTargetMs: 500,
            timeLeftMs: timeoutMs,
        });
        const { target } = harness.requestPlacement(request, now);
        if (target === undefined) return void outcomes.push({ tokens, isComplete: false, workspace, isRefused: true });
        const response: RunningResponse = {
            request,
            deadlineAt: now + timeoutMs,
            tokens,
            assignedAt: now,
            promptTokensLeft: promptTokens,
            generatedTokens: 0,
        };
        engines.get(target)?.add(response, now);
    };

    let arrivalAt = 0;
    let reportAt = reportIntervalMs;
    let count = 0;
    for (let now = 0; now < durationMs; now += tickMs) {
        for (const engine of engines.values()) engine.advance(now);
        if (now >= reportAt) {
            report(now);
            reportAt += reportIntervalMs;
        }
        for (; arrivalAt <= now; arrivalAt -= Math.log(1 - random()) * meanIntervalMs) arrive(count++, now);
    }
    return outcomes;
}

function computeCompletedRatio(outcomes: readonly Outcome[]): number {
    return outcomes.filter(({ isComplete }) => isComplete).length / outcomes.length;
}

function computeRatios(opts: SimulationOptions) {
    const outcomes = runSimulation(opts);
    const bySize = [...outcomes].sort((left, right) => left.tokens - right.tokens);
    const completed = outcomes.filter(({ isComplete }) => isComplete);
    return {
        all: computeCompletedRatio(outcomes),
        longest: computeCompletedRatio(bySize.slice(-Math.ceil(bySize.length / 10))),
        completedTokensPerMs: completed.reduce((sum, { tokens }) => sum + tokens, 0) / durationMs,
    };
}

// Guards against long responses that end at their deadline midway, while engines prefill the prompts of others without
// pause. The longest tenth must be complete at least half as often as all.
for (const hasExpectedLength of [true, false]) {
    for (const seed of [1, 2, 3]) {
        const name = `long responses are complete under overload, ${
            hasExpectedLength ? "with" : "without"
        } an expected length`;
        test(`${name}, seed ${seed}`, () => {
            const ratios = computeRatios({ seed, meanIntervalMs: 7, hasExpectedLength });
            assert.ok(ratios.longest >= 0.5 * ratios.all, JSON.stringify(ratios));
        });
    }
}

// Guards against FAIR: engines that take prompts again for a moment took those of the workspaces that sent most.
test("workspaces that have used little of their share are admitted while engines are spared for long responses", () => {
    for (const seed of [1, 2, 3]) {
        const outcomes = runSimulation({
            seed,
            meanIntervalMs: 7,
            hasExpectedLength: true,
            getWorkspace: index => index % 10 === 0 ? `small-${index % 30}` : "heavy",
        });
        const small = outcomes.filter(({ workspace }) => workspace !== "heavy");
        const refusedRatio = small.filter(({ isRefused }) => isRefused).length / small.length;
        assert.ok(refusedRatio < 0.1, `seed ${seed}: ${refusedRatio}`);
    }
});

test("no request is refused for long responses while the capacity covers the demand", () => {
    const { all } = computeRatios({ seed: 4, meanIntervalMs: 25, hasExpectedLength: true });
    assert.ok(all >= 0.98, `${all}`);
});

test.run();
