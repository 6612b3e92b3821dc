/** Guards against a router that depends on relays which are gone, frozen, or cut off from the store. */
import { viewKinds } from "@rhubarbwheel/types/fleet";
import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createHarness, createNames, findFollower, maxAgeMs, startHarness } from "./relaySelectorHarness.js";

for (const count of [1, 2, 3, 5, 34]) {
    test(`of ${count} routers of a failure domain at most two watch the store`, () => {
        const names = createNames(count);
        const harnesses = names.map(name => createHarness(name, names));
        const watchers = names.filter((_, index) => harnesses[index]!.listRelays().length === 0);
        assert.is(watchers.length, Math.min(2, count));
        for (const harness of harnesses) {
            const relays = harness.listRelays();
            for (const relay of relays) {
                assert.ok(watchers.includes(relay));
                harness.report(relay);
            }
            assert.is(harness.isWatching(), relays.length === 0);
        }
    });
}

for (const listedAtMs of [0, 100, 200, 390, 450]) {
    // Guards against CONFIG: a restarted router without relays that watches only the list of routers from then on.
    test(`a router whose list of routers comes ${listedAtMs} ms after its first list watches every kind`, () => {
        for (const name of createNames(2)) {
            const harness = startHarness(name, createNames(2));
            harness.listKind("configuration");
            harness.advance(listedAtMs);
            harness.list();
            harness.advance(800 - listedAtMs);
            assert.equal(harness.listWatchedKinds(), viewKinds);
        }
    });
}

test("routers without a key, or of another failure domain, are not relays", () => {
    for (const overrides of [{ relayKey: undefined }, { failureDomain: "zone-b" }]) {
        const names = createNames(6);
        for (const name of names) assert.equal(createHarness(name, names, overrides).listRelays(), []);
    }
});

test("a follower watches the store until a relay is confirmed in every kind", () => {
    const harness = findFollower(createNames(6));
    const [relay = ""] = harness.listRelays();
    assert.equal(harness.listWatchedKinds(), viewKinds);
    harness.report(relay, 0, ["configuration", "targets", "routers"]);
    assert.equal(harness.listWatchedKinds(), ["closedDomains"]);
    harness.report(relay, maxAgeMs.configuration + 1);
    assert.equal(harness.listWatchedKinds(), ["configuration", "targets"]);
    harness.report(relay, 500);
    assert.is(harness.isWatching(), false);
});

test("one silent relay is replaced, and the other is enough meanwhile", () => {
    const names = createNames(6);
    const harness = findFollower(names);
    const [silent = "", other = ""] = harness.listRelays();
    harness.report(silent);
    harness.report(other);
    harness.advance(1_400, () => harness.report(other));
    assert.not(harness.listRelays().includes(silent));
    assert.is(harness.isWatching(), false);
});

test("when both relays fall silent, the router watches the store within 1.3 s", () => {
    const harness = findFollower(createNames(3));
    for (const relay of harness.listRelays()) harness.report(relay);
    assert.is(harness.isWatching(), false);
    harness.advance(1_300);
    assert.is(harness.isWatching(), true);
    harness.advance(9_000);
    for (const relay of harness.listRelays()) harness.report(relay);
    assert.is(harness.isWatching(), false);
});

test("when both connections are lost, the router watches the store at once", () => {
    const harness = findFollower(createNames(3));
    const relays = harness.listRelays();
    for (const relay of relays) harness.report(relay);
    for (const relay of relays) harness.lose(relay);
    assert.is(harness.isWatching(), true);
    assert.equal(harness.listRelays(), []);
});

// Guards against relays that reply and have lost the store themselves.
test("relays whose confirmations grow old are not enough", () => {
    const harness = findFollower(createNames(6));
    const confirmedAt = harness.getNow();
    const report = () => harness.listRelays().forEach(relay => harness.report(relay, harness.getNow() - confirmedAt));
    report();
    assert.is(harness.isWatching(), false);
    harness.advance(maxAgeMs.configuration + 300, report);
    assert.is(harness.isWatching(), true);
});

// Guards against CONFIG: confirmations that become too old between two checks.
test("a router watches the store as soon as the confirmations are too old", () => {
    for (let phaseMs = 0; phaseMs < 250; phaseMs += 50) {
        const harness = findFollower(createNames(6));
        harness.advance(phaseMs, () => harness.listRelays().forEach(relay => harness.report(relay)));
        const confirmedAt = harness.getNow();
        const report = () =>
            harness.listRelays().forEach(relay => harness.report(relay, harness.getNow() - confirmedAt));
        for (let count = 0; count < 4; count++) harness.advance(450, report);
        harness.advance(maxAgeMs.configuration + 20 - 4 * 450);
        assert.is(harness.isWatching(), true);
    }
});

// Guards against a busy router that takes its own delay for the silence of its relays, and then burdens the store.
test("a router that was busy itself reads what has arrived before it suspects its relays", () => {
    const harness = findFollower(createNames(6));
    const relays = harness.listRelays();
    for (const relay of relays) harness.report(relay);
    harness.advance(200);
    harness.block(1_500);
    harness.advance(10);
    for (const relay of relays) harness.report(relay);
    harness.advance(300);
    assert.equal(harness.listRelays(), relays);
    assert.is(harness.isWatching(), false);
});

test("after a suspension of the host, confirmations from before do not count", () => {
    const harness = findFollower(createNames(6));
    for (const relay of harness.listRelays()) harness.report(relay);
    harness.jump();
    harness.advance(300);
    assert.is(harness.isWatching(), true);
});

test("a router that is no longer listed watches the store", () => {
    const names = createNames(6);
    const harness = findFollower(names);
    for (const relay of harness.listRelays()) harness.report(relay);
    harness.list([]);
    assert.is(harness.isWatching(), true);
});

// Guards against a router that neither watches the store nor has a relay that has answered lately.
test("without watching, a relay has always answered within 1.3 s with confirmations that are young enough", () => {
    const stepArbitrary = fc.tuple(
        fc.constantFrom("report", "report", "report", "old", "lose", "block", "jump", "list"),
        fc.integer({ min: 0, max: 5 }),
        fc.integer({ min: 10, max: 900 }),
    );
    fc.assert(
        fc.property(fc.array(stepArbitrary, { maxLength: 80, size: "max" }), steps => {
            const names = createNames(6);
            const harness = findFollower(names);
            let lastGoodAt = -Infinity;
            for (const [verb, index, ms] of steps) {
                const relay = names[index]!;
                if (verb === "report") {
                    if (harness.listRelays().includes(relay)) lastGoodAt = harness.getNow();
                    harness.report(relay);
                }
                else if (verb === "old") harness.report(relay, 5_000);
                else if (verb === "lose") harness.lose(relay);
                else if (verb === "jump") harness.jump();
                else if (verb === "list") harness.list(names);
                harness.advance(ms);
                if (!harness.isWatching()) assert.ok(harness.getNow() - lastGoodAt <= 1_300);
            }
        }),
        { seed: 20_261_204, numRuns: 500 },
    );
});

test.run();
