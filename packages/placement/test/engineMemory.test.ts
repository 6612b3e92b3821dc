/** What an engine is taken to keep while requests run there, come, go and are cancelled. */
import type { PlacementRequest } from "@rhubarbwheel/types/placement";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createPrefixCacheModel } from "../src/createPrefixCacheModel.js";
import { createTargetModel } from "../src/createTargetModel.js";
import { createRequest, enginePool } from "./placementFixtures.js";

const ownTokens = 6_610;

/** An engine with a tenth of the usual memory: eight requests that share nothing fill it. */
function createEngine() {
    const engine = { ...enginePool.engine!, kvCacheTokens: 100_000 };
    const model = createTargetModel({ slots: 128, engine, priorPrefillRate: 100 });
    let now = 0;
    const assign = (request: PlacementRequest): PlacementRequest => {
        const { requestId, prompt } = request;
        const { promptTokens = 0, outputTokens = 0, parts } = prompt ?? {};
        const newTokens = promptTokens - model.countCachedTokens(prompt!);
        const sizes = { promptTokens, outputTokens, newTokens, parts };
        model.assign({ requestId, target: "target-1", ...sizes, assignedAt: ++now, expiresAt: Infinity });
        return request;
    };
    const run = (request: PlacementRequest): PlacementRequest => {
        assign(request);
        model.start(request.requestId, ++now);
        return request;
    };
    const complete = ({ requestId }: PlacementRequest): void => model.end(requestId, "complete", 200, ++now);
    const countNewTokens = (subject: string): number => {
        const { prompt } = createRequest(subject);
        return prompt!.promptTokens - model.countCachedTokens(prompt!);
    };
    return { model, assign, run, complete, countNewTokens };
}

// Pattern: the load of trouble-2 of cbr-fleet; engines kept 470,000 of 486,851 tokens, the model of them 180,000 to
// 320,000, because it counted a part once for each request that used it. It then sent subjects to other engines, which
// read them again.
test("a subject is kept beside requests that share another one", () => {
    const { run, complete, countNewTokens } = createEngine();
    complete(run(createRequest("t")));
    for (let index = 0; index < 8; index++) run(createRequest("s"));
    assert.is(countNewTokens("t"), ownTokens);
});

test("requests that share a part have room where as many that share nothing have not", () => {
    const sharing = createEngine();
    const apart = createEngine();
    const counts = { sharing: 0, apart: 0 };
    for (let index = 0; index < 20; index++) {
        for (const [kind, engine, subject] of [["sharing", sharing, "s"], ["apart", apart, `s${index}`]] as const) {
            const request = createRequest(subject);
            if (!engine.model.hasCapacity(request.prompt)) continue;
            engine.run(request);
            counts[kind] += 1;
        }
    }
    // 80,000 tokens: 5,382 and 6,994 a request, or 512 and 11,864 a request.
    assert.equal(counts, { sharing: 10, apart: 6 });
});

// Pattern: `give_up`; parts of requests that were cancelled while they waited were taken for kept.
test("what was never read is not kept after its request was cancelled", () => {
    const { model, assign, countNewTokens } = createEngine();
    const request = assign(createRequest("s"));
    assert.is(countNewTokens("s"), ownTokens);
    model.end(request.requestId, "cancelled", 0, 5);
    assert.is(countNewTokens("s"), 11_992);
});

test("a part stays while another request waits for it", () => {
    const { model, assign, countNewTokens } = createEngine();
    const first = assign(createRequest("s"));
    assign(createRequest("s"));
    model.end(first.requestId, "cancelled", 0, 5);
    assert.is(countNewTokens("s"), ownTokens);
});

test("parts of running requests do not yield, and others do in the order of their last use", () => {
    const cache = createPrefixCacheModel();
    const part = (id: string) => [{ id, tokens: 10 }];
    const use = (id: string): void => {
        cache.pin(part(id), 40);
        cache.markPrefilled(part(id));
    };
    use("running");
    for (const id of ["a", "b", "c"]) {
        use(id);
        cache.unpin(part(id));
    }
    use("a");
    cache.unpin(part("a"));
    use("d");
    const kept = ["running", "a", "b", "c", "d"].filter(id => cache.countCachedTokens(part(id)) > 0);
    assert.equal(kept, ["running", "a", "c", "d"]);
    assert.is(cache.getPinnedTokens(), 20);
});

test("what the engine lists joins what is held, and counts once", () => {
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
