/** Guards against secrets in logs, log injection by field values, and log writes that fail the caller. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import type { LoggerOptions } from "../src/createLogger.js";
import { createLogger } from "../src/createLogger.js";
import type { EventKind } from "../src/eventKind.js";

const catalogue: Record<number, EventKind> = {
    1: { name: "opened", level: "info", message: "Opened.", fields: ["peer"] },
    2: { name: "checked", level: "debug", message: "Checked.", fields: [] },
};

function startLogger(opts: Partial<LoggerOptions> = {}) {
    const lines: string[] = [];
    const write = (line: string) => lines.push(line);
    const getTime = () => new Date(0);
    return { lines, logger: createLogger({ level: "info", format: "text", write, getTime, catalogue, ...opts }) };
}

test("text lines have a stable format, and values cannot inject fields or lines", () => {
    const { lines, logger } = startLogger();
    logger.logEvent(1, { peer: "router-1", reason: "a\nb=c", missing: undefined, open: true, count: 2 });
    assert.equal(lines, [
        "1970-01-01T00:00:00.000Z INFO  1 opened: Opened. peer=router-1 reason=\"a\\nb=c\" open=true count=2\n",
    ]);
});

test("fields cannot overwrite the number and name of a JSON line", () => {
    const { lines, logger } = startLogger({ format: "json" });
    logger.logEvent(1, { event: "forged", peer: "b" });
    assert.equal(JSON.parse(lines[0] ?? ""), {
        time: "1970-01-01T00:00:00.000Z",
        level: "info",
        event: 1,
        name: "opened",
        message: "Opened.",
        peer: "b",
    });
});

test("secrets are redacted by field name and within values, but token counts are not", () => {
    const { lines, logger } = startLogger({ format: "json" });
    logger.logEvent(1, {
        operatorToken: "s3cret",
        fleet_secret: "s3cret",
        Authorization: "s3cret",
        AUTHORIZATION: "s3cret",
        detail: "sent bearer s3cret to b",
        outputTokens: 17,
    });
    assert.not.match(lines.join(""), /s3cret/);
    assert.match(lines.join(""), /"outputTokens":17/);
});

test("events below the level are omitted until the level changes", () => {
    const { lines, logger } = startLogger();
    logger.logEvent(2);
    assert.is(lines.length, 0);
    logger.setLevel("debug");
    logger.logEvent(2);
    assert.is(lines.length, 1);
});

test("an unknown event number is logged with level info", () => {
    const { lines, logger } = startLogger();
    logger.logEvent(4711, { peer: "b" });
    assert.match(lines[0] ?? "", /INFO {2}4711 event-4711: .* peer=b/);
});

test("an error of the writer does not reach the caller", () => {
    const { logger } = startLogger({
        write: () => {
            throw new Error("disk full");
        },
    });
    logger.logEvent(1);
});

test.run();
