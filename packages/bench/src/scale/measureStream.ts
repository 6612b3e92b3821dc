/** Cost of exchanging messages over one gRPC stream between two routers, idle and batched. */
import { createPeerTransport } from "@rhubarbwheel/peer-protocol/createPeerTransport";
import type { ListeningPeerTransport } from "@rhubarbwheel/peer-protocol/createPeerTransport";
import type { PeerMessage, ProbeAckMessage } from "@rhubarbwheel/types/peer-messages";
import { setTimeout as sleep } from "node:timers/promises";
import { createMember, getRouterName } from "./createRouterHarness.js";
import { computeMedian, fitLine } from "./fitLine.js";
import type { Point } from "./fitLine.js";
import { readCpuUs } from "./measureCpu.js";

const batchSizes = [1, 8, 64];
const exchangeCount = 50;
/** Pairs of routers that exchange messages in the same iteration of the event loop, which wakes up once for all. */
const pairCount = 10;
const warmUpExchanges = 120;
/** Longer than the time for which messages to one peer are batched. */
const exchangeIntervalMs = 8;
const repeats = 3;
const digest = { revision: 12_000, confirmedAgeMs: 312.5, storeUnreachable: false, storeCheckedAgeMs: 280.25 };

async function startRouter(index: number, onMessage: (message: PeerMessage) => void) {
    const transport = createPeerTransport({
        identity: createMember(index),
        fleetSecret: "fleet-secret-of-the-benchmark",
        onMessage: (_from, message) => onMessage(message),
        onUnreachable: router => console.error(`${router} is unreachable`),
        onForwardedCall: () => Promise.reject(new Error("the benchmark forwards no calls")),
    });
    const { port } = await transport.listen("127.0.0.1:0");
    return { transport, address: `127.0.0.1:${port}` };
}

interface Pair {
    /** Sends the messages together and resolves with the time until all are acknowledged, in milliseconds. */
    readonly exchange: (messageCount: number) => Promise<number>;
    readonly transports: readonly ListeningPeerTransport[];
}

async function startPair(): Promise<Pair> {
    let pendingReplies = 0;
    let onAllReplied = () => undefined as void;
    const first = await startRouter(0, () => {
        pendingReplies -= 1;
        if (pendingReplies === 0) onAllReplied();
    });
    const second = await startRouter(1, message => {
        if (message.type !== "probe") return;
        const { sequence } = message;
        const ack: ProbeAckMessage = { type: "probeAck", sequence, router: getRouterName(1), updates: [], digest };
        second.transport.send(getRouterName(0), first.address, ack);
    });
    let sequence = 0;
    const exchange = (messageCount: number) =>
        new Promise<number>(resolve => {
            const sentAt = performance.now();
            pendingReplies = messageCount;
            onAllReplied = () => resolve(performance.now() - sentAt);
            for (let index = 0; index < messageCount; index++) {
                const probe = { type: "probe" as const, sequence: ++sequence, updates: [], digest };
                first.transport.send(getRouterName(1), second.address, probe);
            }
        });
    return { exchange, transports: [first.transport, second.transport] };
}

async function measureExchangesCpuUs(run: () => Promise<unknown>): Promise<number> {
    const startedAt = readCpuUs();
    for (let count = 0; count < exchangeCount; count++) {
        await run();
        await sleep(exchangeIntervalMs);
    }
    return (readCpuUs() - startedAt) / exchangeCount;
}

async function measureMedianCpuUs(timerOverheadUs: number, run: () => Promise<unknown>): Promise<number> {
    const costs: number[] = [];
    for (let repeat = 0; repeat < repeats; repeat++) costs.push(await measureExchangesCpuUs(run) - timerOverheadUs);
    return computeMedian(costs);
}

async function measurePairs(pairs: readonly Pair[]): Promise<Readonly<Record<string, number>>> {
    const runAll = () => Promise.all(pairs.map(pair => pair.exchange(1)));
    for (let count = 0; count < warmUpExchanges; count++) await runAll();
    const timerOverheadUs = await measureExchangesCpuUs(() => Promise.resolve());
    const latencies: number[] = [];
    const points: Point[] = [];
    for (const size of batchSizes) {
        const runOne = async () => {
            const latency = await pairs[0]!.exchange(size);
            if (size === 1) latencies.push(latency);
        };
        points.push({ size, value: await measureMedianCpuUs(timerOverheadUs, runOne) });
    }
    const line = fitLine(points);
    const busyUs = await measureMedianCpuUs(timerOverheadUs, runAll);
    // Both routers run in this process, and each sends and receives one batch.
    return {
        streamIdleExchangeCpuUsPerRouter: points[0]!.value / 2,
        streamBusyExchangeCpuUsPerRouter: busyUs / pairs.length / 2,
        streamMessageInBatchCpuUsPerRouter: line.slope / 2,
        streamExchangeMs: computeMedian(latencies),
    };
}

export async function measureStream(): Promise<Readonly<Record<string, number>>> {
    const pairs = await Promise.all(Array.from({ length: pairCount }, startPair));
    try {
        return await measurePairs(pairs);
    }
    finally {
        await Promise.all(pairs.flatMap(pair => pair.transports).map(transport => transport.close()));
    }
}
