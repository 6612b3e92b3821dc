/** Guards against exit codes that report a refused, lost or conflicting change as accepted. */
import type { Resource } from "@rhubarbwheel/types/resources";
import { test } from "uvu";
import * as assert from "uvu/assert";
import type { Fault } from "./fakeRouter.js";
import { createErrorBody, runTestCli, sendJson, startFakeRouter } from "./fakeRouter.js";

const router = await startFakeRouter();
const routers = router.url;

const service = {
    kind: "services",
    name: "artwork",
    spec: {
        kind: "model",
        targets: [{ name: "worker-1", address: "http://127.0.0.1:9001", failureDomain: "khomas-a" }],
        targetLimit: 8,
        coldLimit: 1,
    },
};
const domain = { kind: "failuredomains", name: "khomas-a", spec: { state: "in" } };
const files = { "two.json": JSON.stringify([service, domain]), "one.json": JSON.stringify(domain), "bad.json": "{" };

function addResource(resource: object): void {
    const { kind, name } = resource as Resource;
    router.resources.set(`${kind}/${name}`, { version: 3, revision: 40, ...resource } as Resource);
}

test.before.each(() => {
    router.resources.clear();
    router.requests.length = 0;
    router.fault = undefined;
    router.statuses = [];
});
test.after(async () => {
    await router.close();
});

test("apply creates, updates or skips each resource, based on the version that it read", async () => {
    addResource({ ...domain, spec: { state: "out" } });
    const first = await runTestCli("apply -f two.json", { routers, files });
    assert.is(
        first.output,
        "services/artwork created, version 1, revision 41\nfailuredomains/khomas-a updated, version 4, revision 42\n",
    );
    const second = await runTestCli("apply -f two.json", { routers, files });
    assert.match(second.output, /artwork unchanged, version 1, .*\n.*khomas-a unchanged, version 4/);
    assert.is(router.requests.filter(request => request.startsWith("PUT")).length, 2);
});

test("apply --wait returns when the revision is in force on every live router", async () => {
    const createMembers = (revision: number) => [
        { router: "r1", state: "alive", revision: 41 },
        { router: "r2", state: "alive", revision },
        { router: "r3", state: "dead" },
    ];
    const createStatus = (own: number, other: number) => ({
        router: "r1",
        revision: own,
        members: createMembers(other),
    });
    router.statuses = [createStatus(40, 40), createStatus(41, 40), createStatus(41, 41)];
    const done = await runTestCli("apply -f one.json --wait", { routers, files });
    assert.equal([done.exitCode, done.errors], [0, "revision 41 is in force on all routers\n"]);
    assert.is(router.requests.filter(request => request.endsWith("/status")).length, 3);
    router.statuses = [createStatus(41, 40)];
    const late = await runTestCli("apply -f one.json --wait --timeout 1", { routers, files });
    assert.is(late.exitCode, 5);
    assert.match(late.errors, /not yet known to be in force on r2/);
});

function createWriteFault(handleWrite: Fault): Fault {
    return (request, response) => request.method === "PUT" && handleWrite(request, response);
}

const writeFailures: [string, number, Fault | undefined, RegExp][] = [
    [
        "an invalid resource",
        1,
        (_, to) => sendJson(to, 400, createErrorBody("RESOURCE_INVALID", "notRun")),
        /RESOURCE_INVALID: Message of RESOURCE_INVALID\.\nhint: Hint of/,
    ],
    ["a conflict", 3, (_, to) => sendJson(to, 409, createErrorBody("VERSION_CONFLICT", "notRun")), /VERSION_CONFLICT/],
    [
        "a store that is down",
        4,
        (_, to) => sendJson(to, 503, createErrorBody("PLATFORM_UNAVAILABLE", "notRun")),
        /PLATFORM_UNAVAILABLE/,
    ],
    [
        "an unknown outcome",
        5,
        (_, to) => sendJson(to, 504, createErrorBody("PLATFORM_UNKNOWN", "unknown")),
        /PLATFORM_UNKNOWN/,
    ],
    ["a lost response", 5, request => Boolean(request.socket.destroy()), /PLATFORM_UNKNOWN.*\nhint: Read the resource/],
    ["an error without a body", 5, (_, to) => Boolean(to.writeHead(500).end()), /HTTP_500/],
];
for (const [title, exitCode, fault, errors] of writeFailures) {
    test(`apply exits with ${exitCode} after ${title}, without repeating the write or trying the rest`, async () => {
        router.fault = fault === undefined ? undefined : createWriteFault(fault);
        const result = await runTestCli("apply -f two.json", { routers, files });
        assert.is(result.exitCode, exitCode);
        assert.match(result.errors, errors);
        assert.match(result.errors, /failuredomains\/khomas-a was not tried/);
        assert.is(router.requests.filter(request => request.startsWith("PUT")).length, 1);
    });
}

test("a write is sent to the next router only if the first one provably did not run it", async () => {
    const second = await startFakeRouter();
    const count = () => second.requests.filter(request => request.startsWith("PUT")).length;
    router.fault = createWriteFault((_, to) => sendJson(to, 503, createErrorBody("DRAINING", "notRun")));
    const result = await runTestCli("apply -f one.json", {
        routers: `http://127.0.0.1:1,${routers},${second.url}`,
        files,
    });
    assert.equal([result.exitCode, count()], [0, 1]);
    router.fault = createWriteFault(request => Boolean(request.socket.destroy()));
    assert.is((await runTestCli("apply -f one.json", { routers: `${routers},${second.url}`, files })).exitCode, 5);
    assert.is(count(), 1);
    await second.close();
});

const failingCommands: [string, number, RegExp][] = [
    ["", 2, /Name a command/],
    ["paint", 2, /no command paint/],
    ["get", 2, /Name one of the kinds/],
    ["get services a b", 2, /too many arguments/],
    ["delete services", 2, /Name the resource/],
    ["apply", 2, /Name the file/],
    ["apply -f none.json", 2, /no such file/],
    ["apply -f bad.json", 1, /bad\.json: is not JSON/],
    ["list services --output yaml", 2, /--output is none of/],
    ["list services --colour", 2, /Unknown option/],
    ["list services --router ftp://x", 2, /--router is not/],
    ["completion fish", 2, /completion bash/],
    ["get services none", 1, /RESOURCE_NOT_FOUND/],
    ["list services --router http://127.0.0.1:1", 4, /ROUTER_UNREACHABLE/],
];
for (const [argv, exitCode, errors] of failingCommands) {
    test(`"${argv}" exits with ${exitCode} and prints a hint`, async () => {
        const result = await runTestCli(argv, { routers, files });
        assert.is(result.exitCode, exitCode);
        assert.match(result.errors, errors);
        assert.match(result.errors, /\nhint: /);
    });
}

test("a wrong token is refused and not printed", async () => {
    const result = await runTestCli("list services", { routers, token: "wrong-token" });
    assert.is(result.exitCode, 1);
    assert.match(result.errors, /OPERATOR_CREDENTIAL_INVALID/);
    assert.not.match(result.errors, /wrong-token/);
});

test("delete sends the version that it read", async () => {
    addResource(service);
    const result = await runTestCli("delete service artwork", { routers });
    assert.is(result.output, "services/artwork deleted, was version 3\n");
    assert.is((await runTestCli("get services artwork", { routers })).exitCode, 1);
    assert.is(
        (await runTestCli("apply -f two.json", { routers, files })).exitCode,
        0,
        "a tombstone can be overwritten",
    );
});

test("watch prints each version once, and exits with 0 when interrupted", async () => {
    addResource(domain);
    const interrupt = new AbortController();
    let waits = 0;
    const onWait = () => {
        waits += 1;
        if (waits === 1) addResource({ ...domain, version: 4, revision: 41, deleted: true });
        else interrupt.abort();
    };
    const result = await runTestCli("watch failuredomains", { routers, onWait, signal: interrupt.signal });
    assert.is(result.exitCode, 0);
    assert.is(
        result.output,
        "khomas-a  version 3  revision 40  set  in\nkhomas-a  version 4  revision 41  deleted\n",
    );
    assert.ok(router.requests.includes("GET /api/v1/failuredomains?watch=true&revision=40"));
});

test.run();
