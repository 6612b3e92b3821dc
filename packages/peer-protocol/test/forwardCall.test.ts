/** Guards against a forwarded call that runs twice, and against one that is said not to have run although it may have. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { answer, call, closeAll, findClosedPort, startRelay, startRouter, waitFor } from "./testRouters.js";

test.after.each(closeAll);

test("a forwarded call is answered, and runs once", async () => {
    const [a, b] = [await startRouter("a"), await startRouter("b")];
    assert.equal(await a.transport.forwardCall("b", b.address, call), { type: "answered", answer });
    assert.equal(b.calls, [call]);
});

test("a call to a closed port, to a name, or over a cut connection is unreachable", async () => {
    const [a, b] = [await startRouter("a"), await startRouter("b")];
    const relay = await startRelay(b.address);
    await a.transport.forwardCall("b", relay.address, call);
    relay.cut();
    for (const address of [`127.0.0.1:${await findClosedPort()}`, "localhost:80", "127.0.0.1"])
        assert.equal(await a.transport.forwardCall("b", address, call), { type: "unreachable" }, address);
    assert.is(b.calls.length, 1);
});

test("a call that can't be encoded is unreachable, because nothing was sent", async () => {
    const [a, b] = [await startRouter("a"), await startRouter("b")];
    const broken = { ...call, body: undefined as unknown as Uint8Array };
    assert.equal(await a.transport.forwardCall("b", b.address, broken), { type: "unreachable" });
    assert.match(a.problems.join(), /body is not a byte array/);
});

const middleFaults: [string, (relay: { cut: () => void; }) => void][] = [
    ["the connection breaks", relay => relay.cut()],
    ["the connection breaks and the peer is back at once", relay => {
        relay.cut();
        (relay as unknown as { restore: () => void; }).restore();
    }],
];
for (const [title, fail] of middleFaults) {
    test(`a call is broken when ${title} while it runs, and is not sent again`, async () => {
        const a = await startRouter("a");
        const runs: string[] = [];
        const b = await startRouter("b", {
            onForwardedCall: forwarded => {
                runs.push(forwarded.mintedKey);
                return new Promise(() => undefined);
            },
        });
        const relay = await startRelay(b.address);
        const result = a.transport.forwardCall("b", relay.address, call);
        await waitFor("start of the call", () => runs.length > 0);
        fail(relay);
        assert.equal(await result, { type: "broken" });
        await new Promise(resolve => setTimeout(resolve, 50));
        assert.equal(runs, ["k"]);
    });
}

test("while connections break, no call runs twice, and none that is unreachable runs at all", async () => {
    const a = await startRouter("a");
    const runs = new Map<string, number>();
    const b = await startRouter("b", {
        onForwardedCall: async forwarded => {
            runs.set(forwarded.mintedKey, (runs.get(forwarded.mintedKey) ?? 0) + 1);
            await new Promise(resolve => setTimeout(resolve, 1));
            return answer;
        },
    });
    const relay = await startRelay(b.address);
    const results = new Map<string, string>();
    const sendCalls = async (worker: number): Promise<void> => {
        for (let n = 0; n < 40; n += 1) {
            const mintedKey = `${worker}-${n}`;
            const result = await a.transport.forwardCall("b", relay.address, { ...call, mintedKey });
            results.set(mintedKey, result.type);
            if (n % 8 === worker) relay.cut();
            else relay.restore();
        }
    };
    await Promise.all(Array.from({ length: 8 }, (_, worker) => sendCalls(worker)));
    const expectations = { answered: [1], broken: [0, 1], unreachable: [0] } as Record<string, number[]>;
    for (const [key, type] of results)
        assert.ok(expectations[type]?.includes(runs.get(key) ?? 0), `${key} is ${type} and ran ${runs.get(key)} times`);
    assert.is(results.size, 320);
});

test("a call that the peer can't finish is broken, whatever the reason", async () => {
    const a = await startRouter("a", { limits: { forwardTimeoutMs: 100 } });
    const handlers = [
        () => Promise.reject(new Error("fault")),
        () => new Promise<never>(() => undefined),
        () => Promise.resolve({ ...answer, outcome: "odd" as "complete" }),
    ];
    for (const onForwardedCall of handlers) {
        const b = await startRouter("b", { onForwardedCall });
        assert.equal(await a.transport.forwardCall("b", b.address, call), { type: "broken" });
    }
});

test("a call is not run for a peer with another secret, for another router, or from another sender", async () => {
    const b = await startRouter("b");
    const [a, stranger] = [await startRouter("a"), await startRouter("a", { fleetSecret: "other" })];
    assert.equal(await stranger.transport.forwardCall("b", b.address, call), { type: "broken" });
    assert.equal(await a.transport.forwardCall("c", b.address, call), { type: "broken" });
    const forged = { ...call, forwardedBy: "c" };
    assert.equal(await a.transport.forwardCall("b", b.address, forged), { type: "broken" });
    assert.is(b.calls.length, 0);
});

test.run();
