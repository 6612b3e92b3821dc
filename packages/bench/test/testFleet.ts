/** A small fleet of separate processes for tests, and the command line tool as a process. */
import type { RouterStatus } from "@rhubarbwheel/cli/routerStatus";
import { spawn } from "node:child_process";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { createCaller } from "../src/createCaller.js";
import type { CallerResult } from "../src/createCaller.js";
import type { FleetPlan } from "../src/fleetPlan.js";
import { getWorkspaceToken, modelName, operatorToken } from "../src/fleetPlan.js";
import { readTargetStats } from "../src/sampleTargets.js";
import { readJson, startFleet } from "../src/startFleet.js";

const domains = ["khomas-a", "khomas-b", "khomas-c"];

const plan: FleetPlan = {
    failureDomains: domains,
    routerDomains: domains,
    services: [
        {
            name: "assistant",
            kind: "model",
            failureDomains: ["khomas-a", "khomas-b"],
            targetLimit: 8,
            coldLimit: 2,
            flags: ["--tokenBaseMs=20", "--tokenSlopeMs=0", "--warmAfterCompleted=4"],
        },
        {
            name: "order-desk",
            kind: "plain",
            failureDomains: ["khomas-a", "khomas-b"],
            targetLimit: 4,
            coldLimit: 2,
            flags: ["--executeMs=300", "--warmAfterCompleted=4"],
        },
    ],
    workspaces: [{ name: "proofs", share: 2 }, { name: "quotes", share: 1 }],
};

// Long enough that a loaded machine does not fail a test.
const conditionTimeoutMs = 20_000;
const pollIntervalMs = 50;
const loopsPerRouter = 3;

export interface Load {
    readonly results: readonly CallerResult[];
}

export async function waitFor(condition: string, isMet: () => Promise<boolean> | boolean): Promise<void> {
    const deadlineAt = Date.now() + conditionTimeoutMs;
    while (!await isMet()) {
        if (Date.now() > deadlineAt) throw new Error(`condition not met before the timeout: ${condition}`);
        await sleep(pollIntervalMs);
    }
}

export interface ToolRun {
    readonly code: number | undefined;
    readonly output: string;
    readonly errors: string;
}

export interface StartedTool {
    readonly readOutput: () => string;
    readonly interrupt: () => void;
    readonly ended: Promise<ToolRun>;
}

const toolPath = fileURLToPath(new URL("../../../cli/bin/rhubarbwheel.mjs", import.meta.url));

/** Starts the command line tool as a process. */
export function startTool(routers: readonly string[], argv: string, input = ""): StartedTool {
    const child = spawn(process.execPath, [toolPath, ...argv.split(" ")], {
        env: {
            ...process.env,
            RHUBARBWHEEL_ROUTER: routers.join(","),
            RHUBARBWHEEL_OPERATOR_TOKEN: operatorToken,
        },
    });
    let [output, errors] = ["", ""];
    child.stdout.on("data", (chunk: Buffer) => (output += chunk.toString()));
    child.stderr.on("data", (chunk: Buffer) => (errors += chunk.toString()));
    child.stdin.end(input);
    const ended = new Promise<ToolRun>(resolve =>
        child.once("close", code => resolve({ code: code ?? undefined, output, errors }))
    );
    return { readOutput: () => output, interrupt: () => void child.kill("SIGINT"), ended };
}

export async function startTestFleet() {
    const fleet = await startFleet(plan);
    const caller = createCaller();
    const getRouter = (index: number) => fleet.routers[index]!;
    const readStatus = (index: number) => readJson<RouterStatus>(`${getRouter(index).url}/api/v1/status`);
    let calls = 0;

    const sendChat = (index: number, opts: { maxTokens?: number; timeoutMs?: number; onToken?: () => void; } = {}) =>
        caller.sendChat({
            router: getRouter(index).url,
            token: getWorkspaceToken("proofs"),
            model: modelName,
            user: `proofs/${calls++}`,
            prompt: "a short colour check",
            maxTokens: 5,
            ...opts,
        });
    const sendOrder = (index: number, opts: { orderId?: string; key?: string; timeoutMs?: number; } = {}) =>
        caller.sendOrder({
            router: getRouter(index).url,
            token: getWorkspaceToken("quotes"),
            service: "order-desk",
            orderId: `order-${calls++}`,
            ...opts,
        });

    const countExecutions = async (): Promise<Readonly<Record<string, number>>> => {
        const sums: Record<string, number> = {};
        for (const target of fleet.targets.filter(({ service }) => service === "order-desk")) {
            const executions = await readJson<Record<string, number>>(`${target.url}/control/executions`);
            for (const [order, count] of Object.entries(executions)) sums[order] = (sums[order] ?? 0) + count;
        }
        return sums;
    };

    /** Sends chats and orders through the given routers while `action` runs, then stops and returns the results. */
    const runWithLoad = async (routers: readonly number[], action: (load: Load) => Promise<unknown>) => {
        const results: CallerResult[] = [];
        let isRunning = true;
        const recordResult = async (result: CallerResult) => {
            results.push(result);
            // A stopped router refuses connections immediately; without a delay, this loop would starve the others.
            if (result.outcome !== "complete") await sleep(pollIntervalMs);
        };
        const runLoop = async (index: number) => {
            while (isRunning) {
                await recordResult(await sendChat(index));
                await recordResult(await sendOrder(index));
            }
        };
        const loops = routers.flatMap(index => Array.from({ length: loopsPerRouter }, () => runLoop(index)));
        try {
            await action({ results });
        }
        finally {
            isRunning = false;
            await Promise.all(loops);
        }
        return results;
    };

    const waitForCompleted = (load: Load, count: number) => {
        const from = load.results.length;
        return waitFor(
            `${count} more calls complete`,
            () => load.results.slice(from).filter(({ outcome }) => outcome === "complete").length >= count,
        );
    };

    return {
        ...fleet,
        plan,
        caller,
        getRouter,
        readStatus,
        readStats: (failureDomain: string) =>
            readTargetStats(fleet.targets.filter(target => target.failureDomain === failureDomain)),
        sendChat,
        sendOrder,
        countExecutions,
        mintKey: (index: number) => caller.mintKey(getRouter(index).url, getWorkspaceToken("quotes")),
        runWithLoad,
        waitForCompleted,
        stop: async () => {
            await caller.close();
            await fleet.stop();
        },
    };
}

export type TestFleet = Awaited<ReturnType<typeof startTestFleet>>;
