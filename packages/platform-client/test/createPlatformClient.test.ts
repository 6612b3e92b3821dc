/** Guards against writes that are reported wrongly after a lost answer, and against lost or reverted changes. */
import { createPlatformStandIn } from "@rhubarbwheel/stand-ins/createPlatformStandIn";
import type { PlatformFaults, PlatformStandInOptions } from "@rhubarbwheel/stand-ins/createPlatformStandIn";
import type { PlatformClient } from "@rhubarbwheel/types/ports";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createPlatformClient } from "../src/createPlatformClient.js";

interface Setup {
    readonly client: PlatformClient;
    readonly platform: ReturnType<typeof createPlatformStandIn>;
    readonly address: string;
    readonly close: () => Promise<void>;
}

async function setUp(opts: PlatformStandInOptions = {}): Promise<Setup> {
    const platform = createPlatformStandIn({ seed: 7, ...opts });
    const { port } = await platform.listen(0);
    const address = `http://127.0.0.1:${port}`;
    let writes = 0;
    const client = createPlatformClient({
        addresses: [address],
        timeoutMs: 1_000,
        createWriteId: () => `w${writes += 1}`,
        retryDelayMs: 1,
    });
    const close = async () => {
        await client.close();
        await platform.close();
    };
    return { client, platform, address, close };
}

const spec = { state: "out" as const };
const write = { kind: "failuredomains" as const, name: "north", expectedVersion: 0, spec, writeId: "mine" };

const faultCases: readonly {
    readonly name: string;
    readonly faults: PlatformFaults;
    readonly result: string;
    readonly version: number;
}[] = [
    { name: "no fault", faults: {}, result: "accepted", version: 1 },
    { name: "answer lost", faults: { loseAnswers: 1 }, result: "accepted", version: 1 },
    { name: "answer and read back lost", faults: { loseAnswers: 1, loseReads: 1 }, result: "accepted", version: 1 },
    { name: "request lost", faults: { loseRequests: 1 }, result: "accepted", version: 1 },
    {
        name: "request lost twice, then answer lost",
        faults: { loseRequests: 2, loseAnswers: 1 },
        result: "accepted",
        version: 1,
    },
    {
        name: "late copy arrives after the write was sent again",
        faults: { lateWrites: 1, lateMs: 30 },
        result: "accepted",
        version: 1,
    },
    { name: "every request lost", faults: { loseRequests: 99 }, result: "unknown", version: 0 },
    { name: "store down", faults: { down: true }, result: "unknown", version: 0 },
];

for (const { name, faults, result, version } of faultCases) {
    test(`write with ${name}: ${result}`, async () => {
        const { client, platform, close } = await setUp();
        platform.setFaults(faults);
        const written = await client.writeResource(write);
        await new Promise(resolve => setTimeout(resolve, faults.lateMs ?? 0));
        assert.is(written.type, result);
        assert.is(platform.store.read("failuredomains", "north")?.version ?? 0, version);
        await close();
    });
}

test("a refused connection proves that the write was not applied", async () => {
    const { client, platform, close } = await setUp();
    await platform.close();
    assert.equal(await client.writeResource(write), { type: "unavailable" });
    await close();
});

test("configuration, watch, hosts and conflicts", async () => {
    const { client, platform, close } = await setUp({ hostLagMs: 0 });
    assert.is((await client.writeResource(write)).type, "accepted");
    assert.equal(await client.writeResource(write), { type: "conflict", currentVersion: 1 });
    const read = await client.readConfiguration();
    assert.is(read.type === "read" && read.value.revision, 1);
    const watching = client.watchConfiguration(1, 5_000);
    await client.writeResource({ ...write, expectedVersion: 1, writeId: "mine2" });
    const changed = await watching;
    assert.is(changed.type === "changed" && changed.list.resources[0]?.version, 2);
    platform.setHosts([{ name: "r1", role: "router", address: "127.0.0.1:1", failureDomain: "a", state: "live" }]);
    const hosts = await client.listHosts();
    assert.is(hosts.type === "read" && hosts.value.length, 1);
    await close();
});

test.run();
