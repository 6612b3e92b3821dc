/** Tests list and watch requests to a store that fails, compacts its history or does not respond. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createSharedBackoff } from "../src/createSharedBackoff.js";
import { followStore } from "../src/followStore.js";
import type { StoreFollowerOptions, StoreListResult, StoreWatchResult } from "../src/followStore.js";

type StoreResult = StoreListResult<"closedDomains"> | StoreWatchResult<"closedDomains">;

interface FollowOptions {
    /** Duration of each request. */
    readonly elapsedMs?: number;
    readonly overrides?: Partial<StoreFollowerOptions<"closedDomains">>;
    /** Receives the timeout of each watch. */
    readonly timeouts?: number[];
}

/** Follows a store that gives these responses in order; returns the requests, events and delays as lines. */
async function follow(results: readonly StoreResult[], options: FollowOptions = {}): Promise<string[]> {
    const { elapsedMs = 10 } = options;
    const lines: string[] = [];
    let now = 0;
    let resultCount = 0;
    let finish: () => void = () => undefined;
    const finished = new Promise<void>(resolve => (finish = resolve));
    const getNextResult = (request: string): Promise<StoreResult> => {
        const result = results[resultCount++];
        if (result === undefined) {
            finish();
            return new Promise(() => undefined);
        }
        lines.push(request);
        now += elapsedMs;
        return Promise.resolve(result);
    };
    const follower = followStore<"closedDomains">({
        kind: "closedDomains",
        watchTimeoutMs: 2_500,
        list: () => getNextResult("list") as Promise<StoreListResult<"closedDomains">>,
        watch: (revision, timeoutMs) => {
            options.timeouts?.push(timeoutMs);
            return getNextResult(`watch ${revision}`) as Promise<StoreWatchResult<"closedDomains">>;
        },
        emit: event => {
            if (event.type === "viewInterrupted") lines.push(`interrupted: ${event.reason}`);
            else {
                const count = event.type === "viewListed" ? event.entries.length : event.changes.length;
                lines.push(`${event.type} ${count} confirmed at ${event.confirmedAt}`);
            }
        },
        getNow: () => now,
        sleep: ms => {
            lines.push(`sleep ${ms}`);
            now += ms;
            return Promise.resolve();
        },
        random: () => 0.5,
        ...options.overrides,
    });
    await finished;
    follower.stop();
    return lines;
}

const listed: StoreResult = { type: "listed", list: { entries: [{ failureDomain: "a" }], era: 1, revision: 5 } };
const unchanged = { type: "changed", changes: [], era: 1, revision: 5 } as const;
const changed = { type: "changed", changes: [{ name: "a" }], era: 1, revision: 8 } as const;
const failed: StoreResult = { type: "unavailable", cause: "store", reason: "status 503" };
const historyGone: StoreResult = { type: "historyGone" };

// Guards against credentials that stay accepted because a version that removes them could not be applied.
test("entries that cannot be applied are not confirmed until others replace them", async () => {
    const invalid: StoreResult = { type: "invalid", era: 1, revision: 7, reason: "invalid" };
    const results = [listed, invalid, { ...unchanged, revision: 7 }, { ...changed, revision: 9 }];
    assert.equal(await follow(results), [
        "list",
        "viewListed 1 confirmed at 0",
        "watch 5",
        "interrupted: invalid",
        "watch 7",
        "interrupted: invalid",
        "watch 7",
        "viewChanged 1 confirmed at 30",
    ]);
    assert.equal(await follow([invalid, { ...changed, revision: 8 }]), [
        "list",
        "interrupted: invalid",
        "watch 7",
        "viewChanged 1 confirmed at 10",
    ]);
});

test("lists once, then watches from the revision of each response", async () => {
    assert.equal(await follow([listed, changed, { ...unchanged, revision: 8 }]), [
        "list",
        "viewListed 1 confirmed at 0",
        "watch 5",
        "viewChanged 1 confirmed at 10",
        "watch 8",
        "viewChanged 0 confirmed at 30",
    ]);
});

// Guards against a request for each of many changes that come together, as in a series of configuration versions, or
// after a restart of many hosts, when every router registers again.
test("the follower debounces after a change, and not after a watch without changes", async () => {
    const results = [listed, changed, { ...unchanged, revision: 8 }, { ...changed, revision: 9 }];
    assert.equal(await follow(results, { overrides: { debounceMs: 300 } }), [
        "list",
        "viewListed 1 confirmed at 0",
        "watch 5",
        "viewChanged 1 confirmed at 10",
        "sleep 300",
        "watch 8",
        "viewChanged 0 confirmed at 330",
        "watch 8",
        "viewChanged 1 confirmed at 330",
        "sleep 300",
    ]);
});

// Guards against routers that cannot confirm each other in an outage: if one change ends all watches
// at once, all routers have the same last confirmation, for example 2.1 s before the store fails.
test("a view that needs fresh confirmation is confirmed soon after a change, at random times", async () => {
    const results = [listed, changed, { ...unchanged, revision: 8 }, { ...unchanged, revision: 8 }];
    const getTimeouts = async (randomValue: number): Promise<number[]> => {
        const timeouts: number[] = [];
        await follow(results, {
            elapsedMs: 500,
            timeouts,
            overrides: { needsFreshConfirmation: true, random: () => randomValue },
        });
        return timeouts;
    };
    assert.equal(await getTimeouts(0.5), [1_000, 1_000, 2_500, 2_500]);
    assert.equal(await getTimeouts(0.9), [1_800, 1_800, 2_500, 2_500]);
    assert.equal(await getTimeouts(0), [300, 300, 2_500, 2_500]);
});

// Guards against an age of up to 5 s: a watch that a change ends late confirms only as of its start, so the next watch
// must be shorter.
test("a change late in a watch does not double the age", async () => {
    const timeouts: number[] = [];
    await follow([listed, changed, unchanged], {
        elapsedMs: 2_400,
        timeouts,
        overrides: { needsFreshConfirmation: true, random: () => 1 },
    });
    assert.equal(timeouts, [300, 300]);
});

test("a response without changes confirms up to the end of the watch timeout", async () => {
    const lines = await follow([listed, unchanged], { elapsedMs: 2_600 });
    assert.is(lines.at(-1), "viewChanged 0 confirmed at 5100");
});

test("the backoff grows while the store fails, and watching resumes from the same revision", async () => {
    assert.equal(await follow([listed, failed, failed, failed, failed, failed, changed]), [
        "list",
        "viewListed 1 confirmed at 0",
        ...[50, 100, 200, 400, 400].flatMap(ms => ["watch 5", "interrupted: status 503", `sleep ${ms}`]),
        "watch 5",
        "viewChanged 1 confirmed at 1210",
    ]);
});

// Guards against 19 routers that each retry four kinds of entries while the store is down.
test("followers with a shared backoff resume as soon as one of them has a response", async () => {
    const shared = createSharedBackoff(() => new Promise(() => undefined));
    const waits = [shared.wait(1_600), shared.wait(1_600)];
    let ended = 0;
    for (const wait of waits) void wait.then(() => (ended += 1));
    await new Promise(resolve => setImmediate(resolve));
    assert.is(ended, 0);
    const first = await follow([listed], { overrides: { waitForBackoff: shared.wait, onResponse: shared.reset } });
    assert.is(first.length, 2);
    await Promise.all(waits);
    // A wait that begins later lasts until the next response.
    void shared.wait(1_600).then(() => (ended += 1));
    await new Promise(resolve => setImmediate(resolve));
    assert.is(ended, 2);
});

// Guards against DRAIN: a router that hears of changes late, because it waits after the loss of a kept connection.
test("a request that failed with a kept connection is sent again at once, as a short watch", async () => {
    const timeouts: number[] = [];
    const lost: StoreResult = { type: "unavailable", cause: "connection", reason: "the request timed out" };
    assert.equal(await follow([listed, lost, failed, changed], { timeouts }), [
        "list",
        "viewListed 1 confirmed at 0",
        "watch 5",
        "interrupted: the request timed out",
        "watch 5",
        "interrupted: status 503",
        "sleep 50",
        "watch 5",
        "viewChanged 1 confirmed at 80",
    ]);
    assert.equal(timeouts, [2_500, 300, 300, 2_500]);
});

test("a follower with a higher maximum backoff retries less often", async () => {
    const lines = await follow([failed, failed, failed, failed, failed, failed, failed, listed], {
        overrides: { getMaxBackoffMs: () => 1_600 },
    });
    const delays = lines.filter(line => line.startsWith("sleep"));
    assert.equal(delays, [50, 100, 200, 400, 800, 1_600, 1_600].map(ms => `sleep ${ms}`));
});

test("a relist follows when the revision of the store has decreased", async () => {
    assert.equal(await follow([listed, { ...unchanged, revision: 2 }, listed]), [
        "list",
        "viewListed 1 confirmed at 0",
        "watch 5",
        "list",
        "viewListed 1 confirmed at 20",
    ]);
});

// Guards against CONFIG: a store that has come back from an older copy and has passed the old revision since.
test("a relist follows when the response is of a later era, whatever its revision", async () => {
    const lateChanges = { ...changed, era: 2, revision: 60 };
    const listedAgain: StoreResult = { type: "listed", list: { entries: [], era: 2, revision: 3 } };
    assert.equal(await follow([listed, lateChanges, listedAgain, { ...unchanged, era: 2 }]), [
        "list",
        "viewListed 1 confirmed at 0",
        "watch 5",
        "list",
        "viewListed 0 confirmed at 20",
        "watch 3",
        "viewChanged 0 confirmed at 40",
    ]);
});

// Guards against a watch from a revision of the lost history, which is higher than that of what a relay has sent since.
test("a watch begins at what another router has relayed of a later era", async () => {
    const overrides = { getKnownPosition: () => ({ era: 2, revision: 3 }) };
    assert.equal(await follow([listed, { ...unchanged, era: 2, revision: 4 }], { overrides }), [
        "list",
        "viewListed 1 confirmed at 0",
        "watch 3",
        "viewChanged 0 confirmed at 20",
    ]);
});

// Guards against a version that stays unconfirmed, because one of the lost history could not be applied.
test("entries of a later era replace those that could not be applied", async () => {
    const invalid: StoreResult = { type: "invalid", era: 1, revision: 7, reason: "invalid" };
    const listedAgain: StoreResult = { type: "listed", list: { entries: [], era: 2, revision: 3 } };
    assert.equal(await follow([listed, invalid, historyGone, listedAgain, { ...unchanged, era: 2 }]), [
        "list",
        "viewListed 1 confirmed at 0",
        "watch 5",
        "interrupted: invalid",
        "watch 7",
        "list",
        "viewListed 0 confirmed at 30",
        "watch 3",
        "viewChanged 0 confirmed at 50",
    ]);
});

test("a relist follows when the history has been compacted", async () => {
    assert.equal(await follow([listed, historyGone, listed]), [
        "list",
        "viewListed 1 confirmed at 0",
        "watch 5",
        "list",
        "viewListed 1 confirmed at 20",
    ]);
});

test.run();
