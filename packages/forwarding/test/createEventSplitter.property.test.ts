/** Guards against results, and time, that depend on the pieces in which a target sends the same stream. */
import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createEventSplitter } from "../src/createEventSplitter.js";

const text = fc.array(fc.constantFrom("id: 1\n", "id: 22\r\n", "data: x", "\n", "\r\n", "\r", "id:", "weight: 3"), {
    maxLength: 40,
}).map(parts => parts.join(""));

/** Splits the pieces; returns the complete events, their number, the last id, and the length of the rest. */
function splitEvents(pieces: readonly Buffer[]) {
    const splitter = createEventSplitter();
    let events = "";
    let eventCount = 0;
    let lastEventId: string | undefined;
    for (const piece of pieces) {
        const result = splitter.push(piece);
        events += result.completeEvents.toString("latin1");
        eventCount += result.eventCount;
        lastEventId = result.lastEventId ?? lastEventId;
    }
    return { events, eventCount, lastEventId, incompleteBytes: splitter.countIncompleteBytes() };
}

test("any split of the same stream gives the same events", () => {
    fc.assert(
        fc.property(text, fc.integer({ min: 1, max: 20 }), (content, pieceBytes) => {
            const bytes = Buffer.from(content);
            const count = Math.ceil(bytes.length / pieceBytes);
            const pieces = Array.from(
                { length: count },
                (_, index) => bytes.subarray(index * pieceBytes, (index + 1) * pieceBytes),
            );
            const whole = splitEvents([bytes]);
            assert.equal(splitEvents(pieces), whole);
            assert.is(whole.events.length + whole.incompleteBytes, bytes.length);
            const events = whole.events.split(/\r?\n\r?\n/).map(event => event.replace(/^(\r?\n)+/, ""));
            assert.is(whole.eventCount, events.filter(event => event !== "").length);
        }),
        { seed: 32, numRuns: 1_000 },
    );
});

test("an event in pieces of one byte takes time in proportion to its bytes", () => {
    const piece = Buffer.from("x");
    const splitter = createEventSplitter();
    const startedAt = performance.now();
    for (let count = 0; count < 1_000_000; count++) splitter.push(piece);
    assert.is(splitter.countIncompleteBytes(), 1_000_000);
    assert.ok(performance.now() - startedAt < 10_000);
});

test.run();
