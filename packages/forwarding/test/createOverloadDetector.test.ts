/** Detection of an event loop that is too slow for its load. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createOverloadDetector, normalAfterMs, overloadAfterMs, slowDelayMs } from "../src/createOverloadDetector.js";

/** Records these delays one after the other; returns the changes of state with their times. */
function recordDelays(delays: readonly number[]): string[] {
    const detector = createOverloadDetector();
    let now = 0;
    return delays.flatMap(delayMs => {
        now += 100 + delayMs;
        const changed = detector.recordDelay(delayMs, now);
        return changed === undefined ? [] : [`${now}: ${changed}`];
    });
}

const slow = slowDelayMs * 2;

test("timers that are late for long enough are an overload", () => {
    const count = Math.ceil(overloadAfterMs / (100 + slow)) + 1;
    assert.equal(recordDelays(Array.from({ length: count }, () => slow)), ["900: overloaded"]);
});

test("a single long pass of the event loop is no overload", () => {
    assert.equal(recordDelays([0, 0, overloadAfterMs * 4, 0, 0, slow, slow, 0, slow]), []);
});

test("an overload ends when no timer has been late for some time", () => {
    const punctual = Array.from({ length: normalAfterMs / 100 }, () => 0);
    const interrupted = [...punctual.slice(1), slow];
    const delays = [slow, slow, slow, ...interrupted, ...punctual];
    assert.equal(recordDelays(delays), ["900: overloaded", "5100: normal"]);
});

test.run();
