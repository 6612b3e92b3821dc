/** Cost of relaying: the additional cost of a stream or request through a router compared with a direct one. */
import { setTimeout as sleep } from "node:timers/promises";
import { computeMedian, fitLine } from "./fitLine.js";
import { readCpuUs } from "./measureCpu.js";
import { createEvent, startRelay } from "./startRelay.js";
import type { Relay } from "./startRelay.js";

const streamCount = 20;
const roundCount = 50;
/** Long enough for a write to all streams, so that data of two rounds never arrives together. */
const roundIntervalMs = 5;
const repeats = 3;
const tokensPerChunk = [1, 4, 16];
const requestCount = 60;
const pollCount = 400;
/** Number of concurrent requests while their CPU time is measured. */
const concurrency = 10;
const pollIntervalMs = 1;

/** Returns the CPU time per chunk of the target, the caller and, if relayed, the router. */
async function measureStreamsCpuUs(relay: Relay, port: number, tokens: number): Promise<number> {
    const chunk = createEvent("token").repeat(tokens);
    let received = 0;
    relay.streams.splice(0).forEach(stream => stream.end("data: [DONE]\n\n"));
    const onData = (bytes: number) => (received += bytes);
    await Promise.all(Array.from({ length: streamCount }, () => relay.openStream(port, onData)));
    const expected = received + streamCount * roundCount * chunk.length;
    const startedAt = readCpuUs();
    for (let round = 0; round < roundCount; round++) {
        for (const stream of relay.streams) stream.write(chunk);
        await sleep(roundIntervalMs);
    }
    while (received < expected) await sleep(pollIntervalMs);
    return (readCpuUs() - startedAt) / (streamCount * roundCount);
}

async function measureChunkCpuUs(relay: Relay, tokens: number): Promise<number> {
    const differences: number[] = [];
    for (let repeat = 0; repeat <= repeats; repeat++) {
        const direct = await measureStreamsCpuUs(relay, relay.ports.direct, tokens);
        const relayed = await measureStreamsCpuUs(relay, relay.ports.relayed, tokens);
        // The first run is the warm-up.
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

/** Elapsed time of a request without concurrent load. */
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

/** Upper bound of the cost of a poll, because it includes the cost of the target's response. */
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
        for (const tokens of tokensPerChunk)
            points.push({ size: tokens, value: await measureChunkCpuUs(relay, tokens) });
        const line = fitLine(points);
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
