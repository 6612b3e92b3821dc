/** Guards against incomplete, crossed or repeated answers and against wrong statements about what was sent. */
import { createModelStandIn } from "@rhubarbwheel/stand-ins/createModelStandIn";
import { createPlainStandIn } from "@rhubarbwheel/stand-ins/createPlainStandIn";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createTargetClient } from "../src/createTargetClient.js";
import { createCall, runCall } from "./callFixtures.js";

test("a stream is passed on whole", async () => {
    const model = createModelStandIn({ tokenBaseMs: 1, tokenSlopeMs: 0 });
    const { port } = await model.listen(0);
    const client = createTargetClient({ clock: () => performance.now() });
    const call = createCall({ streaming: true, body: { user: "ada/1", max_tokens: 5, stream: true } });
    const { end, text } = await runCall(client, call, `http://127.0.0.1:${port}`);
    assert.is(end.result, "complete");
    assert.is(end.cost, 10 + 2 * 5);
    assert.ok(text.includes("ada/1#4") && text.endsWith("data: [DONE]\n\n"));
    await client.close();
    await model.close();
});

test("an order runs once", async () => {
    const plain = createPlainStandIn({ executeMs: 0 });
    const { port } = await plain.listen(0);
    const client = createTargetClient({ clock: () => performance.now() });
    const call = createCall({ kind: "plain", path: "/orders", idempotent: false, body: { orderId: "o1" } });
    const { end, status } = await runCall(client, call, `http://127.0.0.1:${port}`);
    assert.is(end.result, "complete");
    assert.is(status, 201);
    assert.equal(plain.readExecutions(), { o1: 1 });
    const polled = await client.pollLoad("t1", `http://127.0.0.1:${port}`);
    assert.is(polled.type === "reported" && polled.report.startId, end.startId);
    await client.close();
    await plain.close();
});

test.run();
