import { checkConfiguration } from "@rhubarbwheel/configuration-check/checkConfiguration";
import { drainTimeoutMs, maxOpenCallsPerWorkspace } from "@rhubarbwheel/configuration-check/checkSettings";
import type { ConfigurationEntry, Finding } from "@rhubarbwheel/configuration-check/finding";
import { parseEntries } from "@rhubarbwheel/configuration-check/parseEntries";
import { settingsTable } from "@rhubarbwheel/daemon/settingsTable";
import { createHash } from "node:crypto";
import { test } from "uvu";
import * as assert from "uvu/assert";

const hash = (text: string): string => createHash("sha256").update(text).digest("hex");
const workspace = (name: string, spec: object = {}) => ({
    kind: "workspaces",
    name,
    spec: { share: 1, credentialHashes: [hash(name)], ...spec },
});
const target = { name: "t1", address: "http://10.0.0.1:80", failureDomain: "khomas-a" };
const service = (name: string, spec: object = {}) => ({
    kind: "services",
    name,
    spec: { kind: "plain", targets: [target], targetLimit: 8, coldLimit: 2, ...spec },
});
const model = (name: string, spec: object = {}) =>
    service(name, {
        kind: "model",
        models: [name],
        targets: [{ ...target, address: `http://10.0.1.${name.charCodeAt(0)}` }],
        ...spec,
    });
const domain = (name: string, state = "in") => ({ kind: "failuredomains", name, spec: { state } });
const routes = (...prefixes: string[]) => ({
    idempotentRoutes: prefixes.map(prefix => {
        const [method = "", pathPrefix = ""] = prefix.split(" ");
        return { method, pathPrefix };
    }),
});
const engine = (address: string) => ({ targets: [{ ...target, address }] });

function formatFinding({ code, severity, entry, field, path }: Finding): string {
    return `${severity} ${code} ${entry}${field === undefined ? "" : ` ${field}`}${
        path === undefined ? " in force" : ""
    }`;
}

function listFindings(document: unknown, current?: readonly object[]): readonly string[] {
    const { entries, findings } = parseEntries(document);
    const inForce = current as readonly ConfigurationEntry[] | undefined;
    const checked = checkConfiguration(entries, inForce === undefined ? {} : { current: inForce });
    const all = [...findings, ...checked.findings];
    for (const { message, hint } of all) assert.ok(message !== "" && hint !== "", "each finding says what to change");
    return all.map(formatFinding);
}

const cases: readonly (readonly [guardsAgainst: string, document: unknown, ...expected: string[]])[] = [
    ["a finding in a valid file", [workspace("w"), service("s"), domain("khomas-a")]],
    ["a finding in one valid resource", domain("khomas-a", "out")],
    ["an empty list that looks like a clean file", [], "warning RESOURCES_MISSING document"],
    ["a list that is none", { resources: {} }, "error RESOURCE_INVALID document resources"],
    ["a crash on null", JSON.parse("[null]"), "error RESOURCE_INVALID resource 1"],
    ["a kind that the fleet does not know", [{ kind: "routes" }], "error RESOURCE_INVALID resource 1 kind"],
    ["a kind that is no text", [{ kind: 7 }], "error RESOURCE_INVALID resource 1 kind"],
    ["a missing name", [{ kind: "service" }], "error RESOURCE_INVALID resource 1 name"],
    ["a missing spec", [domain("a"), { kind: "services", name: "s" }], "error RESOURCE_INVALID resource 2 spec"],
    [
        "a field beside spec that is ignored",
        [{ ...domain("a"), state: "out" }],
        "warning FIELD_IGNORED failuredomains/a state",
    ],
    [
        "a tombstone that apply would write as a resource",
        [{ ...domain("a"), deleted: true }],
        "error DELETION_IGNORED failuredomains/a deleted",
    ],
    [
        "two resources of the same name, also under the singular of the kind",
        [domain("a"), { ...domain("a", "out"), kind: "failuredomain" }],
        "error RESOURCE_DUPLICATE failuredomains/a",
    ],
    [
        "a check that differs from the validation of the routers",
        [service("S", { targetLimit: 0 }), workspace("w", { share: 0 })],
        "error FIELD_INVALID services/S name",
        "error FIELD_INVALID services/S spec.targetLimit",
        "error FIELD_INVALID services/S spec.coldLimit",
        "error FIELD_INVALID workspaces/w spec.share",
    ],
    [
        "a workspace that nobody can use",
        [workspace("w", { credentialHashes: [] })],
        "warning WORKSPACE_WITHOUT_CREDENTIAL workspaces/w spec.credentialHashes",
    ],
    [
        "the hash of a token that was not set",
        [workspace("w", { credentialHashes: [hash("a"), hash("")] })],
        "error CREDENTIAL_NEVER_MATCHES workspaces/w spec.credentialHashes[1]",
    ],
    [
        "calls that count for another workspace; the order of the file does not decide which",
        [workspace("b", { credentialHashes: [hash("a")] }), workspace("a")],
        "error CREDENTIAL_SHADOWED workspaces/b spec.credentialHashes[0]",
        "warning WORKSPACE_WITHOUT_CREDENTIAL workspaces/b spec.credentialHashes",
    ],
    [
        "a queue limit above the number of calls that a router accepts",
        [workspace("a", { maxQueuedPerRouter: 1_024 }), workspace("b", { maxQueuedPerRouter: 1_025 })],
        "warning QUEUE_LIMIT_UNREACHABLE workspaces/b spec.maxQueuedPerRouter",
    ],
    [
        // 8 slots for 30 s are 240 s; a share of 1 out of 2,401 gives 99.96 ms, and one out of 2,400 gives 100 ms.
        "a share that is less than one request",
        [workspace("a"), workspace("b", { share: 2_400 }), service("s")],
        "warning SHARE_TOO_SMALL workspaces/a spec.share",
    ],
    ["a finding for a share that suffices", [workspace("a"), workspace("b", { share: 2_399 }), service("s")]],
    ["a service without models", [model("m", { models: [] })], "warning MODELS_MISSING services/m spec.models"],
    [
        "a model whose calls all go to another service",
        [model("b", { models: ["x", "a"] }), model("a")],
        "error MODEL_SHADOWED services/b spec.models[1]",
    ],
    [
        "a route that another one covers, in any order",
        [service("s", routes("GET /stock/7", "GET /stock/", "POST /stock/7", "GET /stocktaking", "GET /stock"))],
        "warning ROUTE_SHADOWED services/s spec.idempotentRoutes[0]",
        "warning ROUTE_SHADOWED services/s spec.idempotentRoutes[4]",
    ],
    [
        "routes below one for all paths",
        [service("s", routes("GET /", "GET /a"))],
        "warning ROUTE_SHADOWED services/s spec.idempotentRoutes[1]",
    ],
    [
        "routes whose calls are rejected or compared without their query",
        [service("s", routes("GET /a?b", "GET /a/../b", "GET /a%", "GET /a%20b"))],
        ...[0, 1, 2].map(index => `error ROUTE_NEVER_MATCHES services/s spec.idempotentRoutes[${index}].pathPrefix`),
    ],
    [
        "a service that cannot run any call",
        [service("s", { targets: [] })],
        "error SERVICE_WITHOUT_TARGETS services/s spec.targets",
    ],
    [
        "taking out the last failure domain of a service",
        [service("s"), domain("khomas-a", "out")],
        "error SERVICE_CLOSED services/s spec.targets",
    ],
    [
        "a misspelt failure domain, so that the intended one stays in use",
        [service("s"), domain("khomas_a".replace("_", "."), "out")],
        "warning DOMAIN_WITHOUT_TARGETS failuredomains/khomas.a",
    ],
    [
        "a target that runs twice its limit, with an address that is written in two ways",
        [service("s", { targets: [target, { ...target, name: "t2", address: "http://10.0.0.1/" }] })],
        "error TARGET_ADDRESS_SHARED services/s spec.targets[1].address",
    ],
    [
        "two services that exceed the limit of one process",
        [service("s"), service("t")],
        "warning TARGET_ADDRESS_SHARED services/t spec.targets[0].address",
    ],
    [
        "a warm-up that protects nothing",
        [
            service("s", { coldLimit: 8, warmUpRequests: 5 }),
            service("t", { warmUpRequests: 1, ...engine("http://10.0.0.2") }),
            service("u", { warmUpRequests: 2, ...engine("http://10.0.0.3") }),
        ],
        "warning WARM_UP_WITHOUT_EFFECT services/s spec.warmUpRequests",
        "warning WARM_UP_WITHOUT_EFFECT services/t spec.warmUpRequests",
    ],
    [
        "calls that a replaced router cuts off",
        [
            service("s", { answerTimeoutMs: 60_001 }),
            service("t", { answerTimeoutMs: 60_000, ...engine("http://10.0.0.2") }),
        ],
        "warning TIMEOUT_BEYOND_DRAIN services/s spec.answerTimeoutMs",
    ],
];
for (const [guardsAgainst, document, ...expected] of cases)
    test(`guards against ${guardsAgainst}`, () => assert.equal(listFindings(document), expected));

// Guards against problems that only the file and the configuration in force have together, and against blaming a change
// for what was wrong before it.
test("findings about entries in force are reported only if the file causes them", () => {
    const broken = workspace("old", { credentialHashes: [] });
    const current = [broken, workspace("b"), service("s")];
    const stolen = workspace("a", { credentialHashes: [hash("b")] });
    assert.equal(listFindings([stolen], current), [
        "error CREDENTIAL_SHADOWED workspaces/b spec.credentialHashes[0] in force",
        "warning WORKSPACE_WITHOUT_CREDENTIAL workspaces/b spec.credentialHashes in force",
    ]);
    assert.equal(listFindings([domain("khomas-a", "out")], current), [
        "error SERVICE_CLOSED services/s spec.targets in force",
    ]);
    assert.equal(listFindings([broken], current), [
        "warning WORKSPACE_WITHOUT_CREDENTIAL workspaces/old spec.credentialHashes",
    ]);
    assert.equal(
        listFindings([workspace("b", { share: 2 })], current),
        [],
        "an entry of the file replaces its old one",
    );
});

// Guards against a finding about a resource in force that was shared before, in place of the one in the file.
test("a shared address is reported at the service of the file", () => {
    const expected = "warning TARGET_ADDRESS_SHARED services/b spec.targets[0].address";
    assert.equal(listFindings([service("b", { targetLimit: 9 })], [service("a"), service("b")]), [expected]);
});

// Guards against a comparison of all pairs, which takes minutes for a resource of the maximum size.
test("20,000 routes are checked with work that grows with their number", () => {
    const prefixes = Array.from({ length: 20_000 }, (_, index) => `GET /r/${index}`);
    assert.equal(listFindings([service("s", routes(...prefixes))]), []);
});

// Guards against limits here that differ from the defaults of the routers.
test("limits are the defaults of the routers' settings", () => {
    assert.is(settingsTable.maxOpenCallsPerWorkspace.defaultText, String(maxOpenCallsPerWorkspace));
    assert.is(settingsTable.drainTimeout.defaultText, `${drainTimeoutMs / 1_000}s`);
});

test.run();
