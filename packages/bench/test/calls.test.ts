/** Guards against orders that run twice, and against calls that live on after their caller has gone. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { startTestFleet, type TestFleet, waitFor } from "./testFleet.js";

let fleet: TestFleet;
test.before(async () => {
    fleet = await startTestFleet();
});
test.after(() => fleet.stop());

test("an order retried through another router gets the recorded answer and runs once", async () => {
    const key = await fleet.mintKey(0);
    const order = { orderId: "retried", key };
    const first = await fleet.sendOrder(0, order);
    const again = await fleet.sendOrder(1, order);
    assert.equal([first.outcome, again.outcome, again.crossed], ["complete", "complete", false], JSON.stringify(again));
    assert.is((await fleet.sumExecutions())["retried"], 1);
});

test("a retry while the first attempt runs waits for its answer and runs nothing", async () => {
    const key = await fleet.mintKey(0);
    const order = { orderId: "concurrent", key };
    const results = await Promise.all([0, 1, 2].map(index => fleet.sendOrder(index, order)));
    assert.equal(results.map(({ outcome }) => outcome), ["complete", "complete", "complete"]);
    assert.is((await fleet.sumExecutions())["concurrent"], 1);
});

test("callers that hang up while queued, streaming or waiting for an order leave nothing behind", async () => {
    const routers = [0, 1, 2];
    const patienceMs = 150;
    const results = await Promise.all(routers.flatMap(index =>
        Array.from({ length: 12 }, () => [
            fleet.sendChat(index, { maxTokens: 500, patienceMs }),
            fleet.sendOrder(index, { patienceMs }),
        ]).flat()
    ));
    assert.ok(results.some(({ outcome }) => outcome !== "complete"), "no caller hung up");
    for (const index of routers) {
        await waitFor(`router ${index} forgets the calls`, async () => {
            const { queues, openCalls } = await fleet.readStatus(index);
            return openCalls === 0 && queues.every(({ queued, inProgress }) => queued === 0 && inProgress === 0);
        });
    }
    await waitFor("the targets are idle", async () => {
        // A target that fell over refuses connections for a while.
        const stats = (await Promise.all(["khomas-a", "khomas-b"].map(fleet.readStats)).catch(() => undefined))?.flat();
        return stats !== undefined && stats.every(({ concurrency }) => concurrency === 0);
    });
    const afterwards = await Promise.all(routers.flatMap(index => [fleet.sendChat(index), fleet.sendOrder(index)]));
    assert.equal(new Set(afterwards.map(({ outcome }) => outcome)), new Set(["complete"]));
    assert.ok(Object.values(await fleet.sumExecutions()).every(count => count === 1), "an order ran twice");
});

test.run();
