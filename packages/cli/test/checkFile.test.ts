import type { Resource } from "@rhubarbwheel/types/resources";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createErrorBody, runTestCli, sendJson, startFakeRouter } from "./fakeRouter.js";

const router = await startFakeRouter();
test.before.each(() => {
    router.resources.clear();
    router.requests.length = 0;
    router.fault = undefined;
});
test.after(async () => {
    await router.close();
});

const domain = { kind: "failuredomains", name: "khomas-a", spec: { state: "in" } };
const workspace = { kind: "workspaces", name: "quotes", spec: { share: 1, credentialHashes: [] } };
const clean = JSON.stringify(domain);
const shifted = `[\n  ${clean},\n  {"kind": "workspaces", "name": "ünits",\n\t"spec": {"share": 0, "share": 1}}\n]\n`;
const marked = (bytes: number[], encoding: BufferEncoding) =>
    Buffer.concat([Buffer.from(bytes), Buffer.from(clean, encoding)]);

// Each case guards against a file that cannot be read, but counts as clean, as findings or as a fault of the program.
const unreadable: readonly (readonly [title: string, content: string | Uint8Array, problem: RegExp])[] = [
    ["an empty file", "", /f: is empty/],
    ["only white space", " \n\t", /f: is empty/],
    ["a truncated file", clean.slice(0, -2), /f:1:64: is not JSON: expected "," or "}", found the end of the file/],
    ["a truncated text", `[\n{"kind": "work`, /f:2:10: is not JSON: a string that does not end/],
    ["a trailing comma", `[\n${clean},\n]`, /f:3:1: is not JSON: expected a value, found "\]"/],
    ["a key without quotes", "{kind: 1}", /f:1:2: is not JSON: expected a key in double quotes, found "k"/],
    ["a comment", "[] // none", /f:1:4: is not JSON: expected the end of the file, found "\/"/],
    ["a second document", `${clean}\n${clean}`, /f:2:1: is not JSON: expected the end/],
    ["deep nesting", "[".repeat(100_000), /f:1:66: is not JSON: nested more than 64 levels/],
    ["UTF-16", marked([0xff, 0xfe], "utf16le"), /f: is in UTF-16 or UTF-32/],
    ["UTF-16 without a mark", marked([], "utf16le"), /f: is in UTF-16 or UTF-32/],
    ["a byte order mark", marked([0xef, 0xbb, 0xbf], "utf8"), /f: is in UTF-8 with a byte order mark/],
    ["Latin-1", Buffer.from(shifted, "latin1"), /f: is not in UTF-8/],
    ["binary data", Buffer.from([0x7f, 0x45, 0x4c, 0x46, 0xff]), /f: is not in UTF-8/],
    ["a huge file", " ".repeat(16_000_001), /f: has more than 16000000 bytes/],
];
for (const [title, content, problem] of unreadable) {
    test(`${title} is unreadable, as the file and with --against`, async () => {
        const files = { f: content, clean };
        for (const argv of ["check f", "check f -o json", "check clean --against f"]) {
            const { exitCode, output, errors } = await runTestCli(argv, { files });
            assert.equal([exitCode, output], [2, ""]);
            assert.match(errors, problem);
            assert.match(errors, /\nhint: /);
        }
    });
}

// Guards against usage errors that look like findings or like a clean file.
for (
    const argv of ["check", "check f g", "check none", "check f -o names", "check - --against -", "check f --against x"]
) {
    test(`"${argv}" exits with 2`, async () =>
        assert.is((await runTestCli(argv, { files: { f: clean } })).exitCode, 2));
}

// Guards against a check that needs a router or a token, and thus cannot run before a deployment.
test("a clean file exits with 0 without a router", async () => {
    for (const argv of ["check -", "check -f -"]) {
        const result = await runTestCli(argv, { files: { "-": clean }, token: "" });
        assert.equal(result, { exitCode: 0, output: "-: 1 resource, 0 errors, 0 warnings\n", errors: "" });
    }
});

// Guards against wrong positions: after line breaks, tabs and characters of several bytes, and for missing fields.
test("findings have the line and column of the field, or of what should contain it", async () => {
    const { exitCode, output } = await runTestCli("check f", { files: { f: shifted } });
    assert.is(exitCode, 1);
    assert.equal(
        output.split("\n").filter(line => line.startsWith("f")).map(line => line.split(": ").slice(0, 2)),
        [
            ["f:3:34", "error FIELD_INVALID workspaces/ünits name"],
            ["f:4:10", "error FIELD_INVALID workspaces/ünits spec.credentialHashes"],
            ["f:4:23", "error KEY_DUPLICATE document share"],
            ["f", "2 resources, 3 errors, 0 warnings"],
        ],
    );
});

// Guards against names that send escape sequences to the operator's terminal.
test("control characters in names are replaced", async () => {
    const f = JSON.stringify([{ ...domain, name: "a\u001b[2J" }]);
    const { output } = await runTestCli("check f", { files: { f } });
    assert.match(output, /failuredomains\/a\?\[2J name/);
});

// Guards against an output that hides the other findings, or a terminal full of one cause.
test("text is limited to 200 findings, JSON has all of them", async () => {
    const f = JSON.stringify(Array.from({ length: 250 }, (_, index) => ({ ...workspace, name: `w${index}` })));
    const { output } = await runTestCli("check f", { files: { f } });
    assert.match(output, /\nand 50 more findings, see -o json\nf: 250 resources, 0 errors, 250 warnings\n$/);
    const json = JSON.parse((await runTestCli("check f -o json", { files: { f } })).output) as { findings: object[]; };
    assert.is(json.findings.length, 250);
    assert.equal(json.findings[0], {
        code: "WORKSPACE_WITHOUT_CREDENTIAL",
        severity: "warning",
        entry: "workspaces/w0",
        field: "spec.credentialHashes",
        message: "No credential identifies the workspace, so nobody can call with its share.",
        hint: "Add the SHA-256 hash of a token, or delete the workspace.",
        line: 1,
        column: f.indexOf("[]") + 1,
    });
});

// Guards against differences that count as findings, tombstones that count as resources, and writes.
test("--against a router reads its resources and reports the differences", async () => {
    const add = (resource: object, rest: object = {}) =>
        router.resources.set(JSON.stringify(resource), { version: 1, revision: 40, ...resource, ...rest } as Resource);
    add({ ...domain, spec: { state: "out" } });
    add({ ...domain, name: "gone" }, { deleted: true });
    add(workspace);
    const files = { f: clean };
    const { exitCode, output } = await runTestCli(`check f --against ${router.url}`, { files });
    assert.is(exitCode, 0);
    assert.snapshot(
        output,
        `Differences from ${router.url}:
    changed failuredomains/khomas-a (state)
        0 targets will get calls again; those that have restarted start cold
    workspaces: 1 in force not compared, because the file has none
f: 1 resource, 0 errors, 0 warnings
`,
    );
    assert.ok(router.requests.every(request => request.startsWith("GET ")));
    const json = JSON.parse((await runTestCli(`check f -o json --against ${router.url}`, { files })).output) as object;
    assert.equal(Object.keys(json), [
        "file",
        "resourceCount",
        "against",
        "errors",
        "warnings",
        "findings",
        "differences",
        "notCompared",
    ]);
});

// Guards against an error of the router that scripts take for findings (exit code 1).
test("a router that cannot be read exits with 2", async () => {
    const files = { f: clean };
    const check = (url: string) => runTestCli(`check f --against ${url}`, { files });
    assert.match((await check("http://127.0.0.1:1")).errors, /ROUTER_UNREACHABLE/);
    router.fault = (_, response) => sendJson(response, 401, createErrorBody("OPERATOR_CREDENTIAL_INVALID"));
    const { exitCode, output, errors } = await check(router.url);
    assert.equal([exitCode, output], [2, ""]);
    assert.match(errors, /OPERATOR_CREDENTIAL_INVALID/);
});

// Guards against invalid resources of the other file that are compared, or ignored without notice.
test("--against a file ignores its invalid resources with a notice", async () => {
    const files = {
        f: clean,
        g: JSON.stringify({ resources: [domain, { ...workspace, name: "X" }, { kind: "services" }, domain] }),
    };
    const { exitCode, output, errors } = await runTestCli("check f --against g", { files });
    assert.equal([exitCode, errors], [0, "3 resources of g not valid, thus ignored\n"]);
    assert.match(output, /No differences from g\n/);
});

// Guards against findings about the other file that are reported with places in this one.
test("--against a file reports no finding that the other file has already", async () => {
    const files = { f: clean, g: JSON.stringify([workspace]) };
    const { exitCode, output } = await runTestCli("check f --against g", { files });
    assert.is(exitCode, 0);
    assert.match(output, /\nf: 1 resource, 0 errors, 0 warnings\n$/);
});

// Guards against a refused resource of the file that is reported as removed, although it is there.
test("--against does not list a refused resource as removed", async () => {
    const refused = { ...workspace, spec: { share: 0, credentialHashes: [] } };
    const files = { f: JSON.stringify([domain, refused]), g: JSON.stringify([domain, workspace]) };
    const { exitCode, output } = await runTestCli("check f --against g", { files });
    assert.is(exitCode, 1);
    assert.match(output, /FIELD_INVALID workspaces\/quotes spec.share: .*\n.*\nNo differences from g\nf: 2 resources/);
});

test.run();
