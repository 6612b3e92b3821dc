/** Guards against model answers that look complete but are not, and against garbage reaching a caller. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createCall, runCall, withClient } from "./callFixtures.js";
import { startRawTarget } from "./rawTarget.js";

interface FaultCase {
    readonly name: string;
    readonly head?: string;
    readonly body: string;
    /** Whether the call asked for a stream, default true. */
    readonly streaming?: boolean;
    readonly result: "complete" | "broken" | "refused";
    readonly reason?: string;
    /** What the caller got; `undefined` when the answer was never begun. */
    readonly passed?: string;
    readonly cost: number;
}

const streamHead = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream; charset=utf-8\r\n\r\n";
const jsonHead = "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n\r\n";
const first = `data: {"choices":[{"delta":{"content":"a"}}]}\n\n`;
const second = `data: {"choices":[{"delta":{"content":"b"}}]}\n\n`;
const usage = `data: {"choices":[],"usage":{"prompt_tokens":30,"completion_tokens":7}}\n\n`;
const done = "data: [DONE]\n\n";
const whole = first + second + done;
const json = `{"choices":[],"usage":{"prompt_tokens":30,"completion_tokens":7}}`;

const cases: readonly FaultCase[] = [
    { name: "whole stream", body: whole, result: "complete", passed: whole, cost: 14 },
    {
        name: "stream with usage",
        body: first + usage + done,
        result: "complete",
        passed: first + usage + done,
        cost: 44,
    },
    {
        name: "stream with CRLF and comments",
        body: `: wait\r\n\r\n${first}${done}`,
        result: "complete",
        passed: `: wait\r\n\r\n${first}${done}`,
        cost: 12,
    },
    { name: "bytes after [DONE]", body: whole + second, result: "complete", passed: whole, cost: 14 },
    {
        name: "connection lost behind [DONE]",
        body: `${first}data: [DONE]\n`,
        result: "complete",
        passed: first + done,
        cost: 12,
    },
    {
        name: "no [DONE]",
        body: first + second,
        result: "broken",
        reason: "stream ended without [DONE]",
        passed: first + second,
        cost: 14,
    },
    {
        name: "cut off within an event",
        body: first + second.slice(0, 9),
        result: "broken",
        reason: "stream ended without [DONE]",
        passed: first,
        cost: 12,
    },
    { name: "no event", body: "", result: "broken", reason: "stream ended without [DONE]", cost: 10 },
    {
        name: "event that is no JSON object",
        body: `${first}data: <html>\n\n${done}`,
        result: "broken",
        reason: "event is not a JSON object",
        passed: first,
        cost: 12,
    },
    {
        name: "usage that is no JSON",
        body: `${first}data: {"usage" :}\n\n${done}`,
        result: "broken",
        reason: "event is not valid JSON",
        passed: first,
        cost: 12,
    },
    {
        name: "event over the limit",
        body: `${first}data: {"a":"${"x".repeat(2_000)}`,
        result: "broken",
        reason: "event over the size limit",
        passed: first,
        cost: 12,
    },
    {
        name: "HTML instead of a stream",
        head: "HTTP/1.1 200 OK\r\ncontent-type: text/html\r\n\r\n",
        body: "<html>",
        result: "broken",
        reason: "content type text/html",
        cost: 10,
    },
    {
        name: "no content type",
        head: "HTTP/1.1 200 OK\r\n\r\n",
        body: whole,
        result: "broken",
        reason: "content type missing",
        cost: 10,
    },
    {
        name: "compressed stream",
        head: streamHead.replace("\r\n\r\n", "\r\ncontent-encoding: gzip\r\n\r\n"),
        body: whole,
        result: "broken",
        reason: "content encoding gzip",
        cost: 10,
    },
    {
        name: "stream of another request",
        head: streamHead.replace("\r\n\r\n", "\r\nx-request-id: call-2.1\r\n\r\n"),
        body: whole,
        result: "broken",
        reason: "answer to another request",
        cost: 10,
    },
    {
        name: "500",
        head: "HTTP/1.1 500 Error\r\ncontent-length: 0\r\n\r\n",
        body: "",
        result: "broken",
        reason: "status 500",
        cost: 10,
    },
    {
        name: "429",
        head: "HTTP/1.1 429 Busy\r\ncontent-length: 0\r\n\r\n",
        body: "",
        result: "broken",
        reason: "status 429",
        cost: 10,
    },
    {
        name: "503, not run",
        head: "HTTP/1.1 503 Busy\r\nx-not-run: true\r\ncontent-length: 0\r\n\r\n",
        body: "",
        result: "refused",
        reason: "status 503, not run",
        cost: 0,
    },
    {
        name: "400",
        head: "HTTP/1.1 400 Bad\r\ncontent-length: 2\r\n\r\n",
        body: "no",
        result: "complete",
        passed: "no",
        cost: 10,
    },
    { name: "JSON", head: jsonHead, body: json, streaming: false, result: "complete", passed: json, cost: 44 },
    {
        name: "JSON cut off",
        head: jsonHead,
        body: json.slice(0, 20),
        streaming: false,
        result: "broken",
        reason: "answer is not valid JSON",
        cost: 10,
    },
    {
        name: "JSON that is no object",
        head: jsonHead,
        body: "7",
        streaming: false,
        result: "broken",
        reason: "answer is not a JSON object",
        cost: 10,
    },
    {
        name: "JSON over the limit",
        head: jsonHead,
        body: `{"a":"${"x".repeat(5_000)}`,
        streaming: false,
        result: "broken",
        reason: "answer over the size limit",
        cost: 10,
    },
    {
        name: "stream that was not asked for",
        body: whole,
        streaming: false,
        result: "broken",
        reason: "content type text/event-stream",
        cost: 10,
    },
];

for (const step of ["at once", "byte by byte"]) {
    for (const { name, head = streamHead, body, streaming = true, result, reason, passed, cost } of cases) {
        test(`${name}, ${step}: ${result}`, async () => {
            const target = await startRawTarget(async socket => {
                socket.setNoDelay(true);
                socket.write(head);
                // Separate packets, so that every split of an event occurs; the large bodies are not worth it.
                const pieces = step === "at once" || body.length > 1_000 ? [body] : [...body];
                for (const piece of pieces) await new Promise(resolve => socket.write(piece, resolve));
                socket.end();
            });
            const call = createCall({ streaming, body: { stream: streaming } });
            const limits = { maxEventBytes: 1_000, maxJsonBytes: 4_000 };
            const { end, text } = await withClient(client => runCall(client, call, target.address), limits);
            await target.close();
            assert.equal({ result: end.result, reason: end.reason, sent: end.sent }, { result, reason, sent: true });
            assert.is(text, passed ?? "");
            assert.is(end.answered, passed !== undefined);
            assert.is(end.cost, cost);
        });
    }
}

test.run();
