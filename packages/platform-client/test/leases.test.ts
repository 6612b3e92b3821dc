/** Guards against two holders of a lease at the same time, and against fencing numbers that do not increase. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createPlatformClient } from "../src/createPlatformClient.js";
import { withPlatform } from "./platformFixtures.js";

/** Two routers, each with its own manually advanced clock; the clocks differ. */
async function withRouters(
    use: (routers: {
        readonly acquire: (router: "a" | "b") => Promise<unknown>;
        readonly release: (router: "a" | "b") => Promise<void>;
        /** Replaces the client of the router, as after a restart. */
        readonly restart: (router: "a" | "b") => Promise<void>;
        readonly advanceClocks: (durationMs: number) => void;
        readonly setFaults: (faults: object) => void;
        readonly countRequests: () => number;
    }) => Promise<void>,
): Promise<void> {
    await withPlatform({}, async ({ address, platform }) => {
        const clockMs = { a: 1_000, b: 900_000 };
        let writes = 0;
        const create = (router: "a" | "b") =>
            createPlatformClient({
                addresses: [address],
                timeoutMs: 1_000,
                createWriteId: () => `${router}-${writes += 1}`,
                getNow: () => clockMs[router],
                retryDelayMs: 1,
            });
        const clients = { a: create("a"), b: create("b") };
        try {
            await use({
                acquire: router => clients[router].acquireLease("target-1", router, 100),
                release: router => clients[router].releaseLease("target-1", router),
                restart: async router => {
                    await clients[router].close();
                    clients[router] = create(router);
                },
                advanceClocks: durationMs => {
                    clockMs.a += durationMs;
                    clockMs.b += durationMs;
                },
                setFaults: platform.setFaults,
                countRequests: () => clients.a.countRequests() + clients.b.countRequests(),
            });
        }
        finally {
            await Promise.all([clients.a.close(), clients.b.close()]);
        }
    });
}

const createHeldResult = (fencingNumber: number) => ({ result: "held", validForMs: 100, fencingNumber });
const createTakenResult = (validForMs: number, fencingNumber: number) => ({
    result: "taken",
    validForMs,
    fencingNumber,
});
const unavailable = { result: "unavailable", validForMs: 0, fencingNumber: 0 };

test("a lease is taken over only after it was not renewed for its full duration", () =>
    withRouters(async ({ acquire, advanceClocks }) => {
        assert.equal(await acquire("a"), createHeldResult(1));
        assert.equal(await acquire("b"), createTakenResult(100, 1));
        advanceClocks(60);
        assert.equal(await acquire("a"), createHeldResult(1));
        advanceClocks(60);
        assert.equal(await acquire("b"), createTakenResult(100, 1), "a renewal restarts the expiry");
        advanceClocks(99);
        assert.equal(await acquire("b"), createTakenResult(1, 1));
        advanceClocks(1);
        assert.equal(await acquire("b"), createHeldResult(2));
        assert.equal(await acquire("a"), createTakenResult(100, 2), "the former holder sees the new one");
    }));

test("a released lease is free at once, and the fencing number increases", () =>
    withRouters(async ({ acquire, release }) => {
        assert.equal(await acquire("a"), createHeldResult(1));
        await release("b");
        assert.equal(await acquire("b"), createTakenResult(100, 1));
        await release("a");
        assert.equal(await acquire("b"), createHeldResult(2));
        await release("b");
        assert.equal(await acquire("b"), createHeldResult(3));
    }));

test("a restarted router does not renew or release the lease of its old process, which may still be running", () =>
    withRouters(async ({ acquire, release, restart, advanceClocks }) => {
        assert.equal(await acquire("a"), createHeldResult(1));
        await restart("a");
        await release("a");
        assert.equal(await acquire("a"), createTakenResult(100, 1));
        advanceClocks(100);
        assert.equal(await acquire("a"), createHeldResult(2));
    }));

test("a renewal is one request", () =>
    withRouters(async ({ acquire, countRequests }) => {
        await acquire("a");
        const countBefore = countRequests();
        await acquire("a");
        assert.is(countRequests() - countBefore, 1);
    }));

const faultCases = [
    {
        name: "response lost",
        faults: { loseAnswers: 1 },
        first: createHeldResult(1),
        second: createTakenResult(100, 1),
    },
    {
        name: "request lost",
        faults: { loseRequests: 1 },
        first: createHeldResult(1),
        second: createTakenResult(100, 1),
    },
    { name: "every request lost", faults: { loseRequests: 4 }, first: unavailable, second: createHeldResult(1) },
    {
        name: "every response lost",
        faults: { loseAnswers: 4 },
        first: createHeldResult(1),
        second: createTakenResult(100, 1),
    },
    { name: "store down", faults: { down: true }, first: unavailable, second: createHeldResult(1) },
];

for (const { name, faults, first, second } of faultCases) {
    test(`acquisition with ${name}: ${first.result}, then ${second.result} for another router`, () =>
        withRouters(async ({ acquire, setFaults }) => {
            setFaults(faults);
            assert.equal(await acquire("a"), first);
            setFaults({ down: false });
            assert.equal(await acquire("b"), second);
        }));
}

test("an applied but unconfirmed renewal is unavailable; the lease is held later with the same fencing number", () =>
    withRouters(async ({ acquire, setFaults }) => {
        // The faults begin with a renewal, which writes without a read: the read of a first acquisition would fail.
        assert.equal(await acquire("a"), createHeldResult(1));
        setFaults({ loseAnswers: 1, loseReads: 4, loseRequests: 0 });
        assert.equal(await acquire("a"), unavailable);
        assert.equal(await acquire("b"), createTakenResult(100, 1));
        assert.equal(await acquire("a"), createHeldResult(1));
    }));

test("if two routers race for a free lease, exactly one holds it", () =>
    withRouters(async ({ acquire }) => {
        const results = (await Promise.all([acquire("a"), acquire("b")])) as { result: string; }[];
        assert.equal(results.map(result => result.result).sort(), ["held", "taken"]);
    }));

test.run();
