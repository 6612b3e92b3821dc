/** Guards against executions that are not recorded, which would hide a request that is executed twice. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createPlainStandIn } from "../src/createPlainStandIn.js";
import type { PlainFault } from "../src/createPlainStandIn.js";

const cases: readonly {
    readonly fault: PlainFault | "none";
    readonly expected: string;
    readonly executions: object;
}[] = [
    { fault: "none", expected: "201", executions: { o1: 1 } },
    { fault: "informational", expected: "201", executions: { o1: 1 } },
    { fault: "dropAnswer", expected: "dropped", executions: { o1: 1 } },
    { fault: "shortBody", expected: "dropped", executions: { o1: 1 } },
    { fault: "garbage", expected: "dropped", executions: { o1: 1 } },
    { fault: "status500", expected: "500", executions: { o1: 1 } },
    { fault: "closeBeforeReading", expected: "dropped", executions: {} },
    { fault: "notRun", expected: "503", executions: {} },
];

for (const { fault, expected, executions } of cases) {
    test(`an order with fault ${fault} gets ${expected} and is recorded if it was executed`, async () => {
        const plain = createPlainStandIn({ executeMs: 1 });
        const { port } = await plain.listen(0);
        if (fault !== "none") plain.setFaults({ [fault]: 1 });
        const body = JSON.stringify({ orderId: "o1" });
        const outcome = await fetch(`http://127.0.0.1:${port}/orders`, { method: "POST", body })
            .then(async response => [response.status, await response.text()], () => ["dropped"])
            .catch(() => ["dropped"]);
        const recordedExecutions = await (await fetch(`http://127.0.0.1:${port}/control/executions`)).json();
        await plain.close();
        assert.is(String(outcome[0]), expected);
        assert.equal(recordedExecutions, executions);
    });
}

test("orders above maxParallel are queued, and a restart discards those that have not been executed", async () => {
    const plain = createPlainStandIn({ executeMs: 20, maxParallel: 1, startsCold: false, loadLagMs: 0 });
    const { port } = await plain.listen(0);
    const sendOrder = (orderId: string) =>
        fetch(`http://127.0.0.1:${port}/orders`, { method: "POST", body: JSON.stringify({ orderId }) })
            .then(response => response.status, () => "dropped");
    assert.equal(await Promise.all([sendOrder("o1"), sendOrder("o2"), sendOrder("o1")]), [201, 201, 201]);
    assert.equal(plain.readExecutions(), { o1: 2, o2: 1 });
    const pendingOrder = sendOrder("o3");
    while (plain.readStats()["concurrency"] === 0) await new Promise(setImmediate);
    plain.restart();
    assert.is(await pendingOrder, "dropped");
    assert.is(await sendOrder("o4"), 201);
    assert.equal(plain.readExecutions(), { o1: 2, o2: 1, o4: 1 });
    await plain.close();
});

test("lookups get a response and are not recorded as executions", async () => {
    const plain = createPlainStandIn({ lookupMs: 0 });
    const { port } = await plain.listen(0);
    const stock = await (await fetch(`http://127.0.0.1:${port}/stock/board/42`)).json() as { item: string; };
    await plain.close();
    assert.is(stock.item, "board/42");
    assert.equal([plain.readExecutions(), plain.readStats()["lookups"]], [{}, 1]);
});

test.run();
