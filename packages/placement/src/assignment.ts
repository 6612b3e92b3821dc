/** A request at a target, as far as the model of the target is concerned. */
import type { PromptPart } from "@rhubarbwheel/types/placement";
import type { GeneratedResponse } from "./createDecodeModel.js";

/** A request that is placed at a target and has not ended. */
export interface Assignment extends GeneratedResponse {
    readonly requestId: string;
    readonly target: string;
    readonly workspace?: string;
    readonly promptTokens: number;
    /** Prompt tokens that need prefill at the target. */
    readonly newTokens: number;
    readonly assignedAt: number;
    /** Parts of the prompt; omitted if unknown to this router. */
    readonly parts?: readonly PromptPart[];
    startedAt?: number;
    /** Time at which the assignment is removed unless a report mentions it. */
    expiresAt: number;
}

/** Prompt tokens that belong to no known part and are therefore not in the prefix cache model. */
export function countUntrackedTokens({ promptTokens, parts = [] }: Pick<Assignment, "promptTokens" | "parts">): number {
    let trackedTokens = 0;
    for (const { tokens } of parts) trackedTokens += tokens;
    return Math.max(0, promptTokens - trackedTokens);
}
