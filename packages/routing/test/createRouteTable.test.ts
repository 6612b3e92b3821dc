/** Guards against calls that reach a route, workspace or service other than the configured one. */
import type { FleetConfiguration, Route } from "@rhubarbwheel/types/fleet";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { chooseService, createRouteTable } from "../src/createRouteTable.js";

function createRoute(name: string, host: string, pathPrefix: string, more: Partial<Route> = {}): Route {
    return {
        name,
        host,
        pathPrefix,
        kind: "idempotent",
        resumable: false,
        isPublic: false,
        timeoutMs: 1_000,
        latencyTargetMs: 100,
        maxAttempts: 1,
        destinations: [{ service: "orders", weight: 1 }],
        ...more,
    };
}

const configuration: FleetConfiguration = {
    version: 1,
    routes: [
        createRoute("root", "a.example", "/"),
        createRoute("short", "a.example", "/x/"),
        createRoute("long", "a.example", "/x/y/"),
        createRoute("other", "b.example", "/x/"),
    ],
    pools: [],
    limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
    workspaces: [{ workspace: "ada", credentials: ["one", "two"] }],
};

const cases: readonly (readonly [host: string, path: string, route: string | undefined])[] = [
    ["a.example", "/", "root"],
    ["a.example", "/z", "root"],
    ["a.example", "/x", "root"],
    ["a.example", "/x/", "short"],
    ["a.example", "/x/y", "short"],
    ["a.example", "/x/y/", "long"],
    ["a.example", "/x/y/z/q", "long"],
    ["a.example", "/x/yy/", "short"],
    ["A.Example:8080", "/x/y/1", "long"],
    ["b.example", "/x/y/", "other"],
    ["b.example", "/", undefined],
    ["c.example", "/x/", undefined],
    ["", "/x/", undefined],
];

for (const [host, path, expected] of cases) {
    test(`${host}${path} is on ${expected ?? "no route"}`, () => {
        assert.is(createRouteTable(configuration).findRoute(host, path)?.name, expected);
    });
}

test("a known credential belongs to its workspace, and an unknown one to none", () => {
    const table = createRouteTable(configuration);
    assert.is(table.findWorkspace("two")?.workspace, "ada");
    assert.is(table.findWorkspace("three"), undefined);
    assert.is(table.needsCredentials, true);
});

test("without workspaces no call needs a credential", () => {
    assert.is(createRouteTable({ ...configuration, workspaces: undefined }).needsCredentials, false);
});

test("calls are distributed by weight, and a route without destinations has no service", () => {
    const route = createRoute("split", "a", "/", {
        destinations: [{ service: "old", weight: 3 }, { service: "new", weight: 1 }],
    });
    const counts = { old: 0, new: 0 };
    for (let random = 0; random < 1; random += 0.01) counts[chooseService(route, random) as "old" | "new"] += 1;
    assert.ok(Math.abs(counts.old - 75) <= 1, `${counts.old}`);
    assert.is(chooseService(createRoute("none", "a", "/", { destinations: [] }), 0.5), undefined);
});

test.run();
