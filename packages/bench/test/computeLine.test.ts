import { test } from "uvu";
import * as assert from "uvu/assert";
import { computeLine, computeMedian } from "../src/scale/computeLine.js";

const measureExactly = (sizes: readonly number[]) => sizes.map(size => ({ size, value: 20 + 0.5 * size }));

// Guards against a fit whose weights bias the slopes from which the capacity page is worked out.
test("finds the line of points without error", () => {
    const { slope, intercept } = computeLine(measureExactly([2, 64, 580]));
    assert.ok(Math.abs(slope - 0.5) < 1e-9);
    assert.ok(Math.abs(intercept - 20) < 1e-6);
});

// Guards against an intercept that is only the noise of the greatest size, which made costs at small sizes negative.
test("keeps the intercept when the greatest size is 20% too high", () => {
    const points = measureExactly([2, 64, 580]).map(point =>
        point.size === 580 ? { ...point, value: point.value * 1.2 } : point
    );
    assert.ok(Math.abs(computeLine(points).intercept - 20) < 2);
});

// Guards against figures that are called slopes although two sizes cannot show whether the cost is linear.
test("refuses fewer than three sizes", () => {
    assert.throws(() => computeLine(measureExactly([2, 64, 64])), /three sizes/);
});

// Guards against medians of unsorted samples, and of an even number of runs.
test("computes the median of odd and even numbers of values", () => {
    assert.is(computeMedian([9, 1, 5]), 5);
    assert.is(computeMedian([9, 1, 5, 7]), 6);
});

test.run();
