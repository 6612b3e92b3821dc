/** A server of callers that gets more calls than it can handle. */
import { once } from "node:events";
import { Worker } from "node:worker_threads";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createCallerServer } from "../src/createCallerServer.js";
import type { CallerWorkerData, CallerWorkerResult } from "./callerWorker.js";

/** A loopback address that no other test uses, because the test opens 2,000 connections. */
const host = "127.254.0.1";

/** Processor time of one call. */
const callMs = 8;

function blockEventLoop(ms: number): void {
    const endAt = performance.now() + ms;
    while (performance.now() < endAt);
}

// Guards against a router that answers nobody: it accepted connections in order of arrival from a queue so long that
// each caller had left before its call was read.
test("callers are answered while twice as many connect as the server can handle", async () => {
    const server = createCallerServer({
        serveCall: (_incoming, response) => {
            blockEventLoop(callMs);
            response.writeHead(204, { connection: "close" });
            response.end();
        },
        onInvalidRequest: () => undefined,
    });
    const port = await server.listen(host, 0);
    const load: CallerWorkerData = { host, port, callsPerSecond: 250, patienceMs: 1_000, durationMs: 8_000 };
    const worker = new Worker(new URL("./callerWorker.js", import.meta.url), { workerData: load });
    const [{ answered }] = await once(worker, "message") as [CallerWorkerResult];
    await worker.terminate();
    server.destroyAll();
    await server.close();
    // The server can handle 125 calls per second, 500 in each half.
    assert.ok(answered[1] >= 250, `${answered[0]} and ${answered[1]} answered`);
});

test.run();
