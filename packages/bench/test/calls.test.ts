/** Guards against orders that run twice, and against calls that stay open after their caller has disconnected. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { startTestFleet, type TestFleet, waitFor } from "./testFleet.js";

let fleet: TestFleet;
test.before(async () => {
    fleet = await startTestFleet();
});
test.after(() => fleet.stop());

test("an order retried through another router gets the recorded response and runs once", async () => {
    const key = await fleet.mintKey(0);
    const order = { orderId: "retried", key };
    const first = await fleet.sendOrder(0, order);
    const retry = await fleet.sendOrder(1, order);
    assert.equal([first.outcome, retry.outcome, retry.crossed], ["complete", "complete", false], JSON.stringify(retry));
    assert.is((await fleet.countExecutions())["retried"], 1);
});

test("a retry during the first attempt waits for its response and does not run the order again", async () => {
    const key = await fleet.mintKey(0);
    const order = { orderId: "concurrent", key };
    const results = await Promise.all([0, 1, 2].map(index => fleet.sendOrder(index, order)));
    assert.equal(results.map(({ outcome }) => outcome), ["complete", "complete", "complete"]);
    assert.is((await fleet.countExecutions())["concurrent"], 1);
});

test("callers that disconnect while queued, streaming or waiting for an order leave no open calls", async () => {
    const routers = [0, 1, 2];
    const timeoutMs = 150;
    const results = await Promise.all(routers.flatMap(index =>
        Array.from({ length: 12 }, () => [
            fleet.sendChat(index, { maxTokens: 500, timeoutMs }),
            fleet.sendOrder(index, { timeoutMs }),
        ]).flat()
    ));
    assert.ok(results.some(({ outcome }) => outcome !== "complete"), "no caller disconnected");
    for (const index of routers) {
        await waitFor(`router ${index} has no open calls`, async () => {
            const { queues, openCalls } = await fleet.readStatus(index);
            return openCalls === 0 && queues.every(({ queued, inProgress }) => queued === 0 && inProgress === 0);
        });
    }
    await waitFor("the targets are idle", async () => {
        // A target that crashed under overload refuses connections for 1 s.
        const stats = (await Promise.all(["khomas-a", "khomas-b"].map(fleet.readStats)).catch(() => undefined))?.flat();
        return stats !== undefined && stats.every(({ concurrency }) => concurrency === 0);
    });
    const laterResults = await Promise.all(routers.flatMap(index => [fleet.sendChat(index), fleet.sendOrder(index)]));
    assert.equal(new Set(laterResults.map(({ outcome }) => outcome)), new Set(["complete"]));
    assert.ok(Object.values(await fleet.countExecutions()).every(count => count === 1), "an order ran twice");
});

test.run();
