/** Guards against responses that report a write as applied or as not applied although its outcome is unknown. */
import type { WriteResult } from "@rhubarbwheel/types/ports";
import { request } from "node:http";
import { test } from "uvu";
import * as assert from "uvu/assert";
import type { HttpServerOptions } from "../src/httpServerOptions.js";
import { callerHeaders, operatorHeaders, startTestServer } from "./startTestServer.js";

const path = "/api/v1/workspaces/oryx";
const respondToWrite = (result: WriteResult) => ({ writeResource: () => Promise.resolve(result) });
const unavailable = { type: "unavailable" } as const;
const serverOptions: Readonly<Record<string, Partial<HttpServerOptions>>> = {
    up: {},
    storeDown: {
        readResource: () => Promise.resolve(unavailable),
        listConfiguration: () => Promise.resolve(unavailable),
    },
    writeDown: respondToWrite(unavailable),
    writeConflict: respondToWrite({ type: "conflict", currentVersion: 9 }),
    writeUnknown: respondToWrite({ type: "unknown" }),
    writeThrows: { writeResource: () => Promise.reject(new Error("x")) },
    notReady: { getReadiness: () => ({ ready: false, reason: "draining" }) },
};
const headerSets: Readonly<Record<string, Record<string, string>>> = {
    create: { "if-none-match": "*" },
    update: { "if-match": "\"3\"" },
    bareVersion: { "if-match": "3" },
    weakVersion: { "if-match": "W/\"3\"" },
    both: { "if-none-match": "*", "if-match": "3" },
    noToken: { authorization: "" },
    callerToken: { ...callerHeaders, "if-none-match": "*" },
};
const bodies: Readonly<Record<string, string>> = { none: "" };
const spec = "{\"spec\":{\"share\":2}}";

// Each row: case ; server options ; request ; headers ; body ; status ; fragments of the response body, in order.
const cases = `
create ; up ; PUT ${path} ; create ; ${spec} ; 201 ; "version":1
create with the bare spec ; up ; PUT ${path} ; create ; {"share":2} ; 201 ; "spec":{"share":2}
update ; up ; PUT ${path} ; update ; ${spec} ; 200 ; "version":4
update with a bare version ; up ; PUT ${path} ; bareVersion ; ${spec} ; 200 ; "version":4
delete ; up ; DELETE ${path} ; update ; none ; 200 ; "version":4
no precondition ; up ; PUT ${path} ; - ; ${spec} ; 428 ; PRECONDITION_MISSING "notRun"
delete without a version ; up ; DELETE ${path} ; create ; none ; 428 ; PRECONDITION_MISSING "notRun"
weak version ; up ; PUT ${path} ; weakVersion ; ${spec} ; 400 ; HEADER_INVALID "notRun"
both preconditions ; up ; PUT ${path} ; both ; ${spec} ; 400 ; HEADER_INVALID "notRun"
malformed JSON ; up ; PUT ${path} ; create ; { ; 400 ; BODY_MALFORMED "notRun"
invalid spec ; up ; PUT ${path} ; create ; {"share":0} ; 400 ; RESOURCE_INVALID "problems":[{"field":"spec.share" "remedy":"Use
conflict ; writeConflict ; PUT ${path} ; update ; ${spec} ; 409 ; VERSION_CONFLICT 9. "notRun" "currentVersion":9
store down ; writeDown ; PUT ${path} ; update ; ${spec} ; 503 ; PLATFORM_UNAVAILABLE "notRun"
lost response ; writeUnknown ; PUT ${path} ; update ; ${spec} ; 504 ; PLATFORM_UNKNOWN "outcome":"unknown"
failing platform client ; writeThrows ; PUT ${path} ; update ; ${spec} ; 500 ; INTERNAL "outcome":"unknown"
read ; up ; GET ${path} ; - ; none ; 200 ; "version":3
read of a missing resource ; up ; GET /api/v1/workspaces/none ; - ; none ; 404 ; RESOURCE_NOT_FOUND
list ; up ; GET /api/v1/services ; - ; none ; 200 ; {"revision":7,"resources":[ "desk" "assistant"
unknown kind ; up ; GET /api/v1/hosts ; - ; none ; 404 ; ROUTE_UNKNOWN
wrong method ; up ; POST ${path} ; - ; none ; 405 ; METHOD_NOT_ALLOWED
status ; up ; GET /api/v1/status ; - ; none ; 200 ; "router":"r1"
read while the store is down ; storeDown ; GET ${path} ; - ; none ; 200 ; "version":3
list while the store is down ; storeDown ; GET /api/v1/workspaces ; - ; none ; 200 ; "oryx" "kudu"
no token ; up ; GET ${path} ; noToken ; none ; 401 ; OPERATOR_CREDENTIAL_INVALID
a caller's token ; up ; PUT ${path} ; callerToken ; ${spec} ; 401 ; OPERATOR_CREDENTIAL_INVALID
live ; up ; GET /livez ; - ; none ; 200 ; true
not ready ; notReady ; GET /readyz ; - ; none ; 503 ; "reason":"draining"
`;

for (const row of cases.trim().split("\n")) {
    const [name = "", optionsName = "", request = "", headers = "", body = "", status = "", parts = ""] = row.split(
        " ; ",
    );
    test(`${name}: ${status}`, async () => {
        const server = await startTestServer(serverOptions[optionsName]);
        const [method = "", url = ""] = request.split(" ");
        const received = await server.send(
            method,
            url,
            { ...operatorHeaders, ...headerSets[headers] },
            bodies[body] ?? body,
        );
        assert.is(received.status, Number(status), received.body);
        const positions = parts.split(" ").map(part => received.body.indexOf(part));
        assert.ok(
            positions.every((position, index) => position >= 0 && position >= (positions[index - 1] ?? 0)),
            received.body,
        );
        assert.is(received.headers["rhubarbwheel-stale"], optionsName === "storeDown" ? "true" : undefined);
        await server.close();
    });
}

test("each write has its own write id", async () => {
    const server = await startTestServer();
    for (let count = 0; count < 2; count++)
        await server.send("PUT", path, { ...operatorHeaders, "if-none-match": "*" }, spec);
    assert.is(new Set(server.writes.map(write => write.writeId)).size, 2);
    await server.close();
});

test("a watch sends one line per change of its resource kind and ends when the server closes", async () => {
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
