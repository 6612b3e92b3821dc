import { test } from "uvu";
import * as assert from "uvu/assert";
import { computeMedian, fitLine } from "../src/scale/fitLine.js";

const createExactPoints = (sizes: readonly number[]) => sizes.map(size => ({ size, value: 20 + 0.5 * size }));

// Guards against weights that bias the slopes from which the capacity page is calculated.
test("fits exact points without error", () => {
    const { slope, intercept } = fitLine(createExactPoints([2, 64, 580]));
    assert.ok(Math.abs(slope - 0.5) < 1e-9);
    assert.ok(Math.abs(intercept - 20) < 1e-6);
});

// Guards against an intercept dominated by noise at the largest size, which gave negative costs at small sizes.
test("keeps the intercept when the value at the largest size is 20% too high", () => {
    const points = createExactPoints([2, 64, 580]).map(point =>
        point.size === 580 ? { ...point, value: point.value * 1.2 } : point
    );
    assert.ok(Math.abs(fitLine(points).intercept - 20) < 2);
});

// Guards against slopes from two sizes, which cannot show whether the cost is linear.
test("throws for fewer than three sizes", () => {
    assert.throws(() => fitLine(createExactPoints([2, 64, 64])), /three sizes/);
});

// Guards against wrong medians of unsorted samples and of an even number of samples.
test("computes the median of odd and even numbers of values", () => {
    assert.is(computeMedian([9, 1, 5]), 5);
    assert.is(computeMedian([9, 1, 5, 7]), 6);
});

test.run();
