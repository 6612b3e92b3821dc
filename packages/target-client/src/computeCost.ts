/** Cost of an attempt: input tokens + 2 x output tokens for models, a constant per call for plain services. */
import type { Call } from "@rhubarbwheel/types/ports";
import type { ResponseReader } from "./createResponseReader.js";

/** Decoding a token takes more capacity of an engine than prefilling one. */
const outputTokenCost = 2;

export interface CostOptions {
    readonly costPerCall: number;
    /** Whether the attempt resumes a stream, whose input tokens an earlier attempt was charged for. */
    readonly resuming: boolean;
    /** Cost of the earlier attempts of the call. */
    readonly earlierCost: number;
}

/** Returns the cost so far. Token counts reported by the engine replace the estimated input and the counted events. */
export function computeCost(call: Call, reader: ResponseReader | undefined, opts: CostOptions): number {
    if (call.serviceKind === "plain") return opts.costPerCall;
    const usage = reader?.getUsage();
    const events = reader?.countEvents() ?? 0;
    if (usage === undefined) return (opts.resuming ? 0 : call.inputCost) + outputTokenCost * events;
    const total = usage.inputTokens + outputTokenCost * usage.outputTokens;
    // Usage covers the whole stream, so a resumed attempt is charged only what earlier attempts were not.
    return opts.resuming ? Math.max(0, total - opts.earlierCost) : total;
}
