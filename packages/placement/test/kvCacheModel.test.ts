/** Tests the model of an engine's prefix cache and KV cache capacity while requests start, end and are cancelled. */
import type { PlacementRequest } from "@rhubarbwheel/types/placement";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createPrefixCacheModel } from "../src/createPrefixCacheModel.js";
import { createQuietPaceEstimator } from "../src/createQuietPaceEstimator.js";
import { createTargetModel } from "../src/createTargetModel.js";
import { createRequest, enginePool } from "./placementFixtures.js";

const ownPartTokens = 6_610;

/** An engine with a tenth of the usual KV cache capacity: eight requests without shared parts fill it. */
function createEngine() {
    const engine = { ...enginePool.engine!, kvCacheTokens: 100_000 };
    const model = createTargetModel({
        slots: 128,
        engine,
        priorPrefillRate: 100,
        quietPace: createQuietPaceEstimator(),
        getNextAssignment: () => 1,
    });
    let now = 0;
    const assign = (request: PlacementRequest): PlacementRequest => {
        const { requestId, prompt } = request;
        const { promptTokens = 0, outputTokens = 0, parts } = prompt ?? {};
        const newTokens = promptTokens - model.countCachedTokens(prompt!);
        const sizes = { promptTokens, outputTokens, newTokens, parts };
        model.assign({
            requestId,
            target: "target-1",
            ...sizes,
            assignedAt: ++now,
            expiresAt: Infinity,
            deadlineAt: Infinity,
            eventCount: 0,
        });
        return request;
    };
    const run = (request: PlacementRequest): PlacementRequest => {
        assign(request);
        model.start(request.requestId, ++now);
        return request;
    };
    const endRequest = ({ requestId }: PlacementRequest): void => model.end(requestId, "complete", 200, ++now);
    const countNewTokens = (partId: string): number => {
        const { prompt } = createRequest(partId);
        return prompt!.promptTokens - model.countCachedTokens(prompt!);
    };
    return { model, assign, run, endRequest, countNewTokens };
}

// Guards against counting a shared part once per request. The model then held 180,000 to 320,000 tokens where engines
// had 470,000 of 486,851 cached, and requests were placed at other engines, which repeated the prefill.
test("a cached part is not evicted by requests that share another part", () => {
    const { run, endRequest, countNewTokens } = createEngine();
    endRequest(run(createRequest("t")));
    for (let index = 0; index < 8; index++) run(createRequest("s"));
    assert.is(countNewTokens("t"), ownPartTokens);
});

test("an engine has capacity for more requests that share a part than for requests that share none", () => {
    const shared = createEngine();
    const distinct = createEngine();
    const counts = { shared: 0, distinct: 0 };
    for (let index = 0; index < 20; index++) {
        for (const [kind, engine, id] of [["shared", shared, "s"], ["distinct", distinct, `s${index}`]] as const) {
            const request = createRequest(id);
            if (!engine.model.hasCapacity(request.prompt)) continue;
            engine.run(request);
            counts[kind] += 1;
        }
    }
    // Of 80,000 tokens: 5,382 shared and 6,994 per request, or 512 shared and 11,864 per request.
    assert.equal(counts, { shared: 10, distinct: 6 });
});

// Guards against parts that count as cached although their request was cancelled before prefill.
test("parts without prefill are not cached after their request was cancelled", () => {
    const { model, assign, countNewTokens } = createEngine();
    const request = assign(createRequest("s"));
    assert.is(countNewTokens("s"), ownPartTokens);
    model.end(request.requestId, "cancelled", 0, 5);
    assert.is(countNewTokens("s"), 11_992);
});

test("a part counts as cached while another queued request needs it", () => {
    const { model, assign, countNewTokens } = createEngine();
    const first = assign(createRequest("s"));
    assign(createRequest("s"));
    model.end(first.requestId, "cancelled", 0, 5);
    assert.is(countNewTokens("s"), ownPartTokens);
});

test("pinned parts are not evicted, and others are evicted in LRU order", () => {
    const cache = createPrefixCacheModel();
    const createParts = (id: string) => [{ id, tokens: 10 }];
    const useParts = (id: string): void => {
        cache.pin(createParts(id), 40);
        cache.setPrefilled(createParts(id));
    };
    useParts("running");
    for (const id of ["a", "b", "c"]) {
        useParts(id);
        cache.unpin(createParts(id));
    }
    useParts("a");
    cache.unpin(createParts("a"));
    useParts("d");
    const cachedIds = ["running", "a", "b", "c", "d"].filter(id => cache.countCachedTokens(createParts(id)) > 0);
    assert.equal(cachedIds, ["running", "a", "c", "d"]);
    assert.is(cache.getPinnedTokens(), 20);
});

test("parts that the engine reports are merged with pinned ones and count once", () => {
    const cache = createPrefixCacheModel();
    const parts = [{ id: "common", tokens: 10 }, { id: "s", tokens: 20 }];
    cache.pin(parts, 1_000);
    assert.is(cache.countPrefilledTokens(parts), 0);
    cache.addLeastRecentlyUsed([...parts, { id: "t", tokens: 30 }]);
    assert.is(cache.countPrefilledTokens(parts), 30);
    cache.pin([{ id: "u", tokens: 40 }], 70);
    assert.is(cache.countCachedTokens([{ id: "t", tokens: 30 }]), 0);
    assert.is(cache.countCachedTokens(parts), 30);
});

test.run();
