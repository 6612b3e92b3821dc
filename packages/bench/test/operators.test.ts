/** Guards against a command line tool that is incompatible with the operators' API. */
import type { Resource, ResourceOf } from "@rhubarbwheel/types/resources";
import { setTimeout as sleep } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { putResource, readJson } from "../src/startFleet.js";
import { startTestFleet, startTool, type TestFleet, waitFor } from "./testFleet.js";

let fleet: TestFleet;
test.before(async () => {
    fleet = await startTestFleet();
});
test.after(() => fleet.stop());

const start = (argv: string, input?: string) => startTool(fleet.routers.map(({ url }) => url), argv, input);
const run = (argv: string, input?: string) => start(argv, input).ended;

test("a failure domain that is out gets no new requests, and its requests in progress complete", async () => {
    const streams = Array.from({ length: 6 }, (_, n) => fleet.sendChat(n % 3, { maxTokens: 150 }));
    const isBusy = async () => (await fleet.readStats("khomas-b")).some(({ concurrency }) => concurrency > 0);
    const results = await fleet.runWithLoad([0, 1, 2], async load => {
        await waitFor("the failure domain has requests in progress", isBusy);
        const out = JSON.stringify({ kind: "failuredomains", name: "khomas-b", spec: { state: "out" } });
        const applied = await run("apply --wait -f -", out);
        assert.is(applied.code, 0, applied.errors);
        // New requests are guaranteed to stop only 3 s after the command.
        await sleep(3_000);
        const outSince = Date.now();
        await fleet.waitForCompleted(load, 20);
        const stats = await fleet.readStats("khomas-b");
        const lastStartTimes = stats.map(({ lastEnteredAgeMs = Infinity }) => Date.now() - lastEnteredAgeMs);
        assert.ok(
            lastStartTimes.every(at => at < outSince),
            `a request started ${Math.max(...lastStartTimes) - outSince} ms too late`,
        );
    });
    const all = [...results, ...await Promise.all(streams)];
    assert.equal(all.filter(({ outcome, crossed }) => outcome !== "complete" || crossed), []);
    await waitFor("the failure domain is idle", async () => !await isBusy());
    const backInService = JSON.stringify({ kind: "failuredomains", name: "khomas-b", spec: { state: "in" } });
    assert.is((await run("apply --wait -f -", backInService)).code, 0);
});

test("list and get show the resources of the routers", async () => {
    const list = await run("list services");
    assert.match(list.output, /^NAME +VERSION .*\nassistant +1 .* model +2 .*\norder-desk +1 .* plain +2 /);
    const { output } = await run("get workspace proofs --output json");
    const { kind, name, version, spec } = JSON.parse(output) as ResourceOf<"workspaces">;
    assert.equal([kind, name, version, spec.share], ["workspaces", "proofs", 1, 2]);
    const names = await run("list failuredomains --output names");
    assert.is(names.output, "khomas-a\nkhomas-b\nkhomas-c\n");
    const missing = await run("get workspace none");
    assert.equal([missing.code, /RESOURCE_NOT_FOUND/.test(missing.errors)], [1, true]);
});

test("status shows every target of every pool from any router", async () => {
    for (const { url } of fleet.routers) {
        const expected = /router-2 +khomas-c +alive[^]*assistant +router-\d +assistant-1 [^]*order-desk-1 /;
        await waitFor(
            "the status shows all targets",
            async () => expected.test((await startTool([url], "status").ended).output),
        );
    }
});

test("a conflict returns the current version, and a later update succeeds", async () => {
    const url = fleet.getRouter(0).url;
    const resource = { kind: "workspaces" as const, name: "quotes" };
    const { spec } = await readJson<ResourceOf<"workspaces">>(`${url}/api/v1/workspaces/quotes`);
    const conflict = await putResource(url, { ...resource, spec, version: 7 });
    const { error } = conflict.body as { error: { code: string; currentVersion: number; }; };
    assert.equal([conflict.status, error.code, error.currentVersion], [409, "VERSION_CONFLICT", 1]);
    const applied = await run("apply --wait -f -", JSON.stringify({ ...resource, spec: { ...spec, share: 3 } }));
    assert.equal([applied.code, /version 2/.test(applied.output)], [0, true], applied.errors);
});

test("watch shows the existing resources, then each change", async () => {
    const watch = start("watch failuredomains --output json");
    const readLines = () =>
        watch.readOutput().split("\n").filter(line => line !== "").map(line => JSON.parse(line) as Resource);
    try {
        await waitFor("the resources are listed", () => readLines().length === 3);
        const change = { kind: "failuredomains", name: "khomas-c", spec: { state: "out" } };
        assert.is((await run("apply -f -", JSON.stringify(change))).code, 0);
        await waitFor("the change is shown", () => readLines().length === 4);
        assert.equal(readLines()[3]?.spec, { state: "out" });
    }
    finally {
        watch.interrupt();
    }
    assert.is((await watch.ended).code, 0);
});

test.run();
