/** Guards against a stand-in that is more permissive than the platform, or counts fewer requests. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createPlatformStandIn } from "../src/createPlatformStandIn.js";
import type { PlatformStandIn, PlatformStandInOptions } from "../src/createPlatformStandIn.js";
import { createRequestCounter } from "../src/createRequestCounter.js";

interface PlatformResponse {
    readonly status: number;
    readonly body: unknown;
}

async function withPlatform(
    opts: PlatformStandInOptions,
    run: (
        send: (
            method: string,
            path: string,
            headers?: Record<string, string>,
            body?: unknown,
        ) => Promise<PlatformResponse>,
        platform: PlatformStandIn,
    ) => Promise<void>,
): Promise<void> {
    const platform = createPlatformStandIn(opts);
    const { port } = await platform.listen(0);
    const send = async (method: string, path: string, headers: Record<string, string> = {}, body?: unknown) => {
        const response = await fetch(`http://127.0.0.1:${port}${path}`, {
            method,
            headers,
            body: body === undefined ? undefined : JSON.stringify(body),
        });
        return { status: response.status, body: await response.json().catch(() => undefined) as unknown };
    };
    try {
        await run(send, platform);
    }
    finally {
        await platform.close();
    }
}

const path = "/objects/services/s";
const createHeaders = { "if-none-match": "*", "write-id": "w1" };
const createConflictResponse = (currentVersion: number, deleted: boolean) => ({
    status: 409,
    body: { currentVersion, deleted },
});

test("writes apply only with the current version, and a deletion leaves a tombstone", () =>
    withPlatform({}, async send => {
        const base = { kind: "services", name: "s" };
        assert.is((await send("PUT", path, {}, { value: 1 })).status, 428);
        assert.is((await send("PUT", path, { "if-match": "1" }, { value: 1 })).status, 409);
        assert.equal(await send("PUT", path, createHeaders, { value: 1 }), {
            status: 201,
            body: { ...base, version: 1, revision: 1, writeId: "w1", value: 1 },
        });
        assert.equal(await send("PUT", path, createHeaders, { value: 2 }), createConflictResponse(1, false));
        assert.is((await send("PUT", path, { "if-match": "\"1\"", "write-id": "w2" }, { value: 2 })).status, 200);
        assert.is((await send("DELETE", path, { "if-match": "1", "write-id": "w3" })).status, 409);
        assert.is((await send("DELETE", path, { "if-match": "2", "write-id": "w3" })).status, 200);
        const tombstone = { ...base, version: 3, revision: 3, writeId: "w3", deleted: true, value: 2 };
        assert.equal(await send("GET", "/objects/services"), {
            status: 200,
            body: { revision: 3, items: [tombstone] },
        });
        assert.equal(await send("GET", path), { status: 200, body: tombstone });
        assert.equal(await send("PUT", path, createHeaders, { value: 4 }), createConflictResponse(3, true));
        assert.is((await send("PUT", path, { "if-match": "3" }, { value: "x".repeat(1_100_000) })).status, 413);
        assert.is((await send("GET", "/objects/services/other")).status, 404);
    }));

test("rate limits apply per second, and every request is counted", () =>
    withPlatform({ getNow: () => 0, writesPerSecond: 1, readsPerSecond: 2 }, async (send, platform) => {
        assert.is((await send("PUT", path, createHeaders, { value: 1 })).status, 201);
        assert.is((await send("PUT", path, { "if-match": "1" }, { value: 1 })).status, 429);
        assert.is((await send("GET", path)).status, 200);
        assert.is((await send("GET", "/watch?kinds=services&after=0")).status, 200);
        assert.is((await send("GET", "/hosts")).status, 429);
        const counts = { read: 1, list: 0, write: 2, watch: 1, hosts: 1, limited: 2, total: 5 };
        assert.equal(platform.readCounts(), counts);
        assert.equal((await send("GET", "/control/counts")).body, counts);
    }));

test("the rate limit resets at the next second", () => {
    let now = 0;
    const counter = createRequestCounter({ getNow: () => now, limits: { writesPerSecond: 1, readsPerSecond: 1 } });
    assert.equal([counter.count("write"), counter.count("write"), counter.count("read")], [true, false, true]);
    now = 1_000;
    assert.is(counter.count("write"), true);
});

test("a watch counts as one request per second of waiting", () => {
    let now = 0;
    return withPlatform({ getNow: () => now }, async (send, platform) => {
        const pendingWatch = send("GET", "/watch?kinds=services&after=0&timeoutMs=60000");
        while (platform.readCounts().watch === 0) await new Promise(setImmediate);
        now = 2_500;
        await send("PUT", path, createHeaders, { value: 1 });
        assert.is((await pendingWatch).status, 200);
        assert.is(platform.readCounts().watch, 3);
    });
});

test("a change of the host list becomes visible after the lag", () => {
    let now = 0;
    return withPlatform({ getNow: () => now, hostLagMs: 300 }, async (send, platform) => {
        const countHosts = async () => ((await send("GET", "/hosts")).body as { hosts: unknown[]; }).hosts.length;
        await send("PUT", "/control/hosts", {}, { hosts: [{ name: "r1" }] });
        now = 299;
        assert.is(await countHosts(), 0);
        platform.setHosts([]);
        now = 300;
        assert.is(await countHosts(), 1);
        now = 599;
        assert.is(await countHosts(), 0);
    });
});

test("faults can be set and cleared through the control route while the store is down", () =>
    withPlatform({}, async send => {
        await send("PUT", "/control/faults", {}, { down: true });
        assert.is(await send("GET", path).then(() => "completed", () => "dropped"), "dropped");
        await send("PUT", "/control/faults", {}, { down: false });
        assert.is((await send("GET", path)).status, 404);
    }));

test("the same seed loses the same responses", async () => {
    const getOutcomes = async (): Promise<string[]> => {
        const outcomes: string[] = [];
        await withPlatform({ seed: 11 }, async (send, platform) => {
            platform.setFaults({ loseAnswers: 0.5 });
            for (let index = 0; index < 12; index += 1) {
                outcomes.push(
                    await send("PUT", `/objects/k/${index}`, createHeaders, { value: 1 }).then(
                        () => "completed",
                        () => "lost",
                    ),
                );
            }
        });
        return outcomes;
    };
    const outcomes = await getOutcomes();
    assert.equal(await getOutcomes(), outcomes);
    assert.ok(outcomes.includes("completed") && outcomes.includes("lost"));
});

test.run();
