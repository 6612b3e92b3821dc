/** Guards against missed configuration changes, and against caller keys that are bound to two minted keys. */
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { withPlatform } from "./platformFixtures.js";

const write = {
    kind: "failuredomains" as const,
    name: "north",
    expectedVersion: 0,
    spec: { state: "out" as const },
    writeId: "mine",
};

test("the configuration is read with tombstones, and a watch from its revision misses no change", () =>
    withPlatform({}, async ({ client, other }) => {
        await client.writeResource(write);
        await client.writeResource({ ...write, expectedVersion: 1, spec: undefined, writeId: "gone" });
        const read = await client.readConfiguration();
        assert.equal(read, {
            type: "read",
            value: {
                revision: 2,
                resources: [{
                    kind: "failuredomains",
                    name: "north",
                    version: 2,
                    revision: 2,
                    spec: { state: "out" },
                    deleted: true,
                }],
            },
        });
        const watching = client.watchConfiguration(2, 10_000);
        await other.writeResource({ ...write, name: "south", writeId: "theirs" });
        const changed = await watching;
        assert.is(changed.type === "changed" && changed.list.revision, 3);
        assert.is(changed.type === "changed" && changed.list.resources[0]?.name, "south");
    }));

test("lists that were read at different revisions are watched from the lowest of them", async () => {
    const revisions: Record<string, number> = { workspaces: 5, services: 7, failuredomains: 6 };
    const server = createServer((request, response) => {
        const revision = revisions[request.url?.split("/").at(-1) ?? ""];
        response.end(JSON.stringify({ revision, items: [] }));
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as AddressInfo;
    await withPlatform({ client: { addresses: [`http://127.0.0.1:${port}`] } }, async ({ client }) => {
        assert.equal(await client.readConfiguration(), { type: "read", value: { revision: 5, resources: [] } });
    });
    server.close();
});

test("a watch that ends without a change confirms the revision", () =>
    withPlatform({}, async ({ client }) => {
        await client.writeResource(write);
        assert.equal(await client.watchConfiguration(1, 5), { type: "changed", list: { revision: 1, resources: [] } });
    }));

test("a watch from a compacted revision, or from one that the store has not reached, requires a relist", () =>
    withPlatform({ historyLength: 2 }, async ({ client, platform }) => {
        for (let version = 0; version < 8; version += 1) {
            platform.store.write({
                kind: "services",
                name: "s",
                expectedVersion: version,
                writeId: `w${version}`,
                value: {},
            });
        }
        assert.equal(await client.watchConfiguration(0, 0), { type: "revisionGone" });
        assert.equal(await client.watchConfiguration(99, 0), { type: "revisionGone" });
    }));

test("requests fail over to another address when the first refuses connections", () =>
    withPlatform({ hostLagMs: 0 }, async ({ platform, address, client: unused }) => {
        await unused.close();
        const hosts = [{
            name: "r1",
            role: "router" as const,
            address: "127.0.0.1:1",
            failureDomain: "a",
            state: "live" as const,
        }];
        platform.setHosts(hosts);
        await withPlatform({ client: { addresses: ["http://127.0.0.1:1", address] } }, async ({ client }) => {
            assert.equal(await client.listHosts(), { type: "read", value: hosts });
            assert.is(client.countRequests(), 2);
        });
    }));

test("reads are unavailable while the store is down, rate-limited or malformed", () =>
    withPlatform({ readsPerSecond: 3 }, async ({ client, platform }) => {
        platform.store.write({ kind: "services", name: "s", expectedVersion: 0, writeId: "w", value: {} });
        assert.is((await client.readConfiguration()).type, "read");
        assert.equal(await client.readConfiguration(), { type: "unavailable" });
        platform.setFaults({ down: true });
        assert.equal(await client.readResource("services", "s"), { type: "unavailable" });
        assert.equal(await client.watchConfiguration(0, 50), { type: "unavailable" });
        assert.equal(await client.listHosts(), { type: "unavailable" });
    }));

const bindCases = [
    { name: "no fault", faults: {}, result: { type: "bound", mintedKey: "minted-1" } },
    { name: "response lost", faults: { loseAnswers: 1 }, result: { type: "bound", mintedKey: "minted-1" } },
    { name: "request lost", faults: { loseRequests: 1 }, result: { type: "bound", mintedKey: "minted-1" } },
    { name: "store down", faults: { down: true }, result: { type: "unavailable" } },
];

for (const { name, faults, result } of bindCases) {
    test(`binding a key, ${name}: ${result.type}`, () =>
        withPlatform({}, async ({ client, other, platform }) => {
            platform.setFaults(faults);
            assert.equal(await client.bindKey("ada", "order 7", "minted-1"), result);
            platform.setFaults({ down: false });
            const expected = result.type === "bound" ? "minted-1" : "minted-2";
            assert.equal(await other.bindKey("ada", "order 7", "minted-2"), { type: "bound", mintedKey: expected });
            assert.equal(await other.bindKey("bob", "order 7", "minted-3"), { type: "bound", mintedKey: "minted-3" });
        }));
}

test("routers that bind the same key concurrently agree on one minted key", () =>
    withPlatform({}, async ({ client, other, platform }) => {
        platform.setFaults({ loseAnswers: 0.3, loseRequests: 0.3 });
        for (let number = 0; number < 20; number += 1) {
            const bound = await Promise.all(
                [client, other].map((router, index) => router.bindKey("ada", `key ${number}`, `minted-${index}`)),
            );
            const keys = bound.flatMap(result => (result.type === "bound" ? [result.mintedKey] : []));
            assert.ok(new Set(keys).size <= 1, keys.join(" "));
        }
    }));

test("a deleted binding remains in force, because the call may have been executed", () =>
    withPlatform({}, async ({ client, platform }) => {
        await client.bindKey("ada", "order 7", "minted-1");
        const [binding] = platform.store.list("idempotencykeys");
        platform.store.write({
            kind: "idempotencykeys",
            name: binding?.name ?? "",
            expectedVersion: 1,
            writeId: "sweep",
        });
        assert.equal(await client.bindKey("ada", "order 7", "minted-2"), { type: "bound", mintedKey: "minted-1" });
    }));

test.run();
