/** Detection of a process without processor time to spare. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
    busyUtilization,
    createOverloadDetector,
    normalAfterMs,
    overloadAfterMs,
    spareUtilization,
} from "../src/createOverloadDetector.js";

const intervalMs = 200;

/** Records these utilizations at intervals; returns the changes of state with their times. */
function recordUtilizations(utilizations: readonly number[]): string[] {
    const detector = createOverloadDetector();
    return utilizations.flatMap((utilization, index) => {
        const changed = detector.recordUtilization(utilization, index * intervalMs);
        return changed === undefined ? [] : [`${index * intervalMs}: ${changed}`];
    });
}

function repeat(utilization: number, durationMs: number): number[] {
    return Array.from({ length: durationMs / intervalMs }, () => utilization);
}

test("an event loop that is busy for long enough is overloaded", () => {
    const utilizations = [0.5, ...repeat(busyUtilization, overloadAfterMs + intervalMs)];
    assert.equal(recordUtilizations(utilizations), ["600: overloaded"]);
});

test("a short busy period is no overload", () => {
    const busy = repeat(1, overloadAfterMs - intervalMs);
    assert.equal(recordUtilizations([0.5, ...busy, 0.9, ...busy, 0.9]), []);
});

test("a process that is busy from its start is overloaded", () => {
    assert.equal(recordUtilizations(repeat(1, overloadAfterMs + intervalMs)), ["600: overloaded"]);
});

test("an overload ends when the event loop has had time to spare for long enough", () => {
    const busy = repeat(1, overloadAfterMs + intervalMs);
    const spare = repeat(spareUtilization - 0.01, normalAfterMs);
    const interrupted = [...spare.slice(1), 0.9];
    assert.equal(recordUtilizations([...busy, ...interrupted, ...spare]), ["600: overloaded", "4600: normal"]);
});

test.run();
