/** Runs the load of `fairnessPlan.ts` against a set of routers and samples received service and utilisation. */
import type { CallerResult } from "./createCaller.js";
import { createServiceMeter } from "./createServiceMeter.js";
import type { ServiceSample } from "./createServiceMeter.js";
import { createLoops, targetLimit, workspaces } from "./fairnessPlan.js";
import { sampleUtilisation } from "./sampleTargets.js";
import { startClosedLoops } from "./startClosedLoops.js";
import type { Fleet } from "./startFleet.js";

export interface FairLoadOptions {
    readonly warmUpMs: number;
    readonly measurementMs: number;
    /** Called when the measurement begins; the load continues meanwhile. */
    readonly onBegin?: () => Promise<void>;
    readonly onEnd?: () => Promise<void>;
}

export interface FairLoadResult {
    readonly samples: readonly ServiceSample[];
    readonly utilisation: readonly number[];
    readonly results: readonly CallerResult[];
}

const sampleIntervalMs = 200;

const sleep = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

export async function runFairLoad(
    urls: readonly string[],
    fleet: Fleet,
    opts: FairLoadOptions,
): Promise<FairLoadResult> {
    const meter = createServiceMeter(workspaces);
    const utilisation: number[] = [];
    const loops = startClosedLoops(createLoops(urls), meter.add);
    await sleep(opts.warmUpMs);
    const beginPromise = opts.onBegin?.();
    const startedAt = Date.now();
    while (Date.now() - startedAt < opts.measurementMs) {
        meter.sample(Date.now() - startedAt);
        utilisation.push(await sampleUtilisation(fleet.targets, targetLimit));
        await sleep(sampleIntervalMs);
    }
    await beginPromise;
    await opts.onEnd?.();
    await loops.stop();
    const received = [...meter.getReceived()].map(([name, cost]) => `${name} ${cost}`);
    console.log(`service received: ${received.join(", ")}`);
    return { samples: meter.listSamples(), utilisation, results: loops.results };
}
