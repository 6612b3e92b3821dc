/** Tests the retry delay of refused callers: less than the third of their time that they wait at most, and not zero. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { computeRetryAfterMs } from "../src/computeRetryAfterMs.js";

for (const [timeLeftMs, expected] of [[15_000, 4_500], [3_000, 900], [600, 200], [0, 200]] as const) {
    test(`the retry delay of a caller with ${timeLeftMs} ms left is ${expected} ms`, () => {
        assert.is(computeRetryAfterMs(timeLeftMs), expected);
    });
}

test.run();
