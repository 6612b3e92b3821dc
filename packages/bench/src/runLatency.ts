/** Benchmark `latency`: time to first token and between tokens on warm targets with free capacity. */
import { setTimeout as sleep } from "node:timers/promises";
import { createCaller } from "./createCaller.js";
import type { CallerResult } from "./createCaller.js";
import { plan, targetCount, targetLimit, workspaces } from "./fairnessPlan.js";
import { getWorkspaceToken, modelName } from "./fleetPlan.js";
import { computeQuantile } from "./sampleTargets.js";
import { startFleet } from "./startFleet.js";

const warmUpMs = 8_000;
const measurementMs = 15_000;
/** Open requests as a fraction of all slots. */
const loadRatio = 0.6;
const outputTokens = 40;
// A caller pauses between two requests, so that arrivals do not coincide with the ends of other requests.
const maxThinkTimeMs = 100;
const prompt = "proof ".repeat(40);

interface Timings {
    readonly betweenTokensMs: number[];
    readonly results: CallerResult[];
}

export async function runLatency(): Promise<object> {
    const fleet = await startFleet(plan);
    const caller = createCaller();
    try {
        const timings: Timings = { betweenTokensMs: [], results: [] };
        let measuring = false;
        let running = true;
        let nextRequest = 0;
        const runCaller = async (_: unknown, index: number) => {
            while (running) {
                const workspace = workspaces[index % workspaces.length]!.name;
                let lastTokenAt: number | undefined;
                const result = await caller.sendChat({
                    router: fleet.routers[nextRequest % fleet.routers.length]!.url,
                    token: getWorkspaceToken(workspace),
                    model: modelName,
                    user: `${workspace}/${nextRequest++}`,
                    prompt,
                    maxTokens: outputTokens,
                    onToken: () => {
                        const now = performance.now();
                        if (measuring && lastTokenAt !== undefined) timings.betweenTokensMs.push(now - lastTokenAt);
                        lastTokenAt = now;
                    },
                });
                if (measuring) timings.results.push(result);
                await sleep((nextRequest * 37) % maxThinkTimeMs);
            }
        };
        const callers = Array.from({ length: Math.floor(targetCount * targetLimit * loadRatio) }, runCaller);
        await sleep(warmUpMs);
        measuring = true;
        await sleep(measurementMs);
        measuring = false;
        running = false;
        await Promise.all(callers);
        const firstTokenMs = timings.results.flatMap(result => result.firstTokenMs ?? []);
        const roundToTenths = (value: number) => Number(value.toFixed(1));
        return {
            firstTokenMs: {
                p50: roundToTenths(computeQuantile(firstTokenMs, 0.5)),
                p95: roundToTenths(computeQuantile(firstTokenMs, 0.95)),
            },
            betweenTokensMs: {
                p50: roundToTenths(computeQuantile(timings.betweenTokensMs, 0.5)),
                p95: roundToTenths(computeQuantile(timings.betweenTokensMs, 0.95)),
            },
            requests: timings.results.length,
            incomplete: timings.results.filter(result => result.outcome !== "complete").length,
            crossed: timings.results.filter(result => result.crossed).length,
        };
    }
    finally {
        await caller.close();
        await fleet.stop();
    }
}
