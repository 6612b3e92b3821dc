/** Memory of state, as growth over the process without it. */
import { setTimeout } from "node:timers/promises";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { computeLine, computeMedian } from "./computeLine.js";
import type { Line, Point } from "./computeLine.js";

function findCollector(): () => void {
    if (globalThis.gc !== undefined) return () => void globalThis.gc?.();
    setFlagsFromString("--expose-gc");
    return runInNewContext("gc") as () => void;
}

const collectGarbage = findCollector();

/** Bytes of heap and external memory in use after garbage was collected. */
export function readMemoryBytes(): number {
    // Objects with finalizers are freed by the second run.
    collectGarbage();
    collectGarbage();
    const { heapUsed, external } = process.memoryUsage();
    return heapUsed + external;
}

const held: unknown[] = [];
/** Compilations in the background keep what they compile alive until they end. */
const settleMs = 20;

async function measureMemoryBytes(create: () => unknown): Promise<number> {
    held.push(create());
    await setTimeout(settleMs);
    const after = readMemoryBytes();
    held.pop();
    await setTimeout(settleMs);
    return after - readMemoryBytes();
}

const repeats = 3;

/** Fits a line to the memory that states of several sizes hold. */
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
    return { ...computeLine(points), points };
}
