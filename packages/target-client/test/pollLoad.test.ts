/** Guards against load reports that are malformed, understate their age or make a running target appear stopped. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { withClient } from "./callFixtures.js";
import { startRawTarget } from "./rawTarget.js";

const validReport = { startId: "s1", running: 2, queued: 1, sampledAgeMs: 150 };
const unavailable = { type: "unavailable", refused: false };

const cases: readonly { readonly name: string; readonly status?: number; readonly body: unknown; }[] = [
    { name: "not JSON", body: "running: 2" },
    { name: "no start id", body: { ...validReport, startId: undefined } },
    { name: "negative count", body: { ...validReport, running: -1 } },
    { name: "count that is not a number", body: { ...validReport, queued: "1" } },
    { name: "no age", body: { ...validReport, sampledAgeMs: undefined } },
    { name: "error status", status: 503, body: validReport },
    { name: "report over the limit", body: { ...validReport, filler: "x".repeat(70_000) } },
];

/** Starts a target that responds with the body, or does not respond when it is `undefined`. */
function startTarget(status: number, body: unknown) {
    return startRawTarget(socket => {
        const text = typeof body === "string" ? body : JSON.stringify(body);
        if (body !== undefined) socket.write(`HTTP/1.1 ${status} X\r\ncontent-length: ${text.length}\r\n\r\n${text}`);
    });
}

for (const { name, status = 200, body } of cases) {
    test(`${name}: unavailable`, async () => {
        const target = await startTarget(status, body);
        const result = await withClient(client => client.pollLoad("t1", target.address));
        await target.close();
        assert.equal(result, unavailable);
    });
}

test("the age of a report is at least that of its sample", async () => {
    const target = await startTarget(200, validReport);
    const result = await withClient(client => client.pollLoad("t1", target.address));
    await target.close();
    assert.is(result.type, "reported");
    if (result.type !== "reported") return;
    const { ageMs, ...report } = result.report;
    assert.equal(report, { target: "t1", startId: "s1", running: 2, queued: 1 });
    assert.ok(ageMs >= 150);
});

test("a target that does not respond is unavailable; one that refuses connections is reported as refused", async () => {
    const target = await startTarget(200, undefined);
    await withClient(async client => {
        assert.equal(await client.pollLoad("t1", target.address), unavailable);
        await target.close();
        assert.equal(await client.pollLoad("t1", target.address), { type: "unavailable", refused: true });
    }, { pollTimeoutMs: 50 });
});

test.run();
