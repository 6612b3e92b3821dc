/** Guards against peers that connect without a certificate of the fleet's authority. */
import { readFileSync } from "node:fs";
import { test } from "uvu";
import * as assert from "uvu/assert";
import type { PeerTls } from "../src/createPeerTransport.js";
import { call, closeAll, createRequest, response, startRouter, waitFor } from "./testRouters.js";

function readTls(owner: "fleet" | "stranger", authority: "fleet" | "stranger" = owner): PeerTls {
    const read = (name: string) => readFileSync(new URL(`../../test/tls/${name}.pem`, import.meta.url));
    return {
        certificate: read(`${owner}-certificate`),
        key: read(`${owner}-key`),
        authority: read(`${authority}-authority`),
    };
}

test.after.each(closeAll);

test("peers with certificates of one authority exchange messages and calls", async () => {
    const tls = readTls("fleet");
    const [a, b] = [await startRouter("a", { tls }), await startRouter("b", { tls })];
    a.transport.send("b", b.address, createRequest(1));
    await waitFor("message", () => b.received.length === 1);
    assert.equal(await a.transport.forwardCall("b", b.address, call), { type: "answered", response });
});

const untrustedPeers: [string, PeerTls | undefined][] = [
    ["without a certificate", undefined],
    ["with a certificate of another authority", readTls("stranger", "fleet")],
    ["that trusts another authority", readTls("fleet", "stranger")],
];
for (const [title, tls] of untrustedPeers) {
    test(`a peer ${title} is refused even with the fleet secret`, async () => {
        const b = await startRouter("b", { tls: readTls("fleet") });
        const a = await startRouter("a", tls === undefined ? {} : { tls });
        a.transport.send("b", b.address, createRequest(1));
        await waitFor("report", () => a.unreachable.length > 0);
        assert.is.not((await a.transport.forwardCall("b", b.address, call)).type, "answered");
        assert.equal([b.received, b.calls], [[], []]);
    });
}

test.run();
