/** Cost of messages there and back over one gRPC stream between two routers, idle and batched. */
import { createPeerTransport } from "@rhubarbwheel/peer-protocol/createPeerTransport";
import type { ListeningPeerTransport } from "@rhubarbwheel/peer-protocol/createPeerTransport";
import type { PeerMessage, ProbeAckMessage } from "@rhubarbwheel/types/peer-messages";
import { setTimeout as wait } from "node:timers/promises";
import { computeLine, computeMedian } from "./computeLine.js";
import type { Point } from "./computeLine.js";
import { buildMember, nameRouter } from "./createRouterHarness.js";
import { readCpuUs } from "./measureCpu.js";

const batchSizes = [1, 8, 64];
const exchangeCount = 50;
/** Pairs of routers that exchange messages in the same turn, so that the event loop wakes once for all of them. */
const pairCount = 10;
const warmUpExchanges = 120;
/** Longer than the time for which messages to one peer are collected. */
const gapMs = 8;
const repeats = 3;
const digest = { revision: 12_000, confirmedAgeMs: 312.5, storeUnreachable: false, storeCheckedAgeMs: 280.25 };

async function startRouter(index: number, onMessage: (message: PeerMessage) => void) {
    const transport = createPeerTransport({
        identity: buildMember(index),
        fleetSecret: "fleet-secret-of-the-benchmark",
        onMessage: (_from, message) => onMessage(message),
        onUnreachable: router => console.error(`${router} is unreachable`),
        onForwardedCall: () => Promise.reject(new Error("The benchmark forwards no calls.")),
    });
    const { port } = await transport.listen("127.0.0.1:0");
    return { transport, address: `127.0.0.1:${port}` };
}

interface Pair {
    /** Sends the messages together and resolves with the time until all are answered, in milliseconds. */
    readonly exchange: (messages: number) => Promise<number>;
    readonly transports: readonly ListeningPeerTransport[];
}

async function startPair(): Promise<Pair> {
    let missing = 0;
    let onAnswered = () => undefined as void;
    const first = await startRouter(0, () => {
        missing -= 1;
        if (missing === 0) onAnswered();
    });
    const second = await startRouter(1, message => {
        if (message.type !== "probe") return;
        const { sequence } = message;
        const answer: ProbeAckMessage = { type: "probeAck", sequence, router: nameRouter(1), updates: [], digest };
        second.transport.send(nameRouter(0), first.address, answer);
    });
    let sequence = 0;
    const exchange = (messages: number) =>
        new Promise<number>(resolve => {
            const sentAt = performance.now();
            missing = messages;
            onAnswered = () => resolve(performance.now() - sentAt);
            for (let index = 0; index < messages; index++) {
                const probe = { type: "probe" as const, sequence: ++sequence, updates: [], digest };
                first.transport.send(nameRouter(1), second.address, probe);
            }
        });
    return { exchange, transports: [first.transport, second.transport] };
}

async function measureExchanges(run: () => Promise<unknown>): Promise<number> {
    const startedAt = readCpuUs();
    for (let count = 0; count < exchangeCount; count++) {
        await run();
        await wait(gapMs);
    }
    return (readCpuUs() - startedAt) / exchangeCount;
}

async function measureRepeatedly(timersUs: number, run: () => Promise<unknown>): Promise<number> {
    const costs: number[] = [];
    for (let repeat = 0; repeat < repeats; repeat++) costs.push(await measureExchanges(run) - timersUs);
    return computeMedian(costs);
}

async function measurePairs(pairs: readonly Pair[]): Promise<Readonly<Record<string, number>>> {
    const runAll = () => Promise.all(pairs.map(pair => pair.exchange(1)));
    for (let count = 0; count < warmUpExchanges; count++) await runAll();
    const timersUs = await measureExchanges(() => Promise.resolve());
    const latencies: number[] = [];
    const points: Point[] = [];
    for (const size of batchSizes) {
        const runOne = async () => {
            const latency = await pairs[0]!.exchange(size);
            if (size === 1) latencies.push(latency);
        };
        points.push({ size, value: await measureRepeatedly(timersUs, runOne) });
    }
    const line = computeLine(points);
    const busyUs = await measureRepeatedly(timersUs, runAll);
    // Both routers run in this process; each of them sends one batch and receives one.
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
