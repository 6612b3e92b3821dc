/** Guards against forwarded calls that run twice, and against calls reported as not run although they may have run. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { call, closeAll, findClosedPort, response, startProxy, startRouter, waitFor } from "./testRouters.js";

test.after.each(closeAll);

test("a forwarded call is answered, and runs once", async () => {
    const [a, b] = [await startRouter("a"), await startRouter("b")];
    assert.equal(await a.transport.forwardCall("b", b.address, call), { type: "answered", response });
    assert.equal(b.calls, [call]);
});

test("a call to a closed port, to a host name, or over a broken connection is unreachable", async () => {
    const [a, b] = [await startRouter("a"), await startRouter("b")];
    const proxy = await startProxy(b.address);
    await a.transport.forwardCall("b", proxy.address, call);
    proxy.disconnect();
    for (const address of [`127.0.0.1:${await findClosedPort()}`, "localhost:80", "127.0.0.1"])
        assert.equal(await a.transport.forwardCall("b", address, call), { type: "unreachable" }, address);
    assert.is(b.calls.length, 1);
});

test("a call that cannot be encoded is unreachable, because nothing was sent", async () => {
    const [a, b] = [await startRouter("a"), await startRouter("b")];
    const unencodableCall = { ...call, body: undefined as unknown as Uint8Array };
    assert.equal(await a.transport.forwardCall("b", b.address, unencodableCall), { type: "unreachable" });
    assert.match(a.problems.join(), /body is not a byte array/);
});

const connectionFaults: [string, (proxy: { disconnect: () => void; }) => void][] = [
    ["the connection breaks", proxy => proxy.disconnect()],
    ["the connection breaks and the peer is reachable again at once", proxy => {
        proxy.disconnect();
        (proxy as unknown as { reconnect: () => void; }).reconnect();
    }],
];
for (const [title, fail] of connectionFaults) {
    test(`a call is broken when ${title} while it runs, and is not sent again`, async () => {
        const a = await startRouter("a");
        const runs: string[] = [];
        const b = await startRouter("b", {
            onForwardedCall: forwarded => {
                runs.push(forwarded.mintedKey);
                return new Promise(() => undefined);
            },
        });
        const proxy = await startProxy(b.address);
        const result = a.transport.forwardCall("b", proxy.address, call);
        await waitFor("start of the call", () => runs.length > 0);
        fail(proxy);
        assert.equal(await result, { type: "broken" });
        await new Promise(resolve => setTimeout(resolve, 50));
        assert.equal(runs, ["k"]);
    });
}

test("while connections break, no call runs twice, and unreachable calls do not run", async () => {
    const a = await startRouter("a");
    const runs = new Map<string, number>();
    const b = await startRouter("b", {
        onForwardedCall: async forwarded => {
            runs.set(forwarded.mintedKey, (runs.get(forwarded.mintedKey) ?? 0) + 1);
            await new Promise(resolve => setTimeout(resolve, 1));
            return response;
        },
    });
    const proxy = await startProxy(b.address);
    const results = new Map<string, string>();
    const sendCalls = async (worker: number): Promise<void> => {
        for (let n = 0; n < 40; n += 1) {
            const mintedKey = `${worker}-${n}`;
            const result = await a.transport.forwardCall("b", proxy.address, { ...call, mintedKey });
            results.set(mintedKey, result.type);
            if (n % 8 === worker) proxy.disconnect();
            else proxy.reconnect();
        }
    };
    await Promise.all(Array.from({ length: 8 }, (_, worker) => sendCalls(worker)));
    const expectedRuns = { answered: [1], broken: [0, 1], unreachable: [0] } as Record<string, number[]>;
    for (const [key, type] of results)
        assert.ok(expectedRuns[type]?.includes(runs.get(key) ?? 0), `${key} is ${type} and ran ${runs.get(key)} times`);
    assert.is(results.size, 320);
});

test("a call that fails, times out or has an invalid response at the peer is broken", async () => {
    const a = await startRouter("a", { limits: { forwardTimeoutMs: 100 } });
    const handlers = [
        () => Promise.reject(new Error("fault")),
        () => new Promise<never>(() => undefined),
        () => Promise.resolve({ ...response, outcome: "odd" as "complete" }),
    ];
    for (const onForwardedCall of handlers) {
        const b = await startRouter("b", { onForwardedCall });
        assert.equal(await a.transport.forwardCall("b", b.address, call), { type: "broken" });
    }
});

test("a call with another fleet secret, recipient or sender is not run", async () => {
    const b = await startRouter("b");
    const [a, stranger] = [await startRouter("a"), await startRouter("a", { fleetSecret: "other" })];
    assert.equal(await stranger.transport.forwardCall("b", b.address, call), { type: "broken" });
    assert.equal(await a.transport.forwardCall("c", b.address, call), { type: "broken" });
    const forgedCall = { ...call, forwardedBy: "c" };
    assert.equal(await a.transport.forwardCall("b", b.address, forgedCall), { type: "broken" });
    assert.is(b.calls.length, 0);
});

test.run();
