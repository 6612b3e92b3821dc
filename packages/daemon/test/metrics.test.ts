/** Guards against a metric catalogue that differs from the metrics that a router sends. */
import { metricCatalogue } from "@rhubarbwheel/telemetry/metricCatalogue";
import type { Call } from "@rhubarbwheel/types/ports";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createCallMetrics } from "../src/createCallMetrics.js";
import { createMetricsReporter, type MetricsReporterOptions } from "../src/createMetricsReporter.js";

const outcomes = { complete: 1, notRun: 0, unknown: 0 };
const workspace = { service: "artwork", workspace: "proofs", queued: 2, inProgress: 1, virtualTime: 5 };
const reducer = {
    entryQueue: { listQueues: () => [workspace] },
    usage: { takeUsage: () => [{ pool: "artwork", outcomes, costs: new Map([["proofs", 3]]) }] },
    poolCoordinator: {
        listTargets: () => [{ service: "artwork", target: "worker-1", limit: 8, held: 6 }],
        listWorkspaces: () => [workspace, { ...workspace, workspace: "quotes", virtualTime: 7 }],
    },
    configuration: { getDigest: () => ({ revision: 4, confirmedAgeMs: 10 }) },
    membership: { listRoutable: () => [{}] },
} as unknown as MetricsReporterOptions["reducer"];

test("a router sends exactly the metrics of the catalogue with their tags", () => {
    const sent = new Map<string, { readonly tags: readonly string[]; readonly value: number; }>();
    let now = 0;
    const metrics = {
        record: (name: string, value: number, tags: object = {}) =>
            void sent.set(name, { tags: Object.keys(tags), value }),
        close: () => Promise.resolve(),
    };
    const getNow = () => now;
    createMetricsReporter({
        metrics,
        reducer,
        transport: { countTraffic: () => ({ messages: 1, bytes: 2 }), countStreams: () => 3 },
        platformClient: { countRequests: () => 4 },
        getNow,
    }).report();
    const callMetrics = createCallMetrics({ metrics, getNow });
    const responder = { start: () => undefined, finish: () => undefined, fail: () => undefined };
    const call = callMetrics.instrumentCall({ service: "artwork", responder } as unknown as Call);
    now = 30;
    callMetrics.recordAttempt(call, 1);
    callMetrics.recordAttempt(call, 2);
    now = 50;
    call.responder.start(200, {});
    now = 90;
    call.responder.finish();

    const expected = Object.entries(metricCatalogue).map(([name, { tags }]) => [name, [...tags]]);
    assert.equal([...sent].map(([name, { tags }]) => [name, tags]).sort(), expected.sort());
    const values = ["queue.age", "request.first_byte", "request.duration", "pool.utilisation", "pool.fairness_gap"];
    assert.equal(values.map(name => sent.get(name)?.value), [30, 50, 90, 0.75, 2]);
});

test.run();
