/** Guards against answers of plain services that are passed on cut off, crossed or malformed, and against second sends. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createCall, runCall, withClient } from "./callFixtures.js";
import { startRawTarget } from "./rawTarget.js";

interface FaultCase {
    readonly name: string;
    /** Bytes that the target answers with; `"hang"` keeps the connection open without an answer. */
    readonly bytes: string;
    /** Whether the target keeps the connection open after the bytes. */
    readonly open?: boolean;
    readonly result: "complete" | "broken";
    readonly reason?: string;
    /** What the caller got; `undefined` when the answer was never begun. */
    readonly passed?: string;
}

const ok = "HTTP/1.1 200 OK\r\n";
const complete = `${ok}content-length: 4\r\n\r\ndone`;
const longBody = "x".repeat(70_000);

const cases: readonly FaultCase[] = [
    { name: "complete", bytes: complete, result: "complete", passed: "done" },
    {
        name: "complete, chunked",
        bytes: `${ok}transfer-encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n`,
        result: "complete",
        passed: "done",
    },
    { name: "no body by status", bytes: "HTTP/1.1 204 No Content\r\n\r\n", result: "complete", passed: "" },
    {
        name: "client error of the service",
        bytes: "HTTP/1.1 404 No\r\ncontent-length: 2\r\n\r\nno",
        result: "complete",
        passed: "no",
    },
    {
        name: "103 and 102 before the answer",
        bytes: `HTTP/1.1 103 Hints\r\n\r\nHTTP/1.1 102 Wait\r\n\r\n${complete}`,
        result: "complete",
        passed: "done",
    },
    { name: "second answer behind the first", bytes: `${complete}${complete}`, result: "complete", passed: "done" },
    {
        name: "the request id of the attempt",
        bytes: complete.replace("\r\n\r\n", "\r\nx-request-id: call-1.1\r\n\r\n"),
        result: "complete",
        passed: "done",
    },
    {
        name: "the request id of another request",
        bytes: complete.replace("\r\n\r\n", "\r\nx-request-id: call-2.1\r\n\r\n"),
        result: "broken",
        reason: "answer to another request",
    },
    { name: "closed without an answer", bytes: "", result: "broken", reason: "UND_ERR_SOCKET" },
    { name: "closed within the status line", bytes: "HTTP/1.1 20", result: "broken", reason: "UND_ERR_SOCKET" },
    { name: "closed within the headers", bytes: `${ok}content-le`, result: "broken", reason: "UND_ERR_SOCKET" },
    { name: "no HTTP", bytes: "\u0000\u0001garbage\r\n\r\n", result: "broken", reason: "malformed answer" },
    {
        name: "body shorter than its length",
        bytes: `${ok}content-length: 9\r\n\r\ndone`,
        result: "broken",
        reason: "UND_ERR_SOCKET",
    },
    {
        name: "chunked body cut off",
        bytes: `${ok}transfer-encoding: chunked\r\n\r\n4\r\ndone\r\n`,
        result: "broken",
        reason: "UND_ERR_SOCKET",
    },
    {
        name: "chunk size malformed",
        bytes: `${ok}transfer-encoding: chunked\r\n\r\nzz\r\ndone\r\n`,
        result: "broken",
        reason: "malformed answer",
    },
    {
        name: "body that ends with the connection",
        bytes: `${ok}\r\ndone`,
        result: "broken",
        reason: "answer of unknown length",
    },
    {
        name: "two kinds of length",
        bytes: `${ok}content-length: 4\r\ntransfer-encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n`,
        result: "broken",
        reason: "UND_ERR_RES_CONTENT_LENGTH_MISMATCH",
    },
    {
        name: "headers over the limit",
        bytes: `${ok}x-large: ${"x".repeat(20_000)}\r\n\r\n`,
        result: "broken",
        reason: "UND_ERR_HEADERS_OVERFLOW",
    },
    {
        name: "100 that was not asked for",
        bytes: `HTTP/1.1 100 Continue\r\n\r\n${complete}`,
        result: "broken",
        reason: "UND_ERR_SOCKET",
    },
    {
        name: "101 that was not asked for",
        bytes: "HTTP/1.1 101 Switching\r\nconnection: upgrade\r\nupgrade: other\r\n\r\n",
        result: "broken",
        reason: "UND_ERR_SOCKET",
    },
    {
        name: "103 without end",
        bytes: "HTTP/1.1 103 Hints\r\n\r\n".repeat(9),
        result: "broken",
        reason: "too many informational answers",
    },
    { name: "500", bytes: "HTTP/1.1 500 Error\r\ncontent-length: 0\r\n\r\n", result: "broken", reason: "status 500" },
    {
        name: "503 that claims not to have run",
        bytes: "HTTP/1.1 503 Busy\r\nx-not-run: true\r\ncontent-length: 0\r\n\r\n",
        result: "broken",
        reason: "status 503",
    },
    { name: "no answer", bytes: "", open: true, result: "broken", reason: "UND_ERR_HEADERS_TIMEOUT" },
    {
        name: "body that stops",
        bytes: `${ok}content-length: 9\r\n\r\ndone`,
        open: true,
        result: "broken",
        reason: "UND_ERR_BODY_TIMEOUT",
    },
    {
        name: "large body cut off",
        bytes: `${ok}content-length: 99999\r\n\r\n${longBody}`,
        result: "broken",
        reason: "UND_ERR_SOCKET",
        passed: longBody,
    },
];

for (const idempotent of [false, true]) {
    for (const { name, bytes, open, result, reason, passed } of cases) {
        test(`${idempotent ? "idempotent" : "non-idempotent"} call, ${name}: ${result}`, async () => {
            const target = await startRawTarget(socket => {
                if (bytes !== "") socket.write(bytes, "latin1");
                if (open !== true) socket.end();
            });
            const call = createCall({ kind: "plain", idempotent, body: { orderId: "o1" } });
            const answerTimeoutMs = open === true ? 60 : 5_000;
            const { end, text } = await withClient(client =>
                runCall(client, call, target.address, { answerTimeoutMs })
            );
            await target.close();
            assert.equal({ result: end.result, reason: end.reason, sent: end.sent }, { result, reason, sent: true });
            assert.is(end.answered, passed !== undefined);
            assert.is(call.recorded.begun, passed === undefined ? 0 : 1);
            assert.is(text, passed ?? "");
            assert.is(end.cost, 3);
            assert.is(target.received.join("").split("POST /orders").length - 1, 1, "sent once");
        });
    }
}

test.run();
