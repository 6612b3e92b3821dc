/** Guards against a model stand-in that does not expose overload, crossed responses or lost output to tests. */
import { setTimeout as sleep } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createModelStandIn } from "../src/createModelStandIn.js";
import type { ModelStandInOptions } from "../src/createModelStandIn.js";

type Model = ReturnType<typeof createModelStandIn>;

async function withModel(
    opts: ModelStandInOptions,
    run: (model: Model, address: string) => Promise<void>,
): Promise<void> {
    const model = createModelStandIn({ tokenBaseMs: 1, tokenSlopeMs: 0, loadLagMs: 0, ...opts });
    const { port } = await model.listen(0);
    try {
        await run(model, `http://127.0.0.1:${port}`);
    }
    finally {
        await model.close();
    }
}

function post(address: string, body: object, headers: Record<string, string> = {}): Promise<Response> {
    return fetch(`${address}/v1/chat/completions`, { method: "POST", body: JSON.stringify(body), headers });
}

/** Returns whether the request completed or its connection was dropped. */
const getOutcome = (address: string, body: object): Promise<string> =>
    post(address, body).then(response => response.text()).then(() => "completed", () => "dropped");

test("JSON and streamed responses contain the user in every token, the ids and the usage", () =>
    withModel({}, async (model, address) => {
        const requestBody = { user: "ada/7", max_tokens: 3, messages: [{ content: "12345678" }] };
        const response = await post(address, requestBody, { "x-request-id": "r1" });
        assert.is(response.headers.get("x-request-id"), "r1");
        assert.is(response.headers.get("x-start-id"), model.readStats()["startId"]);
        const completion = await response.json() as { choices: { message: { content: string; }; }[]; usage: object; };
        assert.is(completion.choices[0]?.message.content, "ada/7#0 ada/7#1 ada/7#2 ");
        const promptDetails = { cached_tokens: 0 };
        assert.equal(
            Object.values(completion.usage),
            [2, 3, 5, promptDetails],
            "input, output, total and cached tokens",
        );
        const events =
            await (await post(address, { ...requestBody, stream: true, stream_options: { include_usage: true } }))
                .text();
        assert.is(events.split("data: {").length - 1, 4);
        assert.ok(events.includes(`"cached_tokens":2`) && events.endsWith("data: [DONE]\n\n"));
        assert.equal(model.readStats()["tokensByWorkspace"], { ada: { inputTokens: 4, outputTokens: 6 } });
    }));

test("a cold target crashes above its cold limit, refuses connections, and restarts with a new start id", () =>
    withModel({ coldLimit: 2, fellOverMs: 50 }, async (model, address) => {
        const firstStartId = model.readStats()["startId"];
        const outcomes = await Promise.all([1, 2, 3].map(() => getOutcome(address, { max_tokens: 400 })));
        assert.equal(outcomes, ["dropped", "dropped", "dropped"]);
        const { fellOver, maxColdConcurrency, startId, concurrency } = model.readStats();
        assert.equal([fellOver, maxColdConcurrency, concurrency], [1, 3, 0]);
        assert.is.not(startId, firstStartId);
        while (await getOutcome(address, { max_tokens: 1 }) !== "completed") await sleep(10);
    }));

test("a target is warm after enough completed requests, and cold again after a restart", () =>
    withModel({ coldLimit: 1, warmAfterCompleted: 2 }, async (model, address) => {
        await getOutcome(address, { max_tokens: 1 });
        assert.is(model.readStats()["cold"], true);
        await getOutcome(address, { max_tokens: 1 });
        assert.is(model.readStats()["cold"], false);
        assert.equal(await Promise.all([1, 2, 3].map(() => getOutcome(address, { max_tokens: 2 }))), [
            "completed",
            "completed",
            "completed",
        ]);
        await fetch(`${address}/control/restart`, { method: "POST" });
        while (model.readStats()["starts"] === 1) await sleep(1);
        assert.is(model.readStats()["cold"], true);
    }));

test("requests above maxBatch are queued, a cancelled one frees its slot, and the load report counts both", () =>
    withModel({ maxBatch: 1, startsCold: false, tokenBaseMs: 5 }, async (model, address) => {
        const readLoad = async () => {
            const { running, queued } = await (await fetch(`${address}/load`)).json() as {
                running: number;
                queued: number;
            };
            return [running, queued];
        };
        const abortController = new AbortController();
        const firstRequest = fetch(`${address}/v1/chat/completions`, {
            method: "POST",
            body: JSON.stringify({ max_tokens: 100_000 }),
            signal: abortController.signal,
        });
        const firstOutcome = firstRequest.then(() => "completed", () => "cancelled");
        while ((await readLoad())[0] !== 1) await sleep(1);
        const secondOutcome = getOutcome(address, { max_tokens: 2 });
        while ((await readLoad())[1] !== 1) await sleep(1);
        assert.equal(await readLoad(), [1, 1]);
        abortController.abort();
        assert.equal([await firstOutcome, await secondOutcome], ["cancelled", "completed"]);
        assert.is(model.readStats()["cancelled"], 1);
    }));

test("a broken stream resumes at the chunk that the request names", () =>
    withModel({ startsCold: false }, async (model, address) => {
        model.setFaults({ closeEarly: 1, closeAfterChunks: 2 });
        const requestBody = { user: "ada/1", max_tokens: 5, stream: true };
        await post(address, requestBody, { "x-request-id": "r1" }).then(response => response.text()).catch(() =>
            undefined
        );
        const remainingEvents = await (await post(address, requestBody, { "x-request-id": "r2", "x-resume": "r1;2" }))
            .text();
        assert.equal([...remainingEvents.matchAll(/ada\/1#(\d)/g)].map(match => match[1]), ["2", "3", "4"]);
        assert.is(
            (await post(address, requestBody, { "x-resume": "r1;2" })).status,
            409,
            "a completed stream cannot be resumed",
        );
        assert.is((await post(address, requestBody, { "x-resume": "unknown;0" })).status, 409);
    }));

test("a broken stream can be resumed for 30 s", () => {
    let elapsedMs = 0;
    return withModel({ startsCold: false, getNow: () => performance.now() + elapsedMs }, async (model, address) => {
        for (const [advanceMs, status] of [[29_000, 200], [30_001, 409]] as const) {
            model.setFaults({ closeEarly: 1 });
            await post(address, { stream: true }, { "x-request-id": "r1" }).then(response => response.text()).catch(
                () => undefined,
            );
            while (model.readStats()["concurrency"] !== 0) await sleep(1);
            elapsedMs += advanceMs;
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
    test(`fault ${fault} is injected once: ${expected}`, () =>
        withModel({ startsCold: false }, async (model, address) => {
            const getResponse = () =>
                post(address, { max_tokens: 1 }).then(
                    async response => `${response.status} ${await response.text()}`,
                    () => "dropped",
                );
            await fetch(`${address}/control/faults`, { method: "PUT", body: JSON.stringify({ [fault]: 1 }) });
            assert.ok((await getResponse()).startsWith(expected));
            assert.ok((await getResponse()).startsWith("200 {"));
            assert.equal(model.readStats()["faults"], { [fault]: 1 });
        }));
}

test.run();
