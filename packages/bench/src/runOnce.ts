/** Benchmark `once`: orders and their retries while routers are killed, paused and partitioned and the store fails. */
import { createRandom } from "@rhubarbwheel/reducer/createRandom";
import { setTimeout as sleep } from "node:timers/promises";
import { createCaller } from "./createCaller.js";
import type { Caller, CallerResult } from "./createCaller.js";
import type { FleetPlan } from "./fleetPlan.js";
import { assignDomains, getWorkspaceToken } from "./fleetPlan.js";
import { readJson, sendControl, startFleet } from "./startFleet.js";
import type { Fleet } from "./startFleet.js";

const domains = ["pnw-a", "pnw-b", "pnw-c"] as const;
const routerCount = 9;
const loadMs = 30_000;
const callerCount = 40;
const maxAttempts = 5;
const retryDelayMs = 150;
const shortTimeoutMs = 40;
const longTimeoutMs = 8_000;
const seed = 7;

const plan: FleetPlan = {
    failureDomains: domains,
    routerDomains: assignDomains(domains, routerCount),
    services: [{
        name: "booking",
        kind: "plain",
        failureDomains: domains,
        targetLimit: 16,
        coldLimit: 8,
        flags: ["--executeMs=30", "--warmAfterCompleted=20"],
        queueTimeoutMs: 5_000,
    }],
    workspaces: [{ name: "branch-0", share: 1 }, { name: "branch-1", share: 2 }],
    proxiesPeers: true,
};

interface OrderRecord {
    readonly orderId: string;
    readonly results: CallerResult[];
}

type Random = () => number;

const chooseRandom = <T>(items: readonly T[], random: Random): T => items[Math.floor(random() * items.length)]!;

/** Sends an order until it is complete, with the same key for each attempt and each time through a random router. */
async function submitOrder(fleet: Fleet, caller: Caller, orderId: string, random: Random): Promise<OrderRecord> {
    const workspace = chooseRandom(plan.workspaces, random).name;
    const token = getWorkspaceToken(workspace);
    const record: OrderRecord = { orderId, results: [] };
    const usesCallerKey = random() < 0.4;
    const key = usesCallerKey
        ? `chosen-${orderId}`
        : await caller.mintKey(chooseRandom(fleet.routers, random).url, token);
    if (key === undefined) return record;
    for (let attempt = 0; attempt < maxAttempts; attempt++) {
        const result = await caller.sendOrder({
            router: chooseRandom(fleet.routers, random).url,
            token,
            service: "booking",
            orderId,
            key,
            timeoutMs: random() < 0.2 ? shortTimeoutMs : longTimeoutMs,
        });
        record.results.push(result);
        if (result.outcome === "complete") break;
        await sleep(retryDelayMs * (attempt + 1) * random());
    }
    return record;
}

async function submitOrders(fleet: Fleet, caller: Caller, endAt: number): Promise<readonly OrderRecord[]> {
    const records: OrderRecord[] = [];
    const runCaller = async (_: unknown, index: number) => {
        const random = createRandom(seed * 1000 + index);
        for (let order = 0; Date.now() < endAt; order++)
            records.push(await submitOrder(fleet, caller, `order-${index}-${order}`, random));
    };
    await Promise.all(Array.from({ length: callerCount }, runCaller));
    return records;
}

interface FaultCounts {
    kills: number;
    freezes: number;
    cuts: number;
    storeFaults: number;
    targetFaults: number;
}

async function killRouter(fleet: Fleet, index: number) {
    const router = fleet.routers[index]!;
    router.process.sendSignal("SIGKILL");
    await router.process.exited;
    await sleep(1_000);
    await router.restart();
}

async function pauseRouter(fleet: Fleet, index: number, ms: number) {
    const { process } = fleet.routers[index]!;
    process.sendSignal("SIGSTOP");
    await sleep(ms);
    process.sendSignal("SIGCONT");
}

async function partitionRouters(fleet: Fleet, ms: number) {
    fleet.partitionRouters();
    await sleep(ms);
    fleet.endPartition();
}

async function injectStoreFault(fleet: Fleet, random: Random) {
    const fault = chooseRandom([{ down: true }, { delayMs: 800 }, { loseAnswers: 0.5 }], random);
    await sendControl(`${fleet.platformUrl}/control/faults`, fault);
    await sleep(1_500);
    await sendControl(`${fleet.platformUrl}/control/faults`, { down: false, delayMs: 0, loseAnswers: 0 });
}

async function injectTargetFault(fleet: Fleet, random: Random) {
    const fault = chooseRandom(["dropAnswer", "closeBeforeReading", "status500", "garbage", "shortBody"], random);
    await sendControl(`${chooseRandom(fleet.targets, random).url}/control/faults`, { [fault]: 2 });
}

/** Kills at most one router and pauses at most one other at a time, with concurrent partitions and other faults. */
async function runFaults(fleet: Fleet, endAt: number): Promise<FaultCounts> {
    const random = createRandom(seed);
    const counts: FaultCounts = { kills: 0, freezes: 0, cuts: 0, storeFaults: 0, targetFaults: 0 };
    const injectFaultRepeatedly = async (key: keyof FaultCounts, delayMs: number, injectFault: () => Promise<void>) => {
        while (Date.now() < endAt - 4_000) {
            await sleep(delayMs);
            counts[key] += 1;
            await injectFault();
        }
    };
    // Routers below this index are killed, the others are paused.
    const firstPausedIndex = Math.floor(routerCount / 2);
    await Promise.all([
        injectFaultRepeatedly("kills", 1_500, () => killRouter(fleet, Math.floor(random() * firstPausedIndex))),
        injectFaultRepeatedly(
            "freezes",
            1_200,
            () =>
                pauseRouter(
                    fleet,
                    firstPausedIndex + Math.floor(random() * (routerCount - firstPausedIndex)),
                    500 + random() * 3_000,
                ),
        ),
        injectFaultRepeatedly("cuts", 4_000, () => partitionRouters(fleet, 500 + random() * 1_500)),
        injectFaultRepeatedly("storeFaults", 2_000, () => injectStoreFault(fleet, random)),
        injectFaultRepeatedly("targetFaults", 700, () => injectTargetFault(fleet, random)),
    ]);
    return counts;
}

async function readExecutions(fleet: Fleet): Promise<ReadonlyMap<string, number>> {
    const executions = new Map<string, number>();
    for (const target of fleet.targets) {
        const counts = await readJson<Record<string, number>>(`${target.url}/control/executions`);
        for (const [order, count] of Object.entries(counts))
            executions.set(order, (executions.get(order) ?? 0) + count);
    }
    return executions;
}

export async function runOnce(): Promise<object> {
    const fleet = await startFleet(plan);
    const caller = createCaller();
    try {
        const endAt = Date.now() + loadMs;
        const [records, faults] = await Promise.all([
            submitOrders(fleet, caller, endAt),
            runFaults(fleet, endAt),
        ]);
        const executions = await readExecutions(fleet);
        const sentRecords = records.filter(record => record.results.length > 0);
        const countExecutions = (record: OrderRecord) => executions.get(record.orderId) ?? 0;
        const isComplete = (record: OrderRecord) => record.results.some(result => result.outcome === "complete");
        const isNotRun = (record: OrderRecord) => record.results.every(result => result.outcome === "notRun");
        return {
            orders: sentRecords.length,
            attempts: sentRecords.reduce((sum, record) => sum + record.results.length, 0),
            duplicates: sentRecords.filter(record => countExecutions(record) > 1).length,
            falseNotRun: sentRecords.filter(record => isNotRun(record) && countExecutions(record) > 0).length,
            falseComplete: sentRecords.filter(record => isComplete(record) && countExecutions(record) === 0).length,
            crossed: sentRecords.filter(record => record.results.some(result => result.crossed)).length,
            complete: sentRecords.filter(isComplete).length,
            notRun: sentRecords.filter(isNotRun).length,
            unknown: sentRecords.filter(record => !isComplete(record) && !isNotRun(record)).length,
            ...faults,
        };
    }
    finally {
        await caller.close();
        await fleet.stop();
    }
}
