/** Guards against writes that are reported as accepted, refused or not applied when they are not. */
import type { PlatformFaults } from "@rhubarbwheel/stand-ins/createPlatformStandIn";
import type { WriteResult } from "@rhubarbwheel/types/ports";
import { setTimeout as sleep } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { withPlatform } from "./platformFixtures.js";

const kind = "failuredomains" as const;
const name = "north";
const spec = { state: "out" as const };

interface WriteCase {
    readonly name: string;
    readonly faults: PlatformFaults;
    readonly result: WriteResult["type"];
    /** Whether the write is in the store in the end. */
    readonly applied: boolean;
}

const cases: readonly WriteCase[] = [
    { name: "no fault", faults: {}, result: "accepted", applied: true },
    { name: "slow store", faults: { delayMs: 20 }, result: "accepted", applied: true },
    { name: "answer lost", faults: { loseAnswers: 1 }, result: "accepted", applied: true },
    { name: "answer and read back lost", faults: { loseAnswers: 1, loseReads: 1 }, result: "accepted", applied: true },
    {
        name: "answer and every read back lost",
        faults: { loseAnswers: 1, loseReads: 99 },
        result: "unknown",
        applied: true,
    },
    { name: "request lost", faults: { loseRequests: 1 }, result: "accepted", applied: true },
    {
        name: "two requests lost, then the answer",
        faults: { loseRequests: 2, loseAnswers: 1 },
        result: "accepted",
        applied: true,
    },
    {
        name: "late copy behind the second one",
        faults: { lateWrites: 1, lateMs: 40 },
        result: "accepted",
        applied: true,
    },
    { name: "every copy late", faults: { lateWrites: 99, lateMs: 400 }, result: "unknown", applied: true },
    { name: "every request lost", faults: { loseRequests: 99 }, result: "unknown", applied: false },
    { name: "store down", faults: { down: true }, result: "unknown", applied: false },
];

for (const change of ["creation", "update", "deletion", "recreation"] as const) {
    for (const { name: fault, faults, result, applied } of cases) {
        test(`${change}, ${fault}: ${result}`, () =>
            withPlatform({}, async ({ client, platform }) => {
                const before = { creation: 0, update: 1, deletion: 1, recreation: 2 }[change];
                if (before >= 1)
                    platform.store.write({ kind, name, expectedVersion: 0, writeId: "a", value: { state: "in" } });
                if (before === 2) platform.store.write({ kind, name, expectedVersion: 1, writeId: "b" });
                platform.setFaults(faults);
                const written = await client.writeResource({
                    kind,
                    name,
                    expectedVersion: change === "recreation" ? 0 : before,
                    spec: change === "deletion" ? undefined : spec,
                    writeId: "mine",
                });
                await sleep(faults.lateMs ?? 0);
                assert.is(written.type, result);
                const stored = platform.store.read(kind, name);
                assert.is(stored?.writeId === "mine", applied);
                assert.is(stored?.version ?? 0, applied ? before + 1 : before, "applied once");
            }));
    }
}

test("a refused connection proves that nothing was applied", () =>
    withPlatform({}, async ({ client, platform }) => {
        await platform.close();
        const result = await client.writeResource({ kind, name, expectedVersion: 0, spec, writeId: "mine" });
        assert.equal(result, { type: "unavailable" });
    }));

test("a write over the rate limit is not applied", () =>
    withPlatform({ writesPerSecond: 0 }, async ({ client }) => {
        const result = await client.writeResource({ kind, name, expectedVersion: 0, spec, writeId: "mine" });
        assert.equal(result, { type: "unavailable" });
    }));

interface RaceCase {
    readonly name: string;
    /** Versions written by another writer while the answer is lost; our own is the one named `mine`. */
    readonly writers: readonly string[];
    readonly historyLength: number;
    readonly result: unknown;
}

/** The write expects version 1; the stand-in applies the writers in turn before the client reads back. */
const races: readonly RaceCase[] = [
    {
        name: "another write won",
        writers: ["theirs"],
        historyLength: 100,
        result: { type: "conflict", currentVersion: 2 },
    },
    {
        name: "two other writes won",
        writers: ["theirs", "later"],
        historyLength: 100,
        result: { type: "conflict", currentVersion: 3 },
    },
    { name: "ours won and was overwritten", writers: ["mine", "later"], historyLength: 100, result: "accepted" },
    {
        name: "the history is too short to tell",
        writers: ["theirs", "later", "last"],
        historyLength: 1,
        result: { type: "unknown" },
    },
];

for (const { name: race, writers, historyLength, result } of races) {
    test(`lost answer, ${race}`, () =>
        withPlatform({ historyLength }, async ({ client, platform }) => {
            platform.store.write({ kind, name, expectedVersion: 0, writeId: "first", value: spec });
            // The other writes come in while the connection of ours is dropped.
            platform.setFaults({ loseRequests: 1, delayMs: 30 });
            const writing = client.writeResource({ kind, name, expectedVersion: 1, spec, writeId: "mine" });
            writers.forEach((writeId, index) =>
                platform.store.write({ kind, name, expectedVersion: index + 1, writeId, value: spec })
            );
            const written = await writing;
            if (result === "accepted") assert.is(written.type === "accepted" && written.resource.version, 2);
            else assert.equal(written, result);
        }));
}

test("a conflict states the current version, and none for what does not exist", () =>
    withPlatform({}, async ({ client }) => {
        const write = { kind, name, spec, writeId: "w1" };
        assert.equal(await client.writeResource({ ...write, expectedVersion: 4 }), {
            type: "conflict",
            currentVersion: undefined,
        });
        await client.writeResource({ ...write, expectedVersion: 0 });
        assert.equal(
            await client.writeResource({ ...write, expectedVersion: 0, writeId: "w2" }),
            { type: "conflict", currentVersion: 1 },
        );
        await client.writeResource({ kind, name, expectedVersion: 1, writeId: "w3" });
        assert.equal(
            await client.writeResource({ ...write, expectedVersion: 1, writeId: "w4" }),
            { type: "conflict", currentVersion: undefined },
        );
    }));

test("concurrent writers: each accepted write is one version, none is lost", () =>
    withPlatform({}, async ({ client, other, platform }) => {
        platform.setFaults({ loseAnswers: 0.3, loseRequests: 0.2, loseReads: 0.1 });
        const accepted: string[] = [];
        let unknown = 0;
        const update = async (router: typeof client, writer: string): Promise<void> => {
            for (let round = 0; round < 25; round += 1) {
                const writeId = `${writer}-${round}`;
                const expectedVersion = platform.store.read(kind, name)?.version ?? 0;
                const result = await router.writeResource({ kind, name, expectedVersion, spec, writeId });
                if (result.type === "accepted") accepted.push(writeId);
                if (result.type === "unknown") unknown += 1;
            }
        };
        await Promise.all([update(client, "a"), update(other, "b")]);
        const stored = platform.store.listChanges(new Set([kind]), 0, 1_000);
        const writeIds = stored.type === "changes" ? stored.changes.map(change => change.writeId) : [];
        assert.is(new Set(writeIds).size, writeIds.length, "no write applied twice");
        assert.ok(accepted.every(writeId => writeIds.includes(writeId)), "accepted writes are in the store");
        assert.ok(writeIds.length - accepted.length <= unknown, "every applied write was accepted or unknown");
        assert.ok(accepted.length > 20, `${accepted.length} accepted`);
    }));

test.run();
