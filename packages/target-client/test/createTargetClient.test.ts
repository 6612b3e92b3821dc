/** Guards against attempt results that contradict what the target did, under random faults of all kinds. */
import { createPlainStandIn } from "@rhubarbwheel/stand-ins/createPlainStandIn";
import { setTimeout as sleep } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createCall, runCall, withClient } from "./callFixtures.js";

const faults = {
    dropAnswer: 0.1,
    closeBeforeReading: 0.1,
    status500: 0.1,
    garbage: 0.05,
    shortBody: 0.1,
    crossed: 0.1,
};

for (const seed of [1, 2, 3]) {
    test(`orders under faults, seed ${seed}: reported results match the target's executions`, async () => {
        const plain = createPlainStandIn({ seed, executeMs: 2, startsCold: false, fellOverMs: 20, loadLagMs: 0 });
        const { port } = await plain.listen(0);
        plain.setFaults({ ...faults, informational: 0.2 });
        const results = { complete: 0, broken: 0, refused: 0 };
        await withClient(async client => {
            const sendOrder = async (id: string): Promise<void> => {
                const call = createCall({ id, kind: "plain", idempotent: false, body: { orderId: id } });
                const { end, status } = await runCall(client, call, `http://127.0.0.1:${port}`);
                const executions = plain.readExecutions()[id] ?? 0;
                results[end.result] += 1;
                assert.ok(executions <= 1, `${id} ran ${executions} times`);
                if (end.result === "complete") assert.equal([executions, status], [1, 201], id);
                if (!end.sent) assert.is(executions, 0, id);
                assert.is(end.result === "refused", !end.sent, id);
            };
            for (let round = 0; round < 20; round += 1) {
                const orders = Array.from({ length: 10 }, (_, index) => sendOrder(`${seed}-${round}-${index}`));
                if (round % 5 === 4) plain.crash();
                await Promise.all([...orders, sleep(1)]);
            }
            const polled = await client.pollLoad("t1", `http://127.0.0.1:${port}`);
            assert.is(
                polled.type === "unavailable" || polled.report.startId === plain.targetProcess.getStartId(),
                true,
            );
        });
        await plain.close();
        assert.ok(Object.values(results).every(count => count > 0), JSON.stringify(results));
    });
}

test.run();
