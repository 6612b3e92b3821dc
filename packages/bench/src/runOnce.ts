/** Benchmark `once`: orders and their retries while routers are killed, frozen and cut off and the store fails. */
import { createRandom } from "@rhubarbwheel/reducer/createRandom";
import { setTimeout as sleep } from "node:timers/promises";
import { createCaller } from "./createCaller.js";
import type { Caller, CallerResult } from "./createCaller.js";
import type { FleetPlan } from "./fleetPlan.js";
import { chooseDomains, getWorkspaceToken } from "./fleetPlan.js";
import { putControl, readJson, startFleet } from "./startFleet.js";
import type { Fleet } from "./startFleet.js";

const domains = ["pnw-a", "pnw-b", "pnw-c"] as const;
const routerCount = 9;
const loadMs = 30_000;
const callers = 40;
const maxTries = 5;
const retryDelayMs = 150;
const shortPatienceMs = 40;
const longPatienceMs = 8_000;
const seed = 7;

const plan: FleetPlan = {
    failureDomains: domains,
    routerDomains: chooseDomains(domains, routerCount),
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
    forwardsPeers: true,
};

interface OrderRecord {
    readonly orderId: string;
    readonly results: CallerResult[];
}

type Random = () => number;

const pick = <T>(items: readonly T[], random: Random): T => items[Math.floor(random() * items.length)]!;

/** Sends one order until it is complete, always under the same key, each time through another router. */
async function placeOrder(fleet: Fleet, caller: Caller, orderId: string, random: Random): Promise<OrderRecord> {
    const workspace = pick(plan.workspaces, random).name;
    const token = getWorkspaceToken(workspace);
    const record: OrderRecord = { orderId, results: [] };
    const isChosen = random() < 0.4;
    const key = isChosen ? `chosen-${orderId}` : await caller.mintKey(pick(fleet.routers, random).url, token);
    if (key === undefined) return record;
    for (let attempt = 0; attempt < maxTries; attempt++) {
        const result = await caller.sendOrder({
            router: pick(fleet.routers, random).url,
            token,
            service: "booking",
            orderId,
            key,
            patienceMs: random() < 0.2 ? shortPatienceMs : longPatienceMs,
        });
        record.results.push(result);
        if (result.outcome === "complete") break;
        await sleep(retryDelayMs * (attempt + 1) * random());
    }
    return record;
}

async function placeOrders(fleet: Fleet, caller: Caller, untilMs: number): Promise<readonly OrderRecord[]> {
    const records: OrderRecord[] = [];
    const work = async (_: unknown, index: number) => {
        const random = createRandom(seed * 1000 + index);
        for (let order = 0; Date.now() < untilMs; order++)
            records.push(await placeOrder(fleet, caller, `order-${index}-${order}`, random));
    };
    await Promise.all(Array.from({ length: callers }, work));
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
    router.process.signal("SIGKILL");
    await router.process.exited;
    await sleep(1_000);
    await router.restart();
}

async function freezeRouter(fleet: Fleet, index: number, ms: number) {
    const { process } = fleet.routers[index]!;
    process.signal("SIGSTOP");
    await sleep(ms);
    process.signal("SIGCONT");
}

/** Cuts each router off from all others. */
async function cutPeers(fleet: Fleet, ms: number) {
    fleet.cutPeers();
    await sleep(ms);
    fleet.healPeers();
}

async function failStore(fleet: Fleet, random: Random) {
    const fault = pick([{ down: true }, { delayMs: 800 }, { loseAnswers: 0.5 }], random);
    await putControl(`${fleet.platformUrl}/control/faults`, fault);
    await sleep(1_500);
    await putControl(`${fleet.platformUrl}/control/faults`, { down: false, delayMs: 0, loseAnswers: 0 });
}

async function failTarget(fleet: Fleet, random: Random) {
    const fault = pick(["dropAnswer", "closeBeforeReading", "status500", "garbage", "shortBody"], random);
    await putControl(`${pick(fleet.targets, random).url}/control/faults`, { [fault]: 2 });
}

/** One router is killed and another frozen at a time, with store and target faults in between and on top. */
async function runFaults(fleet: Fleet, untilMs: number): Promise<FaultCounts> {
    const random = createRandom(seed);
    const counts: FaultCounts = { kills: 0, freezes: 0, cuts: 0, storeFaults: 0, targetFaults: 0 };
    const repeat = async (key: keyof FaultCounts, pauseMs: number, fault: () => Promise<void>) => {
        while (Date.now() < untilMs - 4_000) {
            await sleep(pauseMs);
            counts[key] += 1;
            await fault();
        }
    };
    const half = Math.floor(routerCount / 2);
    await Promise.all([
        repeat("kills", 1_500, () => killRouter(fleet, Math.floor(random() * half))),
        repeat(
            "freezes",
            1_200,
            () => freezeRouter(fleet, half + Math.floor(random() * (routerCount - half)), 500 + random() * 3_000),
        ),
        repeat("cuts", 4_000, () => cutPeers(fleet, 500 + random() * 1_500)),
        repeat("storeFaults", 2_000, () => failStore(fleet, random)),
        repeat("targetFaults", 700, () => failTarget(fleet, random)),
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
        const untilMs = Date.now() + loadMs;
        const [records, faults] = await Promise.all([
            placeOrders(fleet, caller, untilMs),
            runFaults(fleet, untilMs),
        ]);
        const executions = await readExecutions(fleet);
        const sent = records.filter(record => record.results.length > 0);
        const executed = (record: OrderRecord) => executions.get(record.orderId) ?? 0;
        const isComplete = (record: OrderRecord) => record.results.some(result => result.outcome === "complete");
        const isNotRun = (record: OrderRecord) => record.results.every(result => result.outcome === "notRun");
        return {
            orders: sent.length,
            attempts: sent.reduce((sum, record) => sum + record.results.length, 0),
            duplicates: sent.filter(record => executed(record) > 1).length,
            falseNotRun: sent.filter(record => isNotRun(record) && executed(record) > 0).length,
            falseComplete: sent.filter(record => isComplete(record) && executed(record) === 0).length,
            crossed: sent.filter(record => record.results.some(result => result.crossed)).length,
            complete: sent.filter(isComplete).length,
            notRun: sent.filter(isNotRun).length,
            unknown: sent.filter(record => !isComplete(record) && !isNotRun(record)).length,
            ...faults,
        };
    }
    finally {
        await caller.close();
        await fleet.stop();
    }
}
