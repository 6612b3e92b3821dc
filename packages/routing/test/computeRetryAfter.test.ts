/** When refused callers come back: within the third of their time that they wait at most, and not at once. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { computeRetryAfter } from "../src/computeRetryAfter.js";

for (const [timeLeftMs, expected] of [[15_000, 4_500], [3_000, 900], [600, 200], [0, 200]] as const) {
    test(`a caller with ${timeLeftMs} ms left comes back after ${expected} ms`, () => {
        assert.is(computeRetryAfter(timeLeftMs), expected);
    });
}

test.run();
