/** Guards against relaying truncated, misdirected or malformed responses of plain services, and against resends. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createCall, runCall, withClient } from "./callFixtures.js";
import { startRawTarget } from "./rawTarget.js";

const okStatus = "HTTP/1.1 200 OK\r\n";
const sized = `${okStatus}content-length: 4\r\n`;
const complete = `${sized}\r\ndone`;
const chunked = `${okStatus}transfer-encoding: chunked\r\n\r\n`;
const earlyHints = "HTTP/1.1 103 Hints\r\n\r\n";
const longBody = "x".repeat(70_000);
const closed = "UND_ERR_SOCKET";
const malformed = "malformed HTTP response";

/** Name, bytes that the target sends, and the body relayed to the caller. */
const completeCases: readonly (readonly [name: string, bytes: string, relayed: string])[] = [
    ["complete", complete, "done"],
    ["complete, chunked", `${chunked}4\r\ndone\r\n0\r\n\r\n`, "done"],
    ["status without a body", "HTTP/1.1 204 No Content\r\n\r\n", ""],
    ["client error of the service", "HTTP/1.1 404 No\r\ncontent-length: 2\r\n\r\nno", "no"],
    ["103 and 102 before the response", `${earlyHints}HTTP/1.1 102 Wait\r\n\r\n${complete}`, "done"],
    ["second response after the first", `${complete}${complete}`, "done"],
    ["the request id of the attempt", `${sized}x-request-id: call-1.1\r\n\r\ndone`, "done"],
];

/** Name, bytes that the target sends, reason, and the body relayed to the caller if the response was started. */
const brokenCases: readonly (readonly [name: string, bytes: string, reason: string, relayed?: string])[] = [
    ["the request id of another request", `${sized}x-request-id: call-2.1\r\n\r\ndone`, "response to another request"],
    ["closed without a response", "", closed],
    ["closed within the status line", "HTTP/1.1 20", closed],
    ["closed within the headers", `${okStatus}content-le`, closed],
    ["not HTTP", "\u0000\u0001garbage\r\n\r\n", malformed],
    ["body shorter than its length", `${okStatus}content-length: 9\r\n\r\ndone`, closed],
    ["truncated large body", `${okStatus}content-length: 99999\r\n\r\n${longBody}`, closed, longBody],
    ["truncated chunked body", `${chunked}4\r\ndone\r\n`, closed],
    ["malformed chunk size", `${chunked}zz\r\ndone\r\n`, malformed],
    ["body delimited by the end of the connection", `${okStatus}\r\ndone`, "response of unknown length"],
    [
        "both content-length and chunked encoding",
        `${sized}${chunked.slice(okStatus.length)}4\r\ndone\r\n0\r\n\r\n`,
        "UND_ERR_RES_CONTENT_LENGTH_MISMATCH",
    ],
    ["headers over the limit", `${okStatus}x-large: ${"x".repeat(20_000)}\r\n\r\n`, "UND_ERR_HEADERS_OVERFLOW"],
    ["100 that was not requested", `HTTP/1.1 100 Continue\r\n\r\n${complete}`, closed],
    ["101 that was not requested", "HTTP/1.1 101 No\r\nconnection: upgrade\r\nupgrade: other\r\n\r\n", closed],
    ["000 before a response", `HTTP/1.1 000 No\r\ncontent-length: 0\r\n\r\n${complete}`, "0 is not a status"],
    ["too many 103", earlyHints.repeat(9), "too many informational responses"],
    ["500", "HTTP/1.1 500 Error\r\ncontent-length: 0\r\n\r\n", "status 500"],
    [
        "503 with x-not-run, which is not trusted",
        "HTTP/1.1 503 No\r\nx-not-run: true\r\ncontent-length: 0\r\n\r\n",
        "status 503",
    ],
    ["no response, connection open", "", "UND_ERR_HEADERS_TIMEOUT"],
    ["stalled body, connection open", `${okStatus}content-length: 9\r\n\r\ndone`, "UND_ERR_BODY_TIMEOUT"],
];

const cases = [
    ...completeCases.map(([name, bytes, relayed]) => ({ name, bytes, result: "complete", reason: undefined, relayed })),
    ...brokenCases.map(([name, bytes, reason, relayed]) => ({ name, bytes, result: "broken", reason, relayed })),
];

for (const idempotent of [false, true]) {
    for (const { name, bytes, result, reason, relayed } of cases) {
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
            const responseStarted = relayed !== undefined;
            assert.equal(end, {
                result,
                sent: true,
                responseStarted,
                cost: 3,
                startId: undefined,
                reason,
            });
            assert.is(call.recorded.startCount, responseStarted ? 1 : 0);
            assert.is(text, relayed ?? "");
            assert.is(target.received.join("").split("POST /orders").length - 1, 1, "sent once");
        });
    }
}

test.run();
