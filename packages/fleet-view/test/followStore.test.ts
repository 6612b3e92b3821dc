/** How a view is kept in step with a store that fails, forgets and stays silent. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { followStore } from "../src/followStore.js";
import type { StoreListResult, StoreWatchResult } from "../src/followStore.js";

type Answer = StoreListResult<"closedDomains"> | StoreWatchResult<"closedDomains">;

/** Follows a store that gives these answers in order, and returns what happened as lines. */
async function follow(
    answers: readonly Answer[],
    elapsedMs = 10,
    settleMs?: number,
): Promise<string[]> {
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
        waitMs: 2_500,
        settleMs,
        list: () => next("list") as Promise<StoreListResult<"closedDomains">>,
        watch: revision => next(`watch ${revision}`) as Promise<StoreWatchResult<"closedDomains">>,
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
        draw: () => 0.5,
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
    assert.equal(await follow([listed, changed, { ...quiet, revision: 8 }, { ...changed, revision: 9 }], 10, 300), [
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

test("an answer without changes confirms up to the end of its wait", async () => {
    const lines = await follow([listed, quiet], 2_600);
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
