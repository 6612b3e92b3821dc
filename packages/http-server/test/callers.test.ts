/** Guards against wrong statuses and outcomes, missing authentication, smuggled headers and undetected truncation. */
import type { Call, CallResponder } from "@rhubarbwheel/types/ports";
import { connect } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { callerHeaders, createChatBody, startTestServer, waitUntil } from "./startTestServer.js";

const completions = "/v1/chat/completions";
const headerSets: Readonly<Record<string, Record<string, string>>> = {
    none: {},
    caller: callerHeaders,
    unknown: { authorization: "Bearer x" },
    workspace: { "rhubarbwheel-workspace": "oryx" },
    chunked: { ...callerHeaders, "transfer-encoding": "chunked" },
    badKey: { ...callerHeaders, "idempotency-key": "a b" },
};
const bodies: Readonly<Record<string, string>> = {
    none: "",
    chat: createChatBody(),
    hugeModel: createChatBody({ model: "huge" }),
    noMessages: createChatBody({ messages: [] }),
    long: "x".repeat(2001),
};

// Each row: fault | request | headers | body | expected status and code.
const refusals = `
no credential | POST ${completions} | none | chat | 401 CREDENTIAL_MISSING
unknown credential | POST ${completions} | unknown | chat | 401 CREDENTIAL_UNKNOWN
workspace header instead of a credential | POST ${completions} | workspace | chat | 401 CREDENTIAL_MISSING
unknown service | POST /services/none/x | caller | none | 404 SERVICE_UNKNOWN
model called as a plain service | POST /services/assistant/x | caller | none | 404 SERVICE_UNKNOWN
unknown model | POST ${completions} | caller | hugeModel | 404 MODEL_UNKNOWN
over-limit body | POST ${completions} | caller | long | 413 BODY_TOO_LARGE
over-limit chunked body | POST ${completions} | chunked | long | 413 BODY_TOO_LARGE
malformed JSON | POST ${completions} | caller | { | 400 BODY_MALFORMED
JSON that is not an object | POST ${completions} | caller | [] | 400 BODY_MALFORMED
no messages | POST ${completions} | caller | noMessages | 400 BODY_MALFORMED
malformed key | POST /services/desk/o | badKey | none | 400 KEY_MALFORMED
dot segments | GET /services/desk/stock/../orders | caller | none | 400 PATH_INVALID
encoded dot segments | GET /services/desk/stock/%2e%2E%2forders | caller | none | 400 PATH_INVALID
absolute-form target | GET http://other/services/desk/stock | caller | none | 400 PATH_INVALID
unknown route | GET /v2/x | caller | none | 404 ROUTE_UNKNOWN
wrong method | GET ${completions} | caller | none | 405 METHOD_NOT_ALLOWED
`;

for (const row of refusals.trim().split("\n")) {
    const [name = "", request = "", headers = "", body = "", expected = ""] = row.split(" | ");
    test(`${name}: ${expected}, notRun, nothing submitted`, async () => {
        const server = await startTestServer();
        const [method = "", path = ""] = request.split(" ");
        const received = await server.send(method, path, headerSets[headers], bodies[body] ?? body);
        const { error } = JSON.parse(received.body) as { error: Record<string, string>; };
        assert.equal([`${received.status} ${error["code"]}`, error["outcome"]], [expected, "notRun"]);
        assert.is(received.headers["rhubarbwheel-outcome"], "notRun");
        assert.is(received.headers["rhubarbwheel-request-id"], error["requestId"]);
        assert.is(server.calls.length, 0);
        await server.close();
    });
}

const start = "POST /services/desk/o HTTP/1.1\r\nhost: a\r\nauthorization: Bearer oryx-token\r\nconnection: close\r\n";
const smuggling: readonly [string, string][] = [
    ["over-limit headers", `${start}x-note: ${"a".repeat(9000)}\r\n\r\n`],
    ["two lengths", `${start}content-length: 1\r\ncontent-length: 2\r\n\r\nab`],
    ["length and coding", `${start}content-length: 4\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n`],
    ["unknown coding", `${start}transfer-encoding: xchunked\r\n\r\n0\r\n\r\n`],
    ["two credentials", `${start}authorization: Bearer kudu-token\r\n\r\n`],
    ["control character", `${start}x-note: a\u0001b\r\n\r\n`],
    ["bare carriage return", `${start}x-note: a\rx: b\r\n\r\n`],
    ["space before the colon", `${start}content-length : 1\r\n\r\na`],
    ["folded header", `${start}x-note: a\r\n b: c\r\n\r\n`],
    ["HTTP/1.0", start.replace("HTTP/1.1", "HTTP/1.0") + "\r\n"],
];

for (const [name, text] of smuggling) {
    test(`header smuggling, ${name}: refused and nothing submitted`, async () => {
        const server = await startTestServer();
        const received = await server.sendRaw(text);
        assert.match(received, /^HTTP\/1\.1 4(00|31) .*HEADER_INVALID.*"notRun"/s);
        assert.is(server.calls.length, 0);
        await server.close();
    });
}

test("a call has a cost estimate, and no credentials, hop-by-hop headers or router headers", async () => {
    const server = await startTestServer();
    const extraHeaders = { "rhubarbwheel-workspace": "kudu", "x-keep": "1", connection: "x-drop", "x-drop": "1" };
    const headers = { ...callerHeaders, ...extraHeaders };
    await server.send("POST", completions, headers, createChatBody({ max_tokens: 10, stream: true }));
    await server.send("POST", "/services/desk/orders?x=1", headers, "order");
    await server.send("GET", "/services/desk/stock/7", headers);
    await server.send("GET", "/services/desk/stocktaking", { ...headers, "idempotency-key": "k-1" });
    const summaries = server.calls.map(call => {
        const headerNames = Object.keys(call.headers).filter(name => name !== "idempotency-key").join();
        const head = `${call.workspace} ${call.service} ${call.path} ${call.idempotent} ${call.streaming}`;
        return `${head} ${call.inputCost} ${call.outputCostHint} ${call.callerKey?.slice(0, 4)} ${headerNames}`;
    });
    assert.equal(summaries, [
        "oryx assistant /v1/chat/completions true true 9 20 undefined x-keep",
        "oryx desk /orders?x=1 false false 5 undefined rw1. x-keep",
        "oryx desk /stock/7 true false 5 undefined undefined x-keep",
        "oryx desk /stocktaking false false 5 undefined k-1 x-keep",
    ]);
    assert.is(typeof server.calls[0]?.prefixHash, "number");
    await server.close();
});

const brokenFailure = { code: "TARGET_BROKEN", outcome: "unknown" } as const;
const timeoutFailure = { code: "QUEUE_TIMEOUT", outcome: "notRun", retryAfterMs: 2500 } as const;
const eventStreamHeaders = { "content-type": "text/event-stream" };

/** Steps of a target: starts a response, sends four bytes of the body, ends or fails. */
const steps: Readonly<Record<string, (responder: CallResponder) => unknown>> = {
    startEvents: responder => responder.start(200, eventStreamHeaders),
    startPlain: responder => responder.start(200, { "content-type": "text/plain" }),
    startLength4: responder => responder.start(200, { "content-length": "4" }),
    startLength5: responder => responder.start(200, { "content-length": "5" }),
    startInvalid: responder => responder.start(99, {}),
    write: responder => responder.write(Buffer.from("data")),
    finish: responder => responder.finish(),
    break: responder => responder.fail(brokenFailure),
    refuse: responder => responder.fail(timeoutFailure),
};

// Each row: steps of the target; status, broken connection and body that the caller receives.
const endings: readonly [string, number, boolean, RegExp][] = [
    ["break", 502, false, /TARGET_BROKEN.*"unknown"/],
    ["refuse", 503, false, /QUEUE_TIMEOUT.*"notRun"/],
    ["startEvents write finish", 200, false, /^data$/],
    ["startEvents write break", 200, true, /^data\n\nevent: error\ndata: \{"error":\{"code":"TARGET_BROKEN".*\}\n\n$/],
    ["startEvents break", 200, true, /^\n\nevent: error\ndata: .*\n\n$/],
    ["startPlain write finish", 200, false, /^data$/],
    ["startPlain write break", 200, true, /^data$/],
    ["startLength4 write finish break", 200, false, /^data$/],
    ["startLength5 write finish", 200, true, /^data$/],
    ["startInvalid", 502, false, /TARGET_ANSWER_INVALID.*"unknown"/],
];

for (const [script, status, isBroken, body] of endings) {
    test(`target: ${script}; caller: ${status}, ${isBroken ? "broken" : "complete"}`, async () => {
        const submitCall = (call: Call): void => script.split(" ").forEach(step => steps[step]!(call.responder));
        const server = await startTestServer({ submitCall });
        const received = await server.send("POST", "/services/desk/o", callerHeaders);
        assert.equal([received.status, received.broken, server.cancelled], [status, isBroken, []]);
        assert.match(received.body, body);
        assert.match(received.headers["idempotency-key"] ?? "", /^rw1\./);
        assert.is(received.headers["retry-after"], script === "refuse" ? "3" : undefined);
        await server.close();
    });
}

test("a disconnect cancels the call once; a pipelined request is not submitted", async () => {
    const pendingCalls: Call[] = [];
    const server = await startTestServer({ submitCall: call => pendingCalls.push(call) });
    const request = `${start.replace("connection: close\r\n", "")}\r\n`;
    const socket = connect(server.port, "127.0.0.1", () => socket.write(request + request));
    await waitUntil(() => pendingCalls.length > 0);
    socket.destroy();
    await waitUntil(() => server.cancelled.length > 0);
    pendingCalls[0]?.responder.fail(brokenFailure);
    assert.equal([server.cancelled, pendingCalls.length], [[pendingCalls[0]?.id], 1]);
    await server.close();
});

const slowReaderLimits = { slowReaderTimeoutMs: 20, maxBufferedBytes: 64 * 1024 * 1024 };
for (const limits of [slowReaderLimits, { maxBufferedBytes: 1024 * 1024 }]) {
    test(`the connection of a caller that reads nothing is aborted, with ${JSON.stringify(limits)}`, async () => {
        let drained: Promise<void> | undefined;
        const server = await startTestServer({
            limits,
            submitCall: call => {
                call.responder.start(200, eventStreamHeaders);
                call.responder.write(Buffer.alloc(32 * 1024 * 1024));
                drained = call.responder.waitForDrain();
                drained.catch(() => undefined);
            },
        });
        const socket = connect(server.port, "127.0.0.1", () => socket.write(`${start}\r\n`));
        socket.pause();
        socket.on("error", () => undefined);
        await waitUntil(() => server.cancelled.length === 1);
        const result = await drained?.then(() => "drained", () => "rejected");
        assert.is(result, "rejected");
        socket.destroy();
        await server.close();
    });
}

test("a workspace at its limit of open calls is refused, others are not; ended calls free capacity", async () => {
    const pendingCalls: Call[] = [];
    const server = await startTestServer({
        limits: { maxOpenCallsPerWorkspace: 2 },
        submitCall: call => pendingCalls.push(call),
    });
    const first = [1, 2].map(() => server.send("POST", "/services/desk/o", callerHeaders));
    await waitUntil(() => pendingCalls.length === 2);
    const third = await server.send("POST", "/services/desk/o", callerHeaders);
    assert.equal([third.status, third.headers["retry-after"]], [429, "1"]);
    assert.match(third.body, /QUEUE_FULL.*"notRun"/);
    const other = server.send("POST", "/services/desk/o", { authorization: "Bearer kudu-token" });
    await waitUntil(() => pendingCalls.length === 3);
    pendingCalls.splice(0).forEach(call => call.responder.fail(timeoutFailure));
    await Promise.all([...first, other]);
    const again = server.send("POST", "/services/desk/o", callerHeaders);
    await waitUntil(() => pendingCalls.length === 1);
    pendingCalls[0]?.responder.fail(timeoutFailure);
    assert.is((await again).status, 503);
    await server.close();
});

test("close waits for open calls and accepts no new connection", async () => {
    const pendingCalls: Call[] = [];
    const server = await startTestServer({ submitCall: call => pendingCalls.push(call) });
    const open = server.send("POST", "/services/desk/o", callerHeaders);
    await waitUntil(() => pendingCalls.length === 1);
    const closed = server.close();
    assert.is(await server.send("GET", "/livez").catch((error: { code: string; }) => error.code), "ECONNREFUSED");
    pendingCalls[0]?.responder.fail(timeoutFailure);
    assert.is((await open).status, 503);
    await closed;
});

test.run();
