/** Guards against a stand-in that is more permissive, or counts fewer calls, than the platform that it stands for. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createCallCounter } from "../src/createCallCounter.js";
import { createPlatformStandIn } from "../src/createPlatformStandIn.js";
import type { PlatformStandIn, PlatformStandInOptions } from "../src/createPlatformStandIn.js";

interface Exchange {
    readonly status: number;
    readonly body: unknown;
}

async function withPlatform(
    opts: PlatformStandInOptions,
    use: (
        call: (method: string, path: string, headers?: Record<string, string>, body?: unknown) => Promise<Exchange>,
        platform: PlatformStandIn,
    ) => Promise<void>,
): Promise<void> {
    const platform = createPlatformStandIn(opts);
    const { port } = await platform.listen(0);
    const call = async (method: string, path: string, headers: Record<string, string> = {}, body?: unknown) => {
        const answer = await fetch(`http://127.0.0.1:${port}${path}`, {
            method,
            headers,
            body: body === undefined ? undefined : JSON.stringify(body),
        });
        return { status: answer.status, body: await answer.json().catch(() => undefined) as unknown };
    };
    try {
        await use(call, platform);
    }
    finally {
        await platform.close();
    }
}

const path = "/objects/services/s";
const create = { "if-none-match": "*", "write-id": "w1" };
const conflict = (currentVersion: number, deleted: boolean) => ({ status: 409, body: { currentVersion, deleted } });

test("conditional writes: creation, update, deletion and what each refuses", () =>
    withPlatform({}, async call => {
        const base = { kind: "services", name: "s" };
        assert.is((await call("PUT", path, {}, { value: 1 })).status, 428);
        assert.is((await call("PUT", path, { "if-match": "1" }, { value: 1 })).status, 409);
        assert.equal(await call("PUT", path, create, { value: 1 }), {
            status: 201,
            body: { ...base, version: 1, revision: 1, writeId: "w1", value: 1 },
        });
        assert.equal(await call("PUT", path, create, { value: 2 }), conflict(1, false));
        assert.is((await call("PUT", path, { "if-match": "\"1\"", "write-id": "w2" }, { value: 2 })).status, 200);
        assert.is((await call("DELETE", path, { "if-match": "1", "write-id": "w3" })).status, 409);
        assert.is((await call("DELETE", path, { "if-match": "2", "write-id": "w3" })).status, 200);
        const tombstone = { ...base, version: 3, revision: 3, writeId: "w3", deleted: true, value: 2 };
        assert.equal(await call("GET", "/objects/services"), {
            status: 200,
            body: { revision: 3, items: [tombstone] },
        });
        assert.equal(await call("GET", path), { status: 200, body: tombstone });
        assert.equal(await call("PUT", path, create, { value: 4 }), conflict(3, true));
        assert.is((await call("PUT", path, { "if-match": "3" }, { value: "x".repeat(1_100_000) })).status, 413);
        assert.is((await call("GET", "/objects/services/other")).status, 404);
    }));

test("rate limits are applied per second, and every call is counted", () =>
    withPlatform({ clock: () => 0, writesPerSecond: 1, readsPerSecond: 2 }, async (call, platform) => {
        assert.is((await call("PUT", path, create, { value: 1 })).status, 201);
        assert.is((await call("PUT", path, { "if-match": "1" }, { value: 1 })).status, 429);
        assert.is((await call("GET", path)).status, 200);
        assert.is((await call("GET", "/watch?kinds=services&after=0")).status, 200);
        assert.is((await call("GET", "/hosts")).status, 429);
        const counts = { read: 1, list: 0, write: 2, watch: 1, hosts: 1, limited: 2, total: 5 };
        assert.equal(platform.readCounts(), counts);
        assert.equal((await call("GET", "/control/counts")).body, counts);
    }));

test("a new second lifts the limit", () => {
    let now = 0;
    const counter = createCallCounter({ clock: () => now, limits: { writesPerSecond: 1, readsPerSecond: 1 } });
    assert.equal([counter.count("write"), counter.count("write"), counter.count("read")], [true, false, true]);
    now = 1_000;
    assert.is(counter.count("write"), true);
});

test("a watch that waits counts once per second of waiting", () => {
    let now = 0;
    return withPlatform({ clock: () => now }, async (call, platform) => {
        const watching = call("GET", "/watch?kinds=services&after=0&timeoutMs=60000");
        while (platform.readCounts().watch === 0) await new Promise(setImmediate);
        now = 2_500;
        await call("PUT", path, create, { value: 1 });
        assert.is((await watching).status, 200);
        assert.is(platform.readCounts().watch, 3);
    });
});

test("a change of the host list shows after the lag", () => {
    let now = 0;
    return withPlatform({ clock: () => now, hostLagMs: 300 }, async (call, platform) => {
        const readHosts = async () => ((await call("GET", "/hosts")).body as { hosts: unknown[]; }).hosts.length;
        await call("PUT", "/control/hosts", {}, { hosts: [{ name: "r1" }] });
        now = 299;
        assert.is(await readHosts(), 0);
        platform.setHosts([]);
        now = 300;
        assert.is(await readHosts(), 1);
        now = 599;
        assert.is(await readHosts(), 0);
    });
});

test("faults can be set and lifted through the control route while the store is down", () =>
    withPlatform({}, async call => {
        await call("PUT", "/control/faults", {}, { down: true });
        assert.is(await call("GET", path).then(() => "answered", () => "dropped"), "dropped");
        await call("PUT", "/control/faults", {}, { down: false });
        assert.is((await call("GET", path)).status, 404);
    }));

test("the same seed loses the same answers", async () => {
    const run = async (): Promise<string[]> => {
        const outcomes: string[] = [];
        await withPlatform({ seed: 11 }, async (call, platform) => {
            platform.setFaults({ loseAnswers: 0.5 });
            for (let number = 0; number < 12; number += 1) {
                outcomes.push(
                    await call("PUT", `/objects/k/${number}`, create, { value: 1 }).then(
                        () => "answered",
                        () => "lost",
                    ),
                );
            }
        });
        return outcomes;
    };
    const outcomes = await run();
    assert.equal(await run(), outcomes);
    assert.ok(outcomes.includes("answered") && outcomes.includes("lost"));
});

test.run();
