/** Memory held by an object: the difference between the memory in use with and without it. */
import { setTimeout } from "node:timers/promises";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { computeMedian, fitLine } from "./fitLine.js";
import type { Line, Point } from "./fitLine.js";

function getGarbageCollector(): () => void {
    if (globalThis.gc !== undefined) return () => void globalThis.gc?.();
    setFlagsFromString("--expose-gc");
    return runInNewContext("gc") as () => void;
}

const collectGarbage = getGarbageCollector();

/** Heap and external memory in use after garbage collection. */
export function readMemoryBytes(): number {
    // The second collection frees objects with finalizers.
    collectGarbage();
    collectGarbage();
    const { heapUsed, external } = process.memoryUsage();
    return heapUsed + external;
}

const retained: unknown[] = [];
/** Background compilation references the code that it compiles, so it has to end before memory is read. */
const compilationDelayMs = 20;

async function measureMemoryBytes(create: () => unknown): Promise<number> {
    retained.push(create());
    await setTimeout(compilationDelayMs);
    const after = readMemoryBytes();
    retained.pop();
    await setTimeout(compilationDelayMs);
    return after - readMemoryBytes();
}

const repeats = 3;

/** Measures the memory held by the created object at each size and fits a line. */
export async function measureMemoryLine(
    sizes: readonly number[],
    create: (size: number) => unknown,
): Promise<Line & { readonly points: readonly Point[]; }> {
    const points: Point[] = [];
    for (const size of sizes) {
        const values: number[] = [];
        for (let repeat = 0; repeat < repeats; repeat++)
            values.push(await measureMemoryBytes(() => create(size)));
        points.push({ size, value: computeMedian(values) });
    }
    return { ...fitLine(points), points };
}
