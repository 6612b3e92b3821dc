/** Guards against changed output formats, which would break scripts. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { renderStatus } from "../src/commands/printStatus.js";
import { renderTable } from "../src/renderTable.js";
import type { RouterStatus } from "../src/routerStatus.js";
import { runTestCli, startFakeRouter } from "./fakeRouter.js";

const first: RouterStatus = {
    router: "khomas-a-1",
    incarnation: 5,
    failureDomain: "khomas-a",
    freshness: "fresh",
    revision: 42,
    configurationAgeMs: 312,
    draining: false,
    members: [
        { router: "khomas-b-1", failureDomain: "khomas-b", state: "suspect", incarnation: 7, revision: 41 },
        { router: "khomas-a-1", failureDomain: "khomas-a", state: "alive", incarnation: 5, revision: 42 },
    ],
    pools: [{
        pool: "artwork",
        coordinator: "khomas-b-1",
        targets: [
            { target: "worker-1", condition: "warm", limit: 8, held: 8, running: 7 },
            { target: "worker-2", condition: "cold", limit: 1, held: 0, running: 0 },
        ],
        workspaces: [
            { workspace: "proofs", virtualTime: 1_250.25, queued: 3 },
            { workspace: "quotes", virtualTime: 1_200, queued: 12 },
            { workspace: "idle", virtualTime: 10, queued: 0 },
        ],
        gap: 50.25,
    }],
    queues: [],
    openCalls: 0,
    traffic: { messages: 1_200, bytes: 345_678 },
    platformCalls: 99,
};

test("status fits on one screen and shows the least-served workspace first", () => {
    assert.snapshot(
        renderStatus([first, { ...first, router: "khomas-b-1", freshness: "stale", draining: true, revision: 41 }]),
        `ROUTER      FAILURE-DOMAIN  STATE     FRESHNESS  CONFIRMED  REVISION
khomas-a-1  khomas-a        alive     fresh      0.3s       42
khomas-b-1  khomas-b        draining  stale      0.3s       41

POOL     COORDINATOR  TARGET    CONDITION  LIMIT  HELD  RUNNING
artwork  khomas-b-1   worker-1  warm       8      8     7
artwork  khomas-b-1   worker-2  cold       1      0     0

Pool artwork: gap 50.3, 2 backlogged workspaces
WORKSPACE  VIRTUAL-TIME  QUEUED
quotes     1200.0        12
proofs     1250.3        3

Reported by khomas-a-1: 1200 control messages, 345678 bytes, 99 platform calls
`,
    );
});

test("the status of the coordinator takes precedence for a pool, and its absence is reported", () => {
    const known = { target: "worker-1", condition: "warm", limit: 8 } as const;
    const entry = { ...first, pools: first.pools.map(pool => ({ ...pool, targets: [known], workspaces: [], gap: 0 })) };
    assert.match(renderStatus([entry]), /worker-1 +warm +8 +- +-\n[^]*name khomas-b-1 in --router/);
    assert.match(renderStatus([entry, { ...first, router: "khomas-b-1" }]), /worker-1 +warm +8 +8 +7\n[^]*gap 50.3/);
});

test("a long backlog is truncated, with the number of omitted workspaces", () => {
    const workspaces = Array.from({ length: 12 }, (_, n) => ({ workspace: `w${n}`, virtualTime: n, queued: 1 }));
    const pools = first.pools.map(pool => ({ ...pool, workspaces }));
    assert.match(renderStatus([{ ...first, router: "khomas-b-1", pools }]), /w9 .*\nand 2 more\n/);
});

test("control characters in names are replaced", () => {
    assert.is(renderTable(["NAME"], [["a\u001b[2Jb"]]), "NAME\na?[2Jb\n");
});

test("lists are sorted and have a stable layout in each output format", async () => {
    const router = await startFakeRouter();
    const add = (name: string, spec: object, rest: object = {}) =>
        router.resources.set(name, { kind: "workspaces", name, version: 2, revision: 41, spec, ...rest } as never);
    add("quotes", { share: 2, credentialHashes: ["a", "b"], maxQueuedPerRouter: 64 });
    add("proofs", { share: 1, credentialHashes: [] });
    add("gone", { share: 1, credentialHashes: [] }, { deleted: true });
    const list = (format: string) => runTestCli(`list workspaces --output ${format}`, { routers: router.url });
    assert.snapshot(
        (await list("table")).output,
        `NAME    VERSION  REVISION  SHARE  CREDENTIALS  MAX-QUEUED
proofs  2        41        1      0            -
quotes  2        41        2      2            64
`,
    );
    assert.is((await list("names")).output, "proofs\nquotes\n");
    assert.is((JSON.parse((await list("json")).output) as { resources: object[]; }).resources.length, 2);
    await router.close();
});

test("the completion script contains commands and kinds", async () => {
    const { output } = await runTestCli("completion bash", {});
    assert.match(output, /apply get list watch delete status completion/);
    assert.match(output, /workspaces services failuredomains/);
});

test.run();
