/** Guards against writes whose reported result (accepted, conflict or not applied) is false. */
import type { PlatformFaults } from "@rhubarbwheel/stand-ins/createPlatformStandIn";
import type { WriteResult } from "@rhubarbwheel/types/ports";
import { setTimeout as sleep } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { withPlatform } from "./platformFixtures.js";

const kind = "failuredomains" as const;
const name = "north";
const spec = { state: "out" as const };

/** Name, faults, result, and whether the write is applied in the end. */
const cases:
    readonly (readonly [name: string, faults: PlatformFaults, result: WriteResult["type"], applied: boolean])[] = [
        ["no fault", {}, "accepted", true],
        ["slow store", { delayMs: 20 }, "accepted", true],
        ["response lost", { loseAnswers: 1 }, "accepted", true],
        ["response and read-back lost", { loseAnswers: 1, loseReads: 1 }, "accepted", true],
        ["response and every read-back lost", { loseAnswers: 1, loseReads: 99 }, "unknown", true],
        ["request lost", { loseRequests: 1 }, "accepted", true],
        ["two requests lost, then the response", { loseRequests: 2, loseAnswers: 1 }, "accepted", true],
        ["late first copy, after the second one", { lateWrites: 1, lateMs: 40 }, "accepted", true],
        ["every copy delayed", { lateWrites: 99, lateMs: 400 }, "unknown", true],
        ["every request lost", { loseRequests: 99 }, "unknown", false],
        ["store down", { down: true }, "unknown", false],
    ];

for (const change of ["creation", "update", "deletion", "recreation"] as const) {
    for (const [fault, faults, result, applied] of cases) {
        test(`${change}, ${fault}: ${result}`, () =>
            withPlatform({}, async ({ client, platform }) => {
                const initialVersion = { creation: 0, update: 1, deletion: 1, recreation: 2 }[change];
                if (initialVersion >= 1)
                    platform.store.write({ kind, name, expectedVersion: 0, writeId: "a", value: { state: "in" } });
                if (initialVersion === 2) platform.store.write({ kind, name, expectedVersion: 1, writeId: "b" });
                platform.setFaults(faults);
                const written = await client.writeResource({
                    kind,
                    name,
                    expectedVersion: change === "recreation" ? 0 : initialVersion,
                    spec: change === "deletion" ? undefined : spec,
                    writeId: "mine",
                });
                await sleep(faults.lateMs ?? 0);
                assert.is(written.type, result);
                const stored = platform.store.read(kind, name);
                assert.is(stored?.writeId === "mine", applied);
                assert.is(stored?.version ?? 0, applied ? initialVersion + 1 : initialVersion, "applied once");
            }));
    }
}

test("a write whose connection is refused is known not to be applied", () =>
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

test("a write to a store that is slower than the timeout is unknown, and applied at most once", () =>
    withPlatform({ client: { timeoutMs: 20 } }, async ({ client, platform }) => {
        platform.setFaults({ delayMs: 300 });
        const result = await client.writeResource({ kind, name, expectedVersion: 0, spec, writeId: "mine" });
        assert.equal(result, { type: "unknown" });
        while (platform.store.read(kind, name) === undefined) await sleep(10);
        platform.setFaults({ delayMs: 0 });
        await sleep(300);
        assert.is(platform.store.getRevision(), 1);
    }));

/** Name, writes that the store applies before the client reads back (`mine` is its own), history length, result. */
const raceCases:
    readonly (readonly [name: string, writers: readonly string[], historyLength: number, result: unknown])[] = [
        ["another write won", ["theirs"], 100, { type: "conflict", currentVersion: 2 }],
        ["two other writes won", ["theirs", "later"], 100, { type: "conflict", currentVersion: 3 }],
        ["own write won and was overwritten", ["mine", "later"], 100, "accepted"],
        ["the history is too short to tell", ["theirs", "later", "last"], 1, { type: "unknown" }],
    ];

for (const [race, writers, historyLength, result] of raceCases) {
    test(`lost response, ${race}`, () =>
        withPlatform({ historyLength }, async ({ client, platform }) => {
            platform.store.write({ kind, name, expectedVersion: 0, writeId: "first", value: spec });
            // The other writes are applied while the connection of the client's write is dropped.
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

test("a conflict states the current version, or none if the object does not exist", () =>
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

test("concurrent writers: each accepted write creates one version, none is lost", () =>
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
