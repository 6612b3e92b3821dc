/** Tests which responses keep an engine from taking further prompts. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createDecodeModel, estimateRemainingTokens, type GeneratedResponse } from "../src/createDecodeModel.js";
import { createQuietPaceEstimator } from "../src/createQuietPaceEstimator.js";

const tokensPerEvent = 10;

function createResponse(more: Partial<GeneratedResponse> = {}): GeneratedResponse {
    return { outputTokens: 1_000, deadlineAt: 10_000, startedAt: 0, eventCount: 0, ...more };
}

/** A model of an engine that takes 5 ms for a token without prefill. */
function createModel() {
    const quietPace = createQuietPaceEstimator();
    quietPace.record(200, 1_000);
    return { quietPace, model: createDecodeModel({ tokensPerEvent, quietPace }) };
}

test("the reserve is the time beyond the one that the rest of the response takes without prefill", () => {
    const { model } = createModel();
    const responses = [
        createResponse(),
        createResponse({ eventCount: 50 }),
        createResponse({ expectedOutputTokens: 100 }),
    ];
    const ratios = responses.map((response, index) => model.getReserveRatio([response], 2_000 + index * 100));
    assert.equal(ratios.map(ratio => ratio.toFixed(2)), ["0.60", "2.16", "11.48"]);
    assert.is(model.getReserveRatio(responses, 2_500), 0.5);
});

// Guards against an engine that stands still for a response which nothing can save.
test("a response that misses its deadline in any case does not count", () => {
    const { model } = createModel();
    assert.is(model.getReserveRatio([createResponse()], 6_000), Infinity);
});

test("a response that is longer than expected is assumed to go on for a quarter of its length", () => {
    const sizes = { outputTokens: 1_000, expectedOutputTokens: 100 };
    assert.equal([0, 100, 200, 900].map(generated => estimateRemainingTokens(sizes, generated)), [125, 25, 50, 100]);
    assert.is(estimateRemainingTokens({ outputTokens: 1_000 }, 400), 600);
});

test("the pace is learned from intervals without prefill only", () => {
    const { quietPace, model } = createModel();
    const response = createResponse();
    model.recordProgress(response, 10, { quietSince: Infinity, now: 5_000 });
    model.recordProgress(response, 20, { quietSince: 5_500, now: 6_000 });
    assert.is(quietPace.getTokenMs(), 5);
    for (let report = 1; report <= 600; report++)
        model.recordProgress(response, 20 + 5 * report, { quietSince: 5_500, now: 6_000 + 500 * report });
    assert.ok(Math.abs(quietPace.getTokenMs() - 10) < 0.1, `${quietPace.getTokenMs()}`);
});

// Guards against a pace that is too short: reports come more often than the forwarder counts events.
test("reports without new events do not change the pace", () => {
    const quietPace = createQuietPaceEstimator();
    const model = createDecodeModel({ tokensPerEvent, quietPace });
    const response = createResponse();
    for (let report = 1; report <= 40; report++)
        model.recordProgress(response, 5 * Math.floor(report / 2), { quietSince: -1, now: 250 * report });
    assert.ok(Math.abs(quietPace.getTokenMs() - 10) < 0.001, `${quietPace.getTokenMs()}`);
});

test("an older report changes nothing", () => {
    const { model } = createModel();
    const response = createResponse();
    model.recordProgress(response, 10, { quietSince: 0, now: 500 });
    model.recordProgress(response, 7, { quietSince: 0, now: 600 });
    assert.is(response.eventCount, 10);
});

test.run();
