/** Guards against executions that are not recorded, which would hide a call that ran twice. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createPlainStandIn } from "../src/createPlainStandIn.js";
import type { PlainFault } from "../src/createPlainStandIn.js";

const cases: readonly { readonly fault: PlainFault | "none"; readonly answer: string; readonly executions: object; }[] =
    [
        { fault: "none", answer: "201", executions: { o1: 1 } },
        { fault: "informational", answer: "201", executions: { o1: 1 } },
        { fault: "dropAnswer", answer: "dropped", executions: { o1: 1 } },
        { fault: "shortBody", answer: "dropped", executions: { o1: 1 } },
        { fault: "garbage", answer: "dropped", executions: { o1: 1 } },
        { fault: "status500", answer: "500", executions: { o1: 1 } },
        { fault: "closeBeforeReading", answer: "dropped", executions: {} },
        { fault: "notRun", answer: "503", executions: {} },
    ];

for (const { fault, answer, executions } of cases) {
    test(`order with fault ${fault}: ${answer}`, async () => {
        const plain = createPlainStandIn({ executeMs: 1 });
        const { port } = await plain.listen(0);
        if (fault !== "none") plain.setFaults({ [fault]: 1 });
        const body = JSON.stringify({ orderId: "o1" });
        const got = await fetch(`http://127.0.0.1:${port}/orders`, { method: "POST", body })
            .then(async response => [response.status, await response.text()], () => ["dropped"])
            .catch(() => ["dropped"]);
        const recorded = await (await fetch(`http://127.0.0.1:${port}/control/executions`)).json();
        await plain.close();
        assert.is(String(got[0]), answer);
        assert.equal(recorded, executions);
    });
}

test("orders beyond the parallel limit wait; a restart forgets those that have not run", async () => {
    const plain = createPlainStandIn({ executeMs: 20, maxParallel: 1, startsCold: false, loadLagMs: 0 });
    const { port } = await plain.listen(0);
    const order = (orderId: string) =>
        fetch(`http://127.0.0.1:${port}/orders`, { method: "POST", body: JSON.stringify({ orderId }) })
            .then(response => response.status, () => "dropped");
    assert.equal(await Promise.all([order("o1"), order("o2"), order("o1")]), [201, 201, 201]);
    assert.equal(plain.readExecutions(), { o1: 2, o2: 1 });
    const running = order("o3");
    while (plain.readStats()["concurrency"] === 0) await new Promise(setImmediate);
    plain.restart();
    assert.is(await running, "dropped");
    assert.is(await order("o4"), 201);
    assert.equal(plain.readExecutions(), { o1: 2, o2: 1, o4: 1 });
    await plain.close();
});

test("lookups are answered and not recorded as executions", async () => {
    const plain = createPlainStandIn({ lookupMs: 0 });
    const { port } = await plain.listen(0);
    const answer = await (await fetch(`http://127.0.0.1:${port}/stock/board/42`)).json() as { item: string; };
    await plain.close();
    assert.is(answer.item, "board/42");
    assert.equal([plain.readExecutions(), plain.readStats()["lookups"]], [{}, 1]);
});

test.run();
