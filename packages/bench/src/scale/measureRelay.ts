/** Cost of relaying: what a stream or a request costs through the router's data path beyond a direct one. */
import { setTimeout as wait } from "node:timers/promises";
import { computeLine, computeMedian } from "./computeLine.js";
import { readCpuUs } from "./measureCpu.js";
import { buildEvent, startRelay } from "./startRelay.js";
import type { Relay } from "./startRelay.js";

const streamCount = 20;
const roundCount = 50;
/** Long enough for a round of all streams, so that packets of two rounds never arrive together. */
const roundMs = 5;
const repeats = 3;
const tokensPerChunk = [1, 4, 16];
const requestCount = 60;
const pollCount = 400;
/** Requests that run at the same time while their processor time is measured. */
const concurrency = 10;
const waitStepMs = 1;

/** Returns the processor time per chunk of target, caller and, in the relayed case, router. */
async function measureStreams(relay: Relay, port: number, tokens: number): Promise<number> {
    const chunk = buildEvent("token").repeat(tokens);
    let received = 0;
    relay.streams.splice(0).forEach(stream => stream.end("data: [DONE]\n\n"));
    const onData = (bytes: number) => (received += bytes);
    await Promise.all(Array.from({ length: streamCount }, () => relay.openStream(port, onData)));
    const expected = received + streamCount * roundCount * chunk.length;
    const startedAt = readCpuUs();
    for (let round = 0; round < roundCount; round++) {
        for (const stream of relay.streams) stream.write(chunk);
        await wait(roundMs);
    }
    while (received < expected) await wait(waitStepMs);
    return (readCpuUs() - startedAt) / (streamCount * roundCount);
}

async function measureChunk(relay: Relay, tokens: number): Promise<number> {
    const differences: number[] = [];
    for (let repeat = 0; repeat <= repeats; repeat++) {
        const direct = await measureStreams(relay, relay.ports.direct, tokens);
        const relayed = await measureStreams(relay, relay.ports.relayed, tokens);
        // The first repetition is warm-up.
        if (repeat > 0) differences.push(relayed - direct);
    }
    return computeMedian(differences);
}

async function measureRequestCpuUs(relay: Relay, port: number): Promise<number> {
    const startedAt = readCpuUs();
    for (let count = 0; count < requestCount; count++)
        await Promise.all(Array.from({ length: concurrency }, () => relay.runRequest(port)));
    return (readCpuUs() - startedAt) / (requestCount * concurrency);
}

/** Elapsed time of a request while nothing else runs. */
async function measureLatencyMs(relay: Relay, port: number): Promise<number> {
    const latencies: number[] = [];
    for (let count = 0; count < requestCount; count++) {
        const sentAt = performance.now();
        await relay.runRequest(port);
        latencies.push(performance.now() - sentAt);
    }
    return computeMedian(latencies);
}

async function measureRequest(relay: Relay): Promise<Readonly<Record<string, number>>> {
    const { direct, relayed } = relay.ports;
    const cpuUs: number[] = [];
    const latencyMs: number[] = [];
    for (let repeat = 0; repeat <= repeats; repeat++) {
        const cost = await measureRequestCpuUs(relay, relayed) - await measureRequestCpuUs(relay, direct);
        const latency = await measureLatencyMs(relay, relayed) - await measureLatencyMs(relay, direct);
        if (repeat === 0) continue;
        cpuUs.push(cost);
        latencyMs.push(latency);
    }
    return { relayRequestCpuUs: computeMedian(cpuUs), relayRequestAddedMs: computeMedian(latencyMs) };
}

/** The cost of the stand-in target's answer is included, so that this is an upper bound. */
async function measurePollCpuUs(relay: Relay): Promise<number> {
    const costs: number[] = [];
    for (let repeat = 0; repeat <= repeats; repeat++) {
        const startedAt = readCpuUs();
        for (let count = 0; count < pollCount; count++) await relay.pollLoad();
        costs.push((readCpuUs() - startedAt) / pollCount);
    }
    return computeMedian(costs.slice(1));
}

export async function measureRelay(): Promise<Readonly<Record<string, number>>> {
    const relay = await startRelay();
    try {
        const request = await measureRequest(relay);
        const points: { size: number; value: number; }[] = [];
        for (const tokens of tokensPerChunk) points.push({ size: tokens, value: await measureChunk(relay, tokens) });
        const line = computeLine(points);
        return {
            ...request,
            pollWithTargetCpuUs: await measurePollCpuUs(relay),
            relayCpuUsPerChunkOfOneToken: points[0]!.value,
            relayCpuUsPerChunk: line.intercept,
            relayCpuUsPerTokenInChunk: line.slope,
        };
    }
    finally {
        await relay.close();
    }
}
