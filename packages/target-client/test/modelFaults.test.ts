/** Guards against incomplete model responses that are reported as complete, and invalid ones that reach a caller. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createCall, runCall, withClient } from "./callFixtures.js";
import { startRawTarget } from "./rawTarget.js";

const okStatus = "HTTP/1.1 200 OK\r\n";
const streamHead = `${okStatus}content-type: text/event-stream; charset=utf-8\r\n`;
const jsonHead = `${okStatus}content-type: application/json\r\n`;
const first = `data: {"choices":[{"delta":{"content":"a"}}]}\n\n`;
const second = `data: {"choices":[{"delta":{"content":"b"}}]}\n\n`;
const usage = `data: {"choices":[],"usage":{"prompt_tokens":30,"completion_tokens":7}}\n\n`;
const done = "data: [DONE]\n\n";
const complete = first + second + done;
const json = `{"choices":[],"usage":{"prompt_tokens":30,"completion_tokens":7}}`;
const noDone = "stream ended without [DONE]";
const longText = "x".repeat(5_000);

/** `[name, response head, body, result and reason, cost, body relayed to the caller if the response was started]`. */
type FaultCase = readonly [name: string, head: string, body: string, end: string, cost: number, relayed?: string];

const streamCases: readonly FaultCase[] = [
    ["complete stream", streamHead, complete, "complete", 14, complete],
    ["stream with usage", streamHead, first + usage + done, "complete", 44, first + usage + done],
    ["CRLF and comments", streamHead, `: wait\r\n\r\n${first}${done}`, "complete", 12, `: wait\r\n\r\n${first}${done}`],
    ["bytes after [DONE]", streamHead, complete + second, "complete", 14, complete],
    ["connection closed right after [DONE]", streamHead, `${first}data: [DONE]\n`, "complete", 12, first + done],
    ["no [DONE]", streamHead, first + second, `broken: ${noDone}`, 14, first + second],
    ["truncated within an event", streamHead, first + second.slice(0, 9), `broken: ${noDone}`, 12, first],
    ["no event", streamHead, "", `broken: ${noDone}`, 10],
    [
        "event that is not a JSON object",
        streamHead,
        `${first}data: <p>\n\n${done}`,
        "broken: event is not a JSON object",
        12,
        first,
    ],
    ["malformed usage", streamHead, `${first}data: {"usage":}\n\n`, "broken: event is not valid JSON", 12, first],
    ["large event", streamHead, `${first}data: {"a":"${longText}`, "broken: event over the size limit", 12, first],
    [
        "HTML instead of a stream",
        `${okStatus}content-type: text/html\r\n`,
        "<html>",
        "broken: content type text/html",
        10,
    ],
    ["no content type", okStatus, complete, "broken: content type missing", 10],
    ["compressed stream", `${streamHead}content-encoding: gzip\r\n`, complete, "broken: content encoding gzip", 10],
    [
        "stream of another request",
        `${streamHead}x-request-id: call-2.1\r\n`,
        complete,
        "broken: response to another request",
        10,
    ],
    ["500", "HTTP/1.1 500 Error\r\ncontent-length: 0\r\n", "", "broken: status 500", 10],
    ["429", "HTTP/1.1 429 Busy\r\ncontent-length: 0\r\n", "", "broken: status 429", 10],
    [
        "503 with x-not-run",
        "HTTP/1.1 503 Busy\r\nx-not-run: true\r\ncontent-length: 0\r\n",
        "",
        "refused: status 503, not run",
        0,
    ],
    ["400", "HTTP/1.1 400 Bad\r\ncontent-length: 2\r\n", "no", "complete", 10, "no"],
];

const jsonCases: readonly FaultCase[] = [
    ["JSON", jsonHead, json, "complete", 44, json],
    ["truncated JSON", jsonHead, json.slice(0, 20), "broken: response is not valid JSON", 10],
    ["JSON that is not an object", jsonHead, "7", "broken: response is not a JSON object", 10],
    ["JSON over the limit", jsonHead, `{"a":"${longText}`, "broken: response over the size limit", 10],
    ["stream that was not requested", streamHead, complete, "broken: content type text/event-stream", 10],
];

for (const writeMode of ["at once", "byte by byte"]) {
    for (const [name, head, body, expected, cost, relayed] of [...streamCases, ...jsonCases]) {
        test(`${name}, ${writeMode}: ${expected}`, async () => {
            const target = await startRawTarget(async socket => {
                socket.setNoDelay(true);
                socket.write(`${head}\r\n`);
                // Writes byte by byte, so that an event is split at every position; too slow for large bodies.
                const pieces = writeMode === "at once" || body.length > 1_000 ? [body] : [...body];
                for (const piece of pieces) await new Promise(resolve => socket.write(piece, resolve));
                socket.end();
            });
            const streaming = streamCases.some(row => row[0] === name);
            const call = createCall({ streaming, body: { stream: streaming } });
            const limits = { maxEventBytes: 1_000, maxJsonBytes: 4_000 };
            const { end, text } = await withClient(client => runCall(client, call, target.address), limits);
            await target.close();
            assert.is(end.reason === undefined ? end.result : `${end.result}: ${end.reason}`, expected);
            assert.equal([end.sent, end.responseStarted, end.cost], [true, relayed !== undefined, cost]);
            assert.is(text, relayed ?? "");
        });
    }
}

test.run();
