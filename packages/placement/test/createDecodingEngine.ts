/** An engine on a fake clock that prefills prompts in chunks and generates a token of each response in every step. */
import type { PlacementRequest } from "@rhubarbwheel/types/placement";

export interface RunningResponse {
    readonly request: PlacementRequest;
    readonly deadlineAt: number;
    /** Tokens of the complete response. */
    readonly tokens: number;
    readonly assignedAt: number;
    promptTokensLeft: number;
    generatedTokens: number;
}

export interface DecodingEngineOptions {
    readonly onStarted: (response: RunningResponse, at: number) => void;
    readonly onEnded: (response: RunningResponse, isComplete: boolean, at: number) => void;
}

/** Step of an engine: constant, for each response, and for each prompt token. */
const baseStepMs = 2.6;
const stepMsPerResponse = 0.12;
const prefillTokensPerMs = 48;
const chunkTokens = 1_024;

export const tokensPerEvent = 10;

export function createDecodingEngine(opts: DecodingEngineOptions) {
    const responses = new Set<RunningResponse>();
    let engineTime = 0;

    const runStep = (): void => {
        let budget = chunkTokens;
        const generating: RunningResponse[] = [];
        for (const response of responses) {
            if (response.promptTokensLeft === 0) generating.push(response);
            const tokens = Math.min(budget, response.promptTokensLeft);
            response.promptTokensLeft -= tokens;
            budget -= tokens;
        }
        engineTime += baseStepMs + stepMsPerResponse * generating.length + (chunkTokens - budget) / prefillTokensPerMs;
        for (const response of generating) {
            response.generatedTokens += 1;
            if (response.generatedTokens === 1) opts.onStarted(response, engineTime);
        }
        for (const response of responses) {
            const isComplete = response.generatedTokens >= response.tokens;
            if (!isComplete && engineTime < response.deadlineAt) continue;
            responses.delete(response);
            opts.onEnded(response, isComplete, engineTime);
        }
    };

    return {
        add: (response: RunningResponse, now: number): void => {
            if (responses.size === 0) engineTime = Math.max(engineTime, now);
            responses.add(response);
        },
        advance: (now: number): void => {
            while (responses.size > 0 && engineTime <= now) runStep();
        },
        list: (): Iterable<RunningResponse> => responses,
    };
}
