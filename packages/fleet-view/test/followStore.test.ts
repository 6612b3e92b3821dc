/** How a view is kept in step with a store that fails, forgets and stays silent. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createSharedBackoff } from "../src/createSharedBackoff.js";
import { followStore } from "../src/followStore.js";
import type { StoreFollowerOptions, StoreListResult, StoreWatchResult } from "../src/followStore.js";

type Answer = StoreListResult<"closedDomains"> | StoreWatchResult<"closedDomains">;

interface FollowCase {
    /** Time that each call takes. */
    readonly elapsedMs?: number;
    readonly opts?: Partial<StoreFollowerOptions<"closedDomains">>;
    /** Receives the wait of each watch. */
    readonly waits?: number[];
}

/** Follows a store that gives these answers in order, and returns what happened as lines. */
async function follow(answers: readonly Answer[], more: FollowCase = {}): Promise<string[]> {
    const { elapsedMs = 10 } = more;
    const lines: string[] = [];
    let now = 0;
    let given = 0;
    let finish: () => void = () => undefined;
    const finished = new Promise<void>(resolve => (finish = resolve));
    const next = (call: string): Promise<Answer> => {
        const answer = answers[given++];
        if (answer === undefined) {
            finish();
            return new Promise(() => undefined);
        }
        lines.push(call);
        now += elapsedMs;
        return Promise.resolve(answer);
    };
    const follower = followStore<"closedDomains">({
        kind: "closedDomains",
        watchTimeoutMs: 2_500,
        list: () => next("list") as Promise<StoreListResult<"closedDomains">>,
        watch: (revision, waitMs) => {
            more.waits?.push(waitMs);
            return next(`watch ${revision}`) as Promise<StoreWatchResult<"closedDomains">>;
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
        ...more.opts,
    });
    await finished;
    follower.stop();
    return lines;
}

const listed: Answer = { type: "listed", list: { entries: [{ failureDomain: "a" }], revision: 5 } };
const quiet: Answer = { type: "changed", changes: [], revision: 5 };
const changed: Answer = { type: "changed", changes: [{ name: "a" }], revision: 8 };
const lost: Answer = { type: "unavailable", reason: "status 503" };
const gone: Answer = { type: "historyGone" };

test("lists once, then watches from the revision of each answer", async () => {
    assert.equal(await follow([listed, changed, { ...quiet, revision: 8 }]), [
        "list",
        "viewListed 1 confirmed at 0",
        "watch 5",
        "viewChanged 1 confirmed at 10",
        "watch 8",
        "viewChanged 0 confirmed at 30",
    ]);
});

// Patterns: `config_storm`, and `herd_kill`, after which every router announces itself to every other one.
test("after a change the follower waits for others that come with it, and not after a quiet watch", async () => {
    const answers = [listed, changed, { ...quiet, revision: 8 }, { ...changed, revision: 9 }];
    assert.equal(await follow(answers, { opts: { debounceMs: 300 } }), [
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

// Pattern: `platform_down` on trouble-3 of kaurimbi-press: a change before the outage had woken the watches of all routers
// at once, so all were last confirmed 2.1 s before the store went down, and none could confirm another.
test("what must not grow old is confirmed soon after a change, at times that differ by chance", async () => {
    const answers = [listed, changed, { ...quiet, revision: 8 }, { ...quiet, revision: 8 }];
    const waitsOf = async (drawn: number): Promise<number[]> => {
        const waits: number[] = [];
        await follow(answers, { elapsedMs: 500, waits, opts: { needsFreshConfirmation: true, random: () => drawn } });
        return waits;
    };
    assert.equal(await waitsOf(0.5), [1_000, 1_000, 2_500, 2_500]);
    assert.equal(await waitsOf(0.9), [1_800, 1_800, 2_500, 2_500]);
    assert.equal(await waitsOf(0), [300, 300, 2_500, 2_500]);
});

// A watch that is woken late in its wait confirms as of its start; without a shorter one after it, the age would reach 5 s.
test("a change late in a wait does not double the age", async () => {
    const waits: number[] = [];
    await follow([listed, changed, quiet], {
        elapsedMs: 2_400,
        waits,
        opts: { needsFreshConfirmation: true, random: () => 1 },
    });
    assert.equal(waits, [300, 300]);
});

test("an answer without changes confirms up to the end of its wait", async () => {
    const lines = await follow([listed, quiet], { elapsedMs: 2_600 });
    assert.is(lines.at(-1), "viewChanged 0 confirmed at 5100");
});

test("pauses grow while the store fails, and watching goes on where it was", async () => {
    assert.equal(await follow([listed, lost, lost, lost, lost, lost, changed]), [
        "list",
        "viewListed 1 confirmed at 0",
        ...[50, 100, 200, 400, 400].flatMap(ms => ["watch 5", "interrupted: status 503", `sleep ${ms}`]),
        "watch 5",
        "viewChanged 1 confirmed at 1210",
    ]);
});

// Pattern: `platform_down` on trouble-3 of kaurimbi-press: 19 routers asked for four kinds each while the store was away.
test("followers that share their pauses go on as soon as one of them has an answer", async () => {
    const shared = createSharedBackoff(() => new Promise(() => undefined));
    const paused = [shared.wait(1_600), shared.wait(1_600)];
    let ended = 0;
    for (const pause of paused) void pause.then(() => (ended += 1));
    await new Promise(resolve => setImmediate(resolve));
    assert.is(ended, 0);
    const first = await follow([listed], { opts: { backoff: shared.wait, onAnswered: shared.reset } });
    assert.is(first.length, 2);
    await Promise.all(paused);
    // A pause that begins later waits for the next answer.
    void shared.wait(1_600).then(() => (ended += 1));
    await new Promise(resolve => setImmediate(resolve));
    assert.is(ended, 2);
});

test("a follower that waits for another one asks less often", async () => {
    const lines = await follow([lost, lost, lost, lost, lost, lost, lost, listed], {
        opts: { getMaxBackoffMs: () => 1_600 },
    });
    const pauses = lines.filter(line => line.startsWith("sleep"));
    assert.equal(pauses, [50, 100, 200, 400, 800, 1_600, 1_600].map(ms => `sleep ${ms}`));
});

test("everything is listed again when the store has started over", async () => {
    assert.equal(await follow([listed, { ...quiet, revision: 2 }, listed]), [
        "list",
        "viewListed 1 confirmed at 0",
        "watch 5",
        "list",
        "viewListed 1 confirmed at 20",
    ]);
});

test("everything is listed again when the history is gone", async () => {
    assert.equal(await follow([listed, gone, listed]), [
        "list",
        "viewListed 1 confirmed at 0",
        "watch 5",
        "list",
        "viewListed 1 confirmed at 20",
    ]);
});

test.run();
