/** Guards against answers of plain services that are passed on cut off, crossed or malformed, and against second sends. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createCall, runCall, withClient } from "./callFixtures.js";
import { startRawTarget } from "./rawTarget.js";

const ok = "HTTP/1.1 200 OK\r\n";
const sized = `${ok}content-length: 4\r\n`;
const complete = `${sized}\r\ndone`;
const chunked = `${ok}transfer-encoding: chunked\r\n\r\n`;
const hints = "HTTP/1.1 103 Hints\r\n\r\n";
const longBody = "x".repeat(70_000);
const lost = "UND_ERR_SOCKET";
const malformed = "malformed answer";

/** Name, bytes that the target answers with, and what the caller gets. */
const completeCases: readonly (readonly [name: string, bytes: string, passed: string])[] = [
    ["complete", complete, "done"],
    ["complete, chunked", `${chunked}4\r\ndone\r\n0\r\n\r\n`, "done"],
    ["no body by status", "HTTP/1.1 204 No Content\r\n\r\n", ""],
    ["client error of the service", "HTTP/1.1 404 No\r\ncontent-length: 2\r\n\r\nno", "no"],
    ["103 and 102 before the answer", `${hints}HTTP/1.1 102 Wait\r\n\r\n${complete}`, "done"],
    ["second answer behind the first", `${complete}${complete}`, "done"],
    ["the request id of the attempt", `${sized}x-request-id: call-1.1\r\n\r\ndone`, "done"],
];

/** Name, bytes, the reason of the break, and what the caller gets if the answer was begun. */
const brokenCases: readonly (readonly [name: string, bytes: string, reason: string, passed?: string])[] = [
    ["the request id of another request", `${sized}x-request-id: call-2.1\r\n\r\ndone`, "answer to another request"],
    ["closed without an answer", "", lost],
    ["closed within the status line", "HTTP/1.1 20", lost],
    ["closed within the headers", `${ok}content-le`, lost],
    ["no HTTP", "\u0000\u0001garbage\r\n\r\n", malformed],
    ["body shorter than its length", `${ok}content-length: 9\r\n\r\ndone`, lost],
    ["large body cut off", `${ok}content-length: 99999\r\n\r\n${longBody}`, lost, longBody],
    ["chunked body cut off", `${chunked}4\r\ndone\r\n`, lost],
    ["chunk size malformed", `${chunked}zz\r\ndone\r\n`, malformed],
    ["body that ends with the connection", `${ok}\r\ndone`, "answer of unknown length"],
    [
        "two kinds of length",
        `${sized}${chunked.slice(ok.length)}4\r\ndone\r\n0\r\n\r\n`,
        "UND_ERR_RES_CONTENT_LENGTH_MISMATCH",
    ],
    ["headers over the limit", `${ok}x-large: ${"x".repeat(20_000)}\r\n\r\n`, "UND_ERR_HEADERS_OVERFLOW"],
    ["100 that was not asked for", `HTTP/1.1 100 Continue\r\n\r\n${complete}`, lost],
    ["101 that was not asked for", "HTTP/1.1 101 No\r\nconnection: upgrade\r\nupgrade: other\r\n\r\n", lost],
    ["103 without end", hints.repeat(9), "too many informational answers"],
    ["500", "HTTP/1.1 500 Error\r\ncontent-length: 0\r\n\r\n", "status 500"],
    [
        "503 that claims not to have run",
        "HTTP/1.1 503 No\r\nx-not-run: true\r\ncontent-length: 0\r\n\r\n",
        "status 503",
    ],
    ["no answer, connection open", "", "UND_ERR_HEADERS_TIMEOUT"],
    ["body that stops, connection open", `${ok}content-length: 9\r\n\r\ndone`, "UND_ERR_BODY_TIMEOUT"],
];

const cases = [
    ...completeCases.map(([name, bytes, passed]) => ({ name, bytes, result: "complete", reason: undefined, passed })),
    ...brokenCases.map(([name, bytes, reason, passed]) => ({ name, bytes, result: "broken", reason, passed })),
];

for (const idempotent of [false, true]) {
    for (const { name, bytes, result, reason, passed } of cases) {
        test(`${idempotent ? "idempotent" : "non-idempotent"} call, ${name}: ${result}`, async () => {
            const isOpen = name.endsWith("connection open");
            const target = await startRawTarget(socket => {
                if (bytes !== "") socket.write(bytes, "latin1");
                if (!isOpen) socket.end();
            });
            const call = createCall({ kind: "plain", idempotent, body: { orderId: "o1" } });
            const answerTimeoutMs = isOpen ? 60 : 5_000;
            const { end, text } = await withClient(client =>
                runCall(client, call, target.address, { answerTimeoutMs })
            );
            await target.close();
            const answered = passed !== undefined;
            assert.equal(end, { result, sent: true, responseStarted: answered, cost: 3, startId: undefined, reason });
            assert.is(call.recorded.begun, answered ? 1 : 0);
            assert.is(text, passed ?? "");
            assert.is(target.received.join("").split("POST /orders").length - 1, 1, "sent once");
        });
    }
}

test.run();
