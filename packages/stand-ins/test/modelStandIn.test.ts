/** Guards against a stand-in that hides overload, crossed answers or lost output from the tests that rely on it. */
import { setTimeout as sleep } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createModelStandIn } from "../src/createModelStandIn.js";
import type { ModelStandInOptions } from "../src/createModelStandIn.js";

type Model = ReturnType<typeof createModelStandIn>;

async function withModel(
    opts: ModelStandInOptions,
    use: (model: Model, address: string) => Promise<void>,
): Promise<void> {
    const model = createModelStandIn({ tokenBaseMs: 1, tokenSlopeMs: 0, loadLagMs: 0, ...opts });
    const { port } = await model.listen(0);
    try {
        await use(model, `http://127.0.0.1:${port}`);
    }
    finally {
        await model.close();
    }
}

function post(address: string, body: object, headers: Record<string, string> = {}): Promise<Response> {
    return fetch(`${address}/v1/chat/completions`, { method: "POST", body: JSON.stringify(body), headers });
}

/** Returns the outcome of a request that may be dropped. */
const settle = (address: string, body: object): Promise<string> =>
    post(address, body).then(answer => answer.text()).then(() => "answered", () => "dropped");

test("JSON and stream carry the user in every token, the ids and the usage", () =>
    withModel({}, async (model, address) => {
        const wanted = { user: "ada/7", max_tokens: 3, messages: [{ content: "12345678" }] };
        const answer = await post(address, wanted, { "x-request-id": "r1" });
        assert.is(answer.headers.get("x-request-id"), "r1");
        assert.is(answer.headers.get("x-start-id"), model.readStats()["startId"]);
        const body = await answer.json() as { choices: { message: { content: string; }; }[]; usage: object; };
        assert.is(body.choices[0]?.message.content, "ada/7#0 ada/7#1 ada/7#2 ");
        const details = { cached_tokens: 0 };
        assert.equal(Object.values(body.usage), [2, 3, 5, details], "input, output, total and cached tokens");
        const stream = await (await post(address, { ...wanted, stream: true, stream_options: { include_usage: true } }))
            .text();
        assert.is(stream.split("data: {").length - 1, 4);
        assert.ok(stream.includes(`"cached_tokens":2`) && stream.endsWith("data: [DONE]\n\n"));
        assert.equal(model.readStats()["tokensByWorkspace"], { ada: { inputTokens: 4, outputTokens: 6 } });
    }));

test("a cold target falls over above its cold limit, refuses connections, and returns with a new start id", () =>
    withModel({ coldLimit: 2, fellOverMs: 50 }, async (model, address) => {
        const before = model.readStats()["startId"];
        const outcomes = await Promise.all([1, 2, 3].map(() => settle(address, { max_tokens: 400 })));
        assert.equal(outcomes, ["dropped", "dropped", "dropped"]);
        const { fellOver, maxColdConcurrency, startId, concurrency } = model.readStats();
        assert.equal([fellOver, maxColdConcurrency, concurrency], [1, 3, 0]);
        assert.is.not(startId, before);
        while (await settle(address, { max_tokens: 1 }) !== "answered") await sleep(10);
    }));

test("a target is warm after enough completed requests, and cold again after a restart", () =>
    withModel({ coldLimit: 1, warmAfterCompleted: 2 }, async (model, address) => {
        await settle(address, { max_tokens: 1 });
        assert.is(model.readStats()["cold"], true);
        await settle(address, { max_tokens: 1 });
        assert.is(model.readStats()["cold"], false);
        assert.equal(await Promise.all([1, 2, 3].map(() => settle(address, { max_tokens: 2 }))), [
            "answered",
            "answered",
            "answered",
        ]);
        await fetch(`${address}/control/restart`, { method: "POST" });
        while (model.readStats()["starts"] === 1) await sleep(1);
        assert.is(model.readStats()["cold"], true);
    }));

test("requests beyond the batch wait, a cancelled one makes room, and the load report shows both", () =>
    withModel({ maxBatch: 1, startsCold: false, tokenBaseMs: 5 }, async (model, address) => {
        const readLoad = async () => {
            const { running, queued } = await (await fetch(`${address}/load`)).json() as {
                running: number;
                queued: number;
            };
            return [running, queued];
        };
        const cancelled = new AbortController();
        const first = fetch(`${address}/v1/chat/completions`, {
            method: "POST",
            body: JSON.stringify({ max_tokens: 100_000 }),
            signal: cancelled.signal,
        });
        const dropped = first.then(() => "answered", () => "cancelled");
        while ((await readLoad())[0] !== 1) await sleep(1);
        const second = settle(address, { max_tokens: 2 });
        while ((await readLoad())[1] !== 1) await sleep(1);
        assert.equal(await readLoad(), [1, 1]);
        cancelled.abort();
        assert.equal([await dropped, await second], ["cancelled", "answered"]);
        assert.is(model.readStats()["cancelled"], 1);
    }));

test("a broken stream continues at the chunk that the caller names", () =>
    withModel({ startsCold: false }, async (model, address) => {
        model.setFaults({ closeEarly: 1, closeAfterChunks: 2 });
        const wanted = { user: "ada/1", max_tokens: 5, stream: true };
        await post(address, wanted, { "x-request-id": "r1" }).then(answer => answer.text()).catch(() => undefined);
        const rest = await (await post(address, wanted, { "x-request-id": "r2", "x-resume": "r1;2" })).text();
        assert.equal([...rest.matchAll(/ada\/1#(\d)/g)].map(match => match[1]), ["2", "3", "4"]);
        assert.is((await post(address, wanted, { "x-resume": "r1;2" })).status, 409, "a finished stream is forgotten");
        assert.is((await post(address, wanted, { "x-resume": "unknown;0" })).status, 409);
    }));

test("the finished part of a broken stream is kept for 30 s", () => {
    let passedMs = 0;
    return withModel({ startsCold: false, clock: () => performance.now() + passedMs }, async (model, address) => {
        for (const [waitMs, status] of [[29_000, 200], [30_001, 409]] as const) {
            model.setFaults({ closeEarly: 1 });
            await post(address, { stream: true }, { "x-request-id": "r1" }).then(answer => answer.text()).catch(() =>
                undefined
            );
            while (model.readStats()["concurrency"] !== 0) await sleep(1);
            passedMs += waitMs;
            const resumed = await post(address, { stream: true }, { "x-resume": "r1;1" });
            assert.is(resumed.status, status);
            await resumed.text();
        }
    });
});

const faultCases = [
    { fault: "status500", expected: "500" },
    { fault: "notRun", expected: "503" },
    { fault: "garbageBody", expected: "200 <html>not an answer" },
    { fault: "garbage", expected: "dropped" },
    { fault: "informational", expected: "200" },
] as const;

for (const { fault, expected } of faultCases) {
    test(`fault ${fault} occurs once: ${expected}`, () =>
        withModel({ startsCold: false }, async (model, address) => {
            const ask = () =>
                post(address, { max_tokens: 1 }).then(async answer => `${answer.status} ${await answer.text()}`, () =>
                    "dropped");
            await fetch(`${address}/control/faults`, { method: "PUT", body: JSON.stringify({ [fault]: 1 }) });
            assert.ok((await ask()).startsWith(expected));
            assert.ok((await ask()).startsWith("200 {"));
            assert.equal(model.readStats()["faults"], { [fault]: 1 });
        }));
}

test.run();
