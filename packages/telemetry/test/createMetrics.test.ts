/** Guards against metrics calls that throw, and against datagrams that a StatsD server cannot parse. */
import { createSocket } from "node:dgram";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createMetrics } from "../src/createMetrics.js";

test("metrics are sent with prefix, type and tags", async () => {
    const server = createSocket("udp4");
    const received = new Promise<string>(resolve => server.once("message", data => resolve(String(data))));
    await new Promise<void>(resolve => server.bind(0, "127.0.0.1", resolve));
    const metrics = createMetrics({ host: "127.0.0.1", port: server.address().port, tags: { router: "a" } });
    metrics.record("request.outcomes", 2, { outcome: "complete" });
    metrics.record("pool.utilisation", 0.5);
    metrics.record("queue.age", 12);
    metrics.record("queue.age", Number.NaN);
    await metrics.close();
    assert.equal((await received).trim().split("\n"), [
        "rhubarbwheel.request.outcomes:2|c|#router:a,outcome:complete",
        "rhubarbwheel.pool.utilisation:0.5|g|#router:a",
        "rhubarbwheel.queue.age:12|h|#router:a",
    ]);
    server.close();
});

test("no function throws without a host, without a server or after close", async () => {
    for (const opts of [{}, { host: "127.0.0.1", port: 9 }]) {
        const metrics = createMetrics(opts);
        metrics.record("control.bytes", 1);
        await metrics.close();
        metrics.record("control.bytes", 1);
    }
});

test.run();
