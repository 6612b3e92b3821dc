/** Linear fit of measured points. */

export interface Point {
    readonly size: number;
    readonly value: number;
}

export interface Line {
    readonly slope: number;
    readonly intercept: number;
}

/**
 * Fits a line by least squares of the relative errors, so that the smallest sizes determine the intercept as much as
 * the largest ones determine the slope. Throws for fewer than three sizes, because a line always fits two.
 */
export function fitLine(points: readonly Point[]): Line {
    if (new Set(points.map(point => point.size)).size < 3)
        throw new Error("a linear fit requires at least three sizes");
    const weights = points.map(point => 1 / point.value ** 2);
    const totalWeight = weights.reduce((sum, weight) => sum + weight, 0);
    const computeMean = (key: keyof Point) =>
        points.reduce((sum, point, index) => sum + weights[index]! * point[key], 0) / totalWeight;
    const meanSize = computeMean("size");
    const meanValue = computeMean("value");
    let covariance = 0;
    let variance = 0;
    for (const [index, { size, value }] of points.entries()) {
        covariance += weights[index]! * (size - meanSize) * (value - meanValue);
        variance += weights[index]! * (size - meanSize) ** 2;
    }
    const slope = covariance / variance;
    return { slope, intercept: meanValue - slope * meanSize };
}

export function computeMedian(values: readonly number[]): number {
    const sorted = [...values].sort((left, right) => left - right);
    const middle = sorted.length >> 1;
    const upper = sorted[middle] ?? NaN;
    return sorted.length % 2 === 1 ? upper : ((sorted[middle - 1] ?? NaN) + upper) / 2;
}
