/** Guards against CONFIG: a router without processor time, which checks its relays late. */
import { viewKinds } from "@rhubarbwheel/types/fleet";
import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createNames, findFollower, maxAgeMs, startHarness } from "./relaySelectorHarness.js";

for (const lateMs of [140, 160, 400]) {
    // Guards against CONFIG: a restarted router without processor time that watches nothing for as long as that lasts.
    test(`a router whose wake-ups are ${lateMs} ms late watches every kind after its start`, () => {
        const names = createNames(6);
        for (const name of names) {
            const harness = startHarness(name, names);
            harness.list();
            harness.advanceLate(800 + 2 * lateMs, lateMs);
            assert.equal(harness.listWatchedKinds(), viewKinds);
        }
    });

    // Guards against CONFIG: a router without processor time that never takes its silent relays for silent.
    test(`a router whose wake-ups are ${lateMs} ms late watches the store when both relays fall silent`, () => {
        const harness = findFollower(createNames(6));
        for (const relay of harness.listRelays()) harness.report(relay);
        assert.is(harness.isWatching(), false);
        harness.advanceLate(1_500 + 2 * lateMs, lateMs);
        assert.equal(harness.listWatchedKinds(), viewKinds);
    });
}

// Guards against CONFIG: a change must take effect in time whatever the relays do, and however late the wake-ups are.
test("what is not watched was confirmed within its maximum age, lateness apart", () => {
    const stepArbitrary = fc.record({
        verb: fc.constantFrom("report", "report", "report", "report", "lose", "jump", "list", "none"),
        index: fc.integer({ min: 0, max: 5 }),
        ageMs: fc.oneof(
            { weight: 4, arbitrary: fc.constantFrom(1_700, 1_800, 1_900) },
            fc.integer({ min: 0, max: 1_800 }),
        ),
        ms: fc.integer({ min: 10, max: 900 }),
    });
    const lateMsArbitrary = fc.constantFrom(0, 10, 140, 160, 400);
    fc.assert(
        fc.property(fc.nat(5), lateMsArbitrary, fc.array(stepArbitrary, { maxLength: 60 }), (self, lateMs, steps) => {
            const names = createNames(6);
            const harness = startHarness(names[self]!, names);
            harness.list();
            // A late check is deferred once by 150 ms, and is then late again.
            const boundMs = maxAgeMs.configuration + 1 + (lateMs > 150 ? 150 + 2 * lateMs : lateMs);
            /** Time as of which the configuration is known to be current: first that of the own list. */
            let confirmedAt = 0;
            for (const { verb, index, ageMs, ms } of steps) {
                const relay = names[index]!;
                if (verb === "report") {
                    if (harness.listRelays().includes(relay))
                        confirmedAt = Math.max(confirmedAt, harness.getNow() - ageMs);
                    harness.report(relay, ageMs);
                }
                else if (verb === "lose") harness.lose(relay);
                else if (verb === "jump") harness.jump();
                else if (verb === "list") harness.list();
                harness.advanceLate(ms, lateMs);
                if (harness.listWatchedKinds().includes("configuration")) confirmedAt = harness.getNow();
                assert.ok(harness.getNow() - confirmedAt <= boundMs, `${harness.getNow() - confirmedAt} ms`);
            }
        }),
        { seed: 20_261_205, numRuns: 2_000 },
    );
});

test.run();
