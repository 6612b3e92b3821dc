/** The demo: a fleet of separate processes under mixed load from several workspaces, with every response checked. */
import { createCaller } from "./createCaller.js";
import type { Caller, CallerResult } from "./createCaller.js";
import type { FleetPlan } from "./fleetPlan.js";
import { getWorkspaceToken, modelName } from "./fleetPlan.js";
import type { Fleet } from "./startFleet.js";
import { readJson, startFleet } from "./startFleet.js";

const plan: FleetPlan = {
    failureDomains: ["khomas-a", "khomas-b"],
    routerDomains: ["khomas-a", "khomas-a", "khomas-b", "khomas-b"],
    services: [
        {
            name: "assistant",
            kind: "model",
            failureDomains: ["khomas-a", "khomas-a", "khomas-b", "khomas-b"],
            targetLimit: 8,
            coldLimit: 2,
            flags: ["--tokenBaseMs=10", "--warmAfterCompleted=20"],
        },
        {
            name: "order-desk",
            kind: "plain",
            failureDomains: ["khomas-a", "khomas-b"],
            targetLimit: 8,
            coldLimit: 4,
            flags: ["--executeMs=20"],
        },
    ],
    workspaces: [
        { name: "pressing-windhoek", share: 2 },
        { name: "pressing-lisbon", share: 1 },
        { name: "quotes", share: 1 },
        { name: "small-shop", share: 1 },
    ],
};

const requestsPerWorkspace = 60;
const concurrencyPerWorkspace = 12;
// One request in this many is an order.
const orderInterval = 3;
const promptCharacters = 400;
const maxTokens = 24;

interface WorkspaceRow {
    readonly workspace: string;
    requests: number;
    complete: number;
    notRun: number;
    unknown: number;
    crossed: number;
    outputTokens: number;
    totalMs: number;
}

async function runWorkspace(fleet: Fleet, caller: Caller, workspace: string): Promise<WorkspaceRow> {
    const row = {
        workspace,
        requests: 0,
        complete: 0,
        notRun: 0,
        unknown: 0,
        crossed: 0,
        outputTokens: 0,
        totalMs: 0,
    };
    let next = 0;
    const runWorker = async () => {
        for (let index = next++; index < requestsPerWorkspace; index = next++)
            addResult(row, await sendRequest(fleet, caller, workspace, index));
    };
    await Promise.all(Array.from({ length: concurrencyPerWorkspace }, runWorker));
    return row;
}

function sendRequest(fleet: Fleet, caller: Caller, workspace: string, index: number): Promise<CallerResult> {
    const router = fleet.routers[index % fleet.routers.length]!.url;
    const token = getWorkspaceToken(workspace);
    if (index % orderInterval === 0)
        return caller.sendOrder({ router, token, service: "order-desk", orderId: `${workspace}-${index}` });
    const user = `${workspace}/${index}`;
    const prompt = `${workspace} `.padEnd(promptCharacters, "proof ");
    return caller.sendChat({ router, token, model: modelName, user, prompt, maxTokens });
}

function addResult(row: WorkspaceRow, result: CallerResult) {
    row.requests += 1;
    row[result.outcome] += 1;
    row.crossed += result.crossed ? 1 : 0;
    row.outputTokens += result.outputTokens;
    row.totalMs += result.totalMs;
}

async function countDuplicates(fleet: Fleet): Promise<number> {
    const orderTargets = fleet.targets.filter(target => target.service === "order-desk");
    const counts = new Map<string, number>();
    for (const target of orderTargets) {
        const executions = await readJson<Record<string, number>>(`${target.url}/control/executions`);
        for (const [order, count] of Object.entries(executions))
            counts.set(order, (counts.get(order) ?? 0) + count);
    }
    return [...counts.values()].reduce((sum, count) => sum + count - 1, 0);
}

function printTable(rows: readonly WorkspaceRow[]) {
    console.log("workspace          share requests complete notRun unknown  tokens  mean ms");
    for (const row of rows) {
        const share = plan.workspaces.find(entry => entry.name === row.workspace)?.share ?? 0;
        const cells = [row.requests, row.complete, row.notRun, row.unknown, row.outputTokens].map(cell =>
            String(cell).padStart(8)
        );
        const meanMs = (row.totalMs / Math.max(1, row.requests)).toFixed(0).padStart(8);
        console.log(`${row.workspace.padEnd(18)} ${String(share).padStart(5)}${cells.join("")} ${meanMs}`);
    }
}

async function runDemo(): Promise<boolean> {
    const fleet = await startFleet(plan);
    const caller = createCaller();
    try {
        const rows = await Promise.all(plan.workspaces.map(entry => runWorkspace(fleet, caller, entry.name)));
        const duplicates = await countDuplicates(fleet);
        printTable(rows);
        const computeSum = (key: "requests" | "complete" | "notRun" | "unknown" | "crossed") =>
            rows.reduce((total, row) => total + row[key], 0);
        const passed = computeSum("unknown") === 0 && computeSum("crossed") === 0 && duplicates === 0
            && computeSum("complete") + computeSum("notRun") === computeSum("requests") && computeSum("complete") > 0;
        await caller.close();
        await fleet.stop();
        console.log(JSON.stringify({
            demo: passed ? "ok" : "failed",
            routers: plan.routerDomains.length,
            requests: computeSum("requests"),
            complete: computeSum("complete"),
            notRun: computeSum("notRun"),
            unknown: computeSum("unknown"),
            crossed: computeSum("crossed"),
            duplicates,
        }));
        return passed;
    }
    catch (error) {
        await fleet.stop();
        throw error;
    }
}

process.exitCode = await runDemo() ? 0 : 1;
