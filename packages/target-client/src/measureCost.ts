/** Cost of an attempt: input tokens + 2 x output tokens for models, a constant per call for plain services. */
import type { Call } from "@rhubarbwheel/types/ports";
import type { AnswerReader } from "./createAnswerReader.js";

/** Decoding a token takes more of an engine than prefilling one. */
const outputTokenCost = 2;

export interface CostOptions {
    readonly costPerCall: number;
    /** Whether the attempt continues a stream, whose input an earlier attempt has paid for. */
    readonly resuming: boolean;
    /** Cost of the earlier attempts of the call. */
    readonly earlierCost: number;
}

/** Returns the cost so far. The counts of the engine, where it reports them, replace the estimate and the events counted. */
export function measureCost(call: Call, reader: AnswerReader | undefined, opts: CostOptions): number {
    if (call.serviceKind === "plain") return opts.costPerCall;
    const usage = reader?.getUsage();
    const events = reader?.countEvents() ?? 0;
    if (usage === undefined) return (opts.resuming ? 0 : call.inputCost) + outputTokenCost * events;
    const total = usage.inputTokens + outputTokenCost * usage.outputTokens;
    // Usage covers the whole stream, so a resumed attempt is charged what the earlier ones were not.
    return opts.resuming ? Math.max(0, total - opts.earlierCost) : total;
}
