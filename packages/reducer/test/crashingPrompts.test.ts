/** Prompts that crash engines, from the entry router to the coordinator, at simulated engines. */
import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
    badPart,
    type CrashingEnginesOptions,
    createCrashingEngines,
    eventCount,
    type SimulatedCall,
} from "./createCrashingEngines.js";

/** Bounds of the users' rules. */
const stableWindowMs = 3_000;
const countedCrash = 5;
/** Crash after which sound requests must run again; the rule counts from the fifth, or the last if there are fewer. */
const quarantiningCrash = 3;
const maxLateRequests = 3;

interface PlayedRequests {
    /** Shared parts of the sound requests, each set in turn; they begin after `soundFromMs`. */
    readonly soundParts: readonly (readonly string[])[];
    readonly soundFromMs?: number;
    /** Shared parts beside the one at fault; sets in turn. */
    readonly partsBesideBad: readonly (readonly string[])[];
}

function play(opts: CrashingEnginesOptions, { soundParts, soundFromMs = 0, partsBesideBad }: PlayedRequests) {
    const engines = createCrashingEngines(opts);
    const sound: SimulatedCall[] = [];
    const bad: SimulatedCall[] = [];
    for (let now = 0, index = 0; now < 32_000; now += 100, index++) {
        engines.advanceTo(now);
        engines.send(["others-1", "others-2"]);
        if (now % 1_000 === 0) {
            const besideBad = partsBesideBad[bad.length % partsBesideBad.length] ?? [];
            bad.push(engines.send([...besideBad, badPart]));
        }
        if (now >= soundFromMs && now % 500 === 200)
            sound.push(engines.send(soundParts[index % soundParts.length] ?? []));
    }
    const { crashedAt } = engines;
    const lateFrom = (crashedAt[countedCrash - 1] ?? Infinity) + stableWindowMs;
    const soundFrom = (crashedAt[quarantiningCrash - 1] ?? Infinity) + 2 * stableWindowMs;
    const counted = sound.filter(({ sentAt }) => sentAt > soundFrom);
    return {
        crashes: crashedAt.length,
        lateRequests: bad.flatMap(({ attemptedAt }) => attemptedAt).filter(at => at > lateFrom).length,
        soundCount: counted.length,
        soundBegun: counted.filter(call => call.hasBegun && !call.hasFailedFirst).length,
    };
}

function assertContained(result: ReturnType<typeof play>, description: string): void {
    const text = `${description}: ${JSON.stringify(result)}`;
    assert.ok(result.lateRequests <= maxLateRequests, text);
    assert.ok(result.soundCount >= 20, text);
    assert.ok(result.soundBegun >= result.soundCount / 2, text);
}

// Guards against prompts that crash engines after the first event and are never quarantined.
test("requests with a part that crashes engines stop, after however many events it crashes them", () => {
    for (let crashesAfterEvents = 0; crashesAfterEvents < eventCount; crashesAfterEvents++) {
        for (const resumable of [false, true]) {
            const soundParts = [["session", "model"]];
            const result = play({ crashesAfterEvents, resumable }, { soundParts, partsBesideBad: [["session"]] });
            assertContained(result, `crash after ${crashesAfterEvents} events, resumable ${resumable}`);
        }
    }
});

// Guards against sound parts that always occur together and stay quarantined with the one at fault.
test("sound requests whose parts occurred only with the part at fault run again, however many these are", () => {
    for (const crashesAfterEvents of [0, 1, eventCount - 1]) {
        for (const count of [1, 2, 3, 8, 30]) {
            const partsBesideBad = Array.from({ length: count }, (_, index) => `subject-${index}`);
            const requests = { soundParts: [partsBesideBad], soundFromMs: 4_000, partsBesideBad: [partsBesideBad] };
            assertContained(
                play({ crashesAfterEvents }, requests),
                `${count} parts, crash after ${crashesAfterEvents}`,
            );
        }
    }
});

test("sound requests with different parts of a quarantined group run again", () => {
    const partsBesideBad = ["a", "b", "c", "d", "e"];
    const soundParts = [["a", "b"], ["c", "d"], ["b", "e"], ["a", "c", "d", "e"], ["d"]];
    for (const crashesAfterEvents of [0, 1, eventCount - 1]) {
        const result = play(
            { crashesAfterEvents },
            { soundParts, soundFromMs: 4_000, partsBesideBad: [partsBesideBad] },
        );
        assertContained(result, `crash after ${crashesAfterEvents}`);
    }
});

test("both bounds hold whichever parts sound and other requests share", () => {
    const subset = fc.subarray(Array.from({ length: 12 }, (_, index) => `part-${index}`), { minLength: 1 });
    const sets = fc.array(subset, { minLength: 1, maxLength: 20 });
    const soundFromMs = fc.integer({ min: 0, max: 4_000 });
    const crashesAfterEvents = fc.integer({ min: 0, max: eventCount - 1 });
    const property = fc.property(sets, sets, soundFromMs, crashesAfterEvents, fc.boolean(), (soundParts, ...rest) => {
        const [partsBesideBad, from, crashes, resumable] = rest;
        const requests = { soundParts, soundFromMs: from, partsBesideBad };
        assertContained(play({ crashesAfterEvents: crashes, resumable }, requests), "random parts");
    });
    fc.assert(property, { seed: 43, numRuns: 60 });
});

test.run();
