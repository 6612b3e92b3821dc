/** Guards against CONFIG and DRAIN: times of the relays that do not follow from the bounds of the site. */
import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { computeWatchTimes, storeWatchSpreadMs } from "../src/computeWatchTimes.js";

const maxTimes = { watchTimeoutMs: 1_500, debounceMs: 150 };

for (const applyMs of [2_000, 3_000, 4_000, Infinity]) {
    test(`times for changes that must take effect within ${applyMs} ms`, () => {
        const { watchTimeoutMs, relayMaxAgeMs } = computeWatchTimes(applyMs, maxTimes);
        assert.snapshot(
            `${applyMs} ${watchTimeoutMs} ${relayMaxAgeMs}`,
            { 2_000: "2000 750 1500", 3_000: "3000 1500 2450", 4_000: "4000 1500 2450" }[applyMs]
                ?? "Infinity 1500 2450",
        );
    });
}

test("a router whose relays fall silent has time left to read the store, and sound relays are not taken for silent", () => {
    fc.assert(fc.property(fc.integer({ min: 1_550, max: 60_000 }), applyMs => {
        const { watchTimeoutMs, debounceMs, relayMaxAgeMs } = computeWatchTimes(applyMs, maxTimes);
        assert.ok(relayMaxAgeMs + storeWatchSpreadMs < applyMs);
        assert.ok(relayMaxAgeMs > watchTimeoutMs + debounceMs + 450);
        assert.ok(watchTimeoutMs <= maxTimes.watchTimeoutMs);
    }));
});

test.run();
