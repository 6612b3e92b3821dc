/** Closed-loop load: keeps a fixed number of chat completions of a workspace open at one router. */
import { createRandom } from "@rhubarbwheel/reducer/createRandom";
import type { Caller, CallerResult } from "./createCaller.js";
import { getWorkspaceToken, modelName } from "./fleetPlan.js";

export interface ClosedLoop {
    readonly workspace: string;
    readonly router: string;
    readonly concurrency: number;
    readonly seed: number;
    /** Minimum and maximum number of output tokens. */
    readonly outputTokens: readonly [number, number];
    readonly promptCharacters: number;
}

export interface LoopCallbacks {
    readonly isRunning: () => boolean;
    readonly onResult: (workspace: string, result: CallerResult) => void;
    /** Called for each output token; the cost of the first one includes the input cost. */
    readonly onService: (workspace: string, cost: number) => void;
}

const failureDelayMs = 500;
const charactersPerToken = 4;
const costPerOutputToken = 2;
let nextRequestId = 1;

export async function runClosedLoop(caller: Caller, loop: ClosedLoop, callbacks: LoopCallbacks): Promise<void> {
    const random = createRandom(loop.seed);
    const [minOutputTokens, maxOutputTokens] = loop.outputTokens;
    const inputCost = Math.ceil(loop.promptCharacters / charactersPerToken);
    const runWorker = async () => {
        while (callbacks.isRunning()) {
            const maxTokens = Math.floor(minOutputTokens + random() * (maxOutputTokens - minOutputTokens + 1));
            const result = await caller.sendChat({
                router: loop.router,
                token: getWorkspaceToken(loop.workspace),
                model: modelName,
                user: `${loop.workspace}/${nextRequestId++}`,
                prompt: "proof ".repeat(Math.ceil(loop.promptCharacters / 6)).slice(0, loop.promptCharacters),
                maxTokens,
                onToken: index =>
                    callbacks.onService(
                        loop.workspace,
                        index === 0 ? inputCost + costPerOutputToken : costPerOutputToken,
                    ),
            });
            callbacks.onResult(loop.workspace, result);
            if (result.outcome !== "complete") await new Promise(resolve => setTimeout(resolve, failureDelayMs));
        }
    };
    await Promise.all(Array.from({ length: loop.concurrency }, runWorker));
}
