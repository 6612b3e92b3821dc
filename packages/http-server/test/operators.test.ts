/** Guards against operators who are told that a change was refused or accepted when that is not certain. */
import type { WriteResult } from "@rhubarbwheel/types/ports";
import { request } from "node:http";
import { test } from "uvu";
import * as assert from "uvu/assert";
import type { HttpServerOptions } from "../src/httpServerOptions.js";
import { callerHeaders, operatorHeaders, startTestServer } from "./startTestServer.js";

const path = "/api/v1/workspaces/oryx";
const spec = "{\"spec\":{\"share\":2}}";
const create = { "if-none-match": "*" };
const update = { "if-match": "\"3\"" };
const answers = (result: WriteResult) => ({ writeResource: () => Promise.resolve(result) });
const down = { type: "unavailable" } as const;
const storeDown = { readResource: () => Promise.resolve(down), listConfiguration: () => Promise.resolve(down) };

// Each row: case, what differs behind the server, request, status and a part of the answer.
type Row = readonly [string, Partial<HttpServerOptions>, string, string, object, string, number, RegExp];
const contract: readonly Row[] = [
    ["create", {}, "PUT", path, create, spec, 201, /"version":1/],
    ["create with the bare spec", {}, "PUT", path, create, "{\"share\":2}", 201, /"spec":\{"share":2\}/],
    ["update", {}, "PUT", path, update, spec, 200, /"version":4/],
    ["update with a bare version", {}, "PUT", path, { "if-match": "3" }, spec, 200, /"version":4/],
    ["delete", {}, "DELETE", path, update, "", 200, /"version":4/],
    ["no precondition", {}, "PUT", path, {}, spec, 428, /PRECONDITION_MISSING.*"notRun"/],
    ["delete without a version", {}, "DELETE", path, create, "", 428, /PRECONDITION_MISSING/],
    ["weak version", {}, "PUT", path, { "if-match": "W/\"3\"" }, spec, 400, /HEADER_INVALID/],
    ["both preconditions", {}, "PUT", path, { ...create, ...update }, spec, 400, /HEADER_INVALID/],
    ["malformed JSON", {}, "PUT", path, create, "{", 400, /BODY_MALFORMED/],
    ["invalid spec", {}, "PUT", path, create, "{\"share\":0}", 400, /RESOURCE_INVALID.*"problems":\[\{.*"remedy":"Use/],
    [
        "conflict",
        answers({ type: "conflict", currentVersion: 9 }),
        "PUT",
        path,
        update,
        spec,
        409,
        /VERSION_CONFLICT.*is 9\..*"notRun".*"currentVersion":9/,
    ],
    ["store down", answers(down), "PUT", path, update, spec, 503, /PLATFORM_UNAVAILABLE.*"notRun"/],
    ["lost answer", answers({ type: "unknown" }), "PUT", path, update, spec, 504, /PLATFORM_UNKNOWN.*"unknown"/],
    [
        "failing client",
        { writeResource: () => Promise.reject(new Error("x")) },
        "PUT",
        path,
        update,
        spec,
        500,
        /INTERNAL.*"unknown"/,
    ],
    ["read", {}, "GET", path, {}, "", 200, /"version":3/],
    ["read what is not there", {}, "GET", "/api/v1/workspaces/none", {}, "", 404, /RESOURCE_NOT_FOUND/],
    ["list", {}, "GET", "/api/v1/services", {}, "", 200, /^\{"revision":7,"resources":\[.*"desk".*"assistant"/],
    ["unknown kind", {}, "GET", "/api/v1/hosts", {}, "", 404, /ROUTE_UNKNOWN/],
    ["wrong method", {}, "POST", path, {}, "", 405, /METHOD_NOT_ALLOWED/],
    ["status", {}, "GET", "/api/v1/status", {}, "", 200, /"router":"r1"/],
    ["read while the store is down", storeDown, "GET", path, {}, "", 200, /"version":3/],
    ["list while the store is down", storeDown, "GET", "/api/v1/workspaces", {}, "", 200, /"oryx".*"kudu"/],
    ["no token", {}, "GET", path, { authorization: "" }, "", 401, /OPERATOR_CREDENTIAL_INVALID/],
    ["a caller's token", {}, "PUT", path, { ...create, ...callerHeaders }, spec, 401, /OPERATOR_CREDENTIAL_INVALID/],
    ["live", {}, "GET", "/livez", {}, "", 200, /true/],
    [
        "not ready",
        { getReadiness: () => ({ ready: false, reason: "draining" }) },
        "GET",
        "/readyz",
        {},
        "",
        503,
        /"reason":"draining"/,
    ],
];

for (const [name, overrides, method, url, headers, body, status, text] of contract) {
    test(`${name}: ${status}`, async () => {
        const server = await startTestServer(overrides);
        const received = await server.send(method, url, { ...operatorHeaders, ...headers }, body);
        assert.is(received.status, status);
        assert.match(received.body, text);
        assert.is(received.headers["rhubarbwheel-stale"], overrides === storeDown ? "true" : undefined);
        await server.close();
    });
}

test("each write carries a write id of its own", async () => {
    const server = await startTestServer();
    for (let count = 0; count < 2; count++) await server.send("PUT", path, { ...operatorHeaders, ...create }, spec);
    assert.is(new Set(server.writes.map(write => write.writeId)).size, 2);
    await server.close();
});

test("a watch sends one line per change of its kind and ends when the server closes", async () => {
    const server = await startTestServer();
    const url = "/api/v1/failuredomains?watch=true&revision=7";
    const received = await new Promise<string>((resolve, reject) => {
        const options = { port: server.port, host: "127.0.0.1", path: url, headers: operatorHeaders, agent: false };
        request(options, res => {
            let body = "";
            res.on("data", (chunk: Buffer) => (body += chunk.toString())).on("end", () => resolve(body));
            const change = { name: "a", version: 1, revision: 8, spec: { state: "out" } } as const;
            server.emitChange({ kind: "workspaces", ...change, spec: { share: 1, credentialHashes: [] } });
            server.emitChange({ kind: "failuredomains", ...change });
            void server.close();
        }).on("error", reject).end();
    });
    assert.equal(received.trim().split("\n").map(line => (JSON.parse(line) as { kind: string; }).kind), [
        "failuredomains",
    ]);
});

test.run();
