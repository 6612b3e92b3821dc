/** Returns the entry router's state of a pool, and creates it if the pool is in the configuration. */
import { computeMaxWaitMs, computePriorPrefillRate, defaultAdmissionInput } from "./admission.js";
import { createLocalTokenBucket } from "./createLocalTokenBucket.js";
import { createPoolModel } from "./createPoolModel.js";
import { createReportedUsage } from "./createReportedUsage.js";
import { createRetryBudget } from "./createRetryBudget.js";
import type { EntryContext, EntryPool } from "./entryState.js";
import { shareWindowMs } from "./placementSettings.js";

export function getOrCreatePool(context: EntryContext, service: string): EntryPool | undefined {
    const existing = context.pools.get(service);
    if (existing !== undefined) return existing;
    const spec = context.view.getPool(service);
    if (spec === undefined) return undefined;
    const { view } = context;
    const countRouters = (): number => Math.max(1, view.listRouters().length);
    const pool: EntryPool = {
        service,
        model: createPoolModel({ spec, priorPrefillRate: computePriorPrefillRate(context.view, service) }),
        retryBudget: createRetryBudget(() => {
            const policy = context.getRetryPolicy();
            // Each router uses its share of the reserve, so the total is kept while routers cannot reach each other.
            return { ...policy, reserve: policy.reserve / countRouters() };
        }),
        reportedUsage: createReportedUsage({ retentionMs: shareWindowMs }),
        localTokenBucket: spec.engine === undefined ? undefined : createLocalTokenBucket({
            getRate: () =>
                computePriorPrefillRate(view, service) * view.listUsableTargets(service).length / countRouters(),
            getBurstMs: () => computeMaxWaitMs(view, service, defaultAdmissionInput),
            random: context.random,
        }),
    };
    context.pools.set(service, pool);
    return pool;
}
