/** Reports the state of the router as metrics. The daemon calls it once per interval. */
import type { Reducer } from "@rhubarbwheel/reducer/createReducer";
import type { Metrics } from "@rhubarbwheel/telemetry/createMetrics";
import type { MetricName } from "@rhubarbwheel/telemetry/metricCatalogue";
import type { PlatformClient } from "@rhubarbwheel/types/ports";
import { computeFairnessGap } from "./computeFairnessGap.js";

export interface MetricsReporterOptions {
    readonly metrics: Metrics;
    readonly reducer: Reducer;
    readonly transport: {
        readonly countTraffic: () => { readonly messages: number; readonly bytes: number; };
        readonly countStreams: () => number;
    };
    readonly platformClient: Pick<PlatformClient, "countRequests">;
    readonly getNow: () => number;
}

export function createMetricsReporter(opts: MetricsReporterOptions) {
    const { metrics, reducer } = opts;
    const lastTotals = new Map<MetricName, number>();

    /** The totals are cumulative, but a StatsD counter takes the increment since the last report. */
    const recordTotal = (name: MetricName, total: number) => {
        metrics.record(name, total - (lastTotals.get(name) ?? 0));
        lastTotals.set(name, total);
    };

    const reportQueues = () => {
        for (const { service: pool, workspace, queued } of reducer.entryQueue.listQueues())
            metrics.record("workspace.queued", queued, { pool, workspace });
        for (const { pool, outcomes, costs } of reducer.usage.takeUsage()) {
            for (const [outcome, count] of Object.entries(outcomes))
                metrics.record("request.outcomes", count, { pool, outcome });
            for (const [workspace, cost] of costs) metrics.record("workspace.service", cost, { pool, workspace });
        }
    };

    const reportPools = () => {
        const targets = reducer.poolCoordinator.listTargets();
        const workspaces = reducer.poolCoordinator.listWorkspaces();
        for (const { service: pool, target, limit, held } of targets) {
            metrics.record("pool.limit", limit, { pool, target });
            metrics.record("pool.held", held, { pool, target });
        }
        for (const pool of new Set(targets.map(target => target.service))) {
            const poolTargets = targets.filter(target => target.service === pool);
            const limit = poolTargets.reduce((sum, target) => sum + target.limit, 0);
            const held = poolTargets.reduce((sum, target) => sum + target.held, 0);
            if (limit > 0) metrics.record("pool.utilisation", held / limit, { pool });
            const gap = computeFairnessGap(workspaces.filter(workspace => workspace.service === pool));
            metrics.record("pool.fairness_gap", gap, { pool });
        }
    };

    const reportControlPlane = () => {
        const traffic = opts.transport.countTraffic();
        recordTotal("control.messages", traffic.messages);
        recordTotal("control.bytes", traffic.bytes);
        recordTotal("platform.calls", opts.platformClient.countRequests());
        metrics.record("control.streams", opts.transport.countStreams());
        const digest = reducer.configuration.getDigest(opts.getNow());
        metrics.record("configuration.revision", digest.revision);
        if (digest.confirmedAgeMs !== undefined) metrics.record("configuration.age", digest.confirmedAgeMs);
        metrics.record("members.alive", reducer.membership.listRoutable().length);
    };

    return {
        report: () => {
            reportQueues();
            reportPools();
            reportControlPlane();
        },
    };
}
