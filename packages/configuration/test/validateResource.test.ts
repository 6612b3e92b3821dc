import { validateResource } from "@rhubarbwheel/configuration/validateResource";
import type { ResourceKind } from "@rhubarbwheel/types/resources";
import { test } from "uvu";
import * as assert from "uvu/assert";

const hash = "0123456789abcdef".repeat(4);
const target = { name: "worker-1", address: "http://127.0.0.1:9001", failureDomain: "khomas-1" };
const plain = { kind: "plain", targets: [target], targetLimit: 8, coldLimit: 2 };
const workspace = { share: 2, credentialHashes: [hash] };

function formatProblems(kind: ResourceKind, spec: unknown, name = "name-1"): string {
    const result = validateResource(kind, name, spec);
    if (result.ok) return "ok";
    for (const problem of result.val) assert.ok(problem.remedy.length > 0, "each problem names its remedy");
    return result.val.map(({ field, problem }) => `${field} ${problem}`).join("; ");
}

// Each case guards against a malformed resource that would otherwise be distributed to every router of the fleet.
const cases: readonly (readonly [kind: ResourceKind, spec: unknown, expected: string, name?: string])[] = [
    ["workspaces", workspace, "ok"],
    ["workspaces", workspace, "name is not a valid name", "Upper"],
    ["workspaces", workspace, "name is not a valid name", "a".repeat(64)],
    ["workspaces", workspace, "name is not a valid name", "../x"],
    ["workspaces", { ...workspace, share: 0 }, "share is not a number in the allowed range"],
    ["workspaces", { ...workspace, share: Infinity }, "share is not a number in the allowed range"],
    ["workspaces", { ...workspace, share: NaN }, "share is not a number in the allowed range"],
    ["workspaces", { ...workspace, shares: 1 }, "shares is not a known field"],
    [
        "workspaces",
        { ...workspace, maxQueuedPerRouter: 0 },
        "maxQueuedPerRouter is not an integer in the allowed range",
    ],
    [
        "workspaces",
        { share: 1, credentialHashes: [hash.toUpperCase(), hash, hash] },
        "credentialHashes[0] is not a SHA-256 hash; credentialHashes[2] repeats the hash of an earlier item",
    ],
    [
        "workspaces",
        JSON.parse("{\"share\":1,\"credentialHashes\":[],\"__proto__\":{}}"),
        "__proto__ is not a known field",
    ],
    ["workspaces", { share: 1 }, "credentialHashes is missing"],
    ["workspaces", [], "spec is not an object"],
    ["workspaces", undefined, "spec is not an object"],
    ["workspaces", "x".repeat(1_000_001), "spec has 1000003 bytes as JSON, more than 1000000"],
    ["services", plain, "ok"],
    ["services", { ...plain, targets: [{ ...target, address: "http://[::1]:9001" }] }, "ok"],
    ["services", { ...plain, targets: [{ ...target, address: "http://localhost:9001" }] }, "ok"],
    ["services", { ...plain, kind: "other" }, "kind is not one of the allowed values"],
    [
        "services",
        { ...plain, targetLimit: 1.5 },
        "targetLimit is not an integer in the allowed range; "
        + "coldLimit is greater than targetLimit, 1.5",
    ],
    ["services", { ...plain, coldLimit: 9 }, "coldLimit is greater than targetLimit, 8"],
    ["services", { ...plain, models: ["m"] }, "models is only for kind model"],
    ["services", { ...plain, kind: "model", costPerCall: 2 }, "costPerCall is only for kind plain"],
    ["services", { ...plain, kind: "model", models: ["m", "m"] }, "models[1] repeats the model of an earlier item"],
    ["services", { ...plain, queueTimeoutMs: -1 }, "queueTimeoutMs is not an integer in the allowed range"],
    [
        "services",
        { ...plain, targets: [target, target] },
        "targets[1] repeats the target name of an earlier item; targets[1] repeats the address of an earlier item",
    ],
    ["services", { ...plain, targets: [{ ...target, zone: "a" }] }, "targets[0].zone is not a known field"],
    ["services", { ...plain, targets: {} }, "targets is not a list"],
    ...["https://127.0.0.1", "ftp://127.0.0.1"].map(address =>
        ["services", { ...plain, targets: [{ ...target, address }] }, "targets[0].address is not an http URL"] as const
    ),
    ...["http://worker.example", "http://127.0.0.1.example"].map(address =>
        [
            "services",
            { ...plain, targets: [{ ...target, address }] },
            "targets[0].address has a host name instead of an IP address",
        ] as const
    ),
    ...["http://user@127.0.0.1", "http://127.0.0.1/path", "http://127.0.0.1?q"].map(address =>
        [
            "services",
            { ...plain, targets: [{ ...target, address }] },
            "targets[0].address has more than a host and a port",
        ] as const
    ),
    [
        "services",
        { ...plain, idempotentRoutes: [{ method: "get", pathPrefix: "stock" }] },
        ""
        + "idempotentRoutes[0].method is not an HTTP method; idempotentRoutes[0].pathPrefix is not a path",
    ],
    ["failuredomains", { state: "in" }, "ok"],
    ["failuredomains", { state: "OUT" }, "state is not one of the allowed values"],
];

for (const [index, [kind, spec, expected, name]] of cases.entries()) {
    test(`case ${index}: ${kind} ${expected}`, () => {
        assert.snapshot(formatProblems(kind, spec, name), expected);
    });
}

test.run();
