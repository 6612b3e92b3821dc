/** Slice that counts outcomes and costs of ended requests for the metrics. It has no effects. */
import type { RouterEvent } from "@rhubarbwheel/types/events";
import type { Slice } from "@rhubarbwheel/types/slices";

export interface PoolUsage {
    readonly pool: string;
    readonly outcomes: Readonly<Record<"complete" | "notRun" | "unknown", number>>;
    /** Cost per workspace. */
    readonly costs: ReadonlyMap<string, number>;
}

interface UsageRecord {
    readonly pool: string;
    readonly outcomes: Record<"complete" | "notRun" | "unknown", number>;
    readonly costs: Map<string, number>;
}

export function createUsageCounters() {
    let records = new Map<string, UsageRecord>();

    const getOrCreateRecord = (pool: string): UsageRecord => {
        const existing = records.get(pool);
        if (existing !== undefined) return existing;
        const created = { pool, outcomes: { complete: 0, notRun: 0, unknown: 0 }, costs: new Map() };
        records.set(pool, created);
        return created;
    };

    const reduce = (event: RouterEvent): readonly never[] => {
        if (event.type !== "requestEnded") return [];
        const record = getOrCreateRecord(event.service);
        record.outcomes[event.outcome] += 1;
        record.costs.set(event.workspace, (record.costs.get(event.workspace) ?? 0) + event.cost);
        return [];
    };

    return {
        reduce,
        /** Returns and resets the counters. */
        takeUsage: (): readonly PoolUsage[] => {
            const taken = [...records.values()];
            records = new Map();
            return taken;
        },
    } satisfies Slice & { takeUsage: () => readonly PoolUsage[]; };
}
