/** Guards against messages that are lost, reordered or accepted from the wrong router, and against calls run twice. */
import type { PeerMessage } from "@rhubarbwheel/types/peer-messages";
import type { ForwardedAnswer, ForwardedCall } from "@rhubarbwheel/types/ports";
import { test } from "uvu";
import * as assert from "uvu/assert";
import type { ListeningPeerTransport, PeerTransportOptions } from "../src/createPeerTransport.js";
import { createPeerTransport } from "../src/createPeerTransport.js";

interface TestRouter {
    readonly name: string;
    readonly transport: ListeningPeerTransport;
    readonly address: string;
    readonly received: [string, PeerMessage][];
    readonly unreachable: string[];
    readonly problems: string[];
    readonly calls: ForwardedCall[];
}

const opened: ListeningPeerTransport[] = [];

async function startRouter(name: string, opts: Partial<PeerTransportOptions> = {}, port = 0): Promise<TestRouter> {
    const lists = { received: [], unreachable: [], problems: [], calls: [] };
    const router: Omit<TestRouter, "transport" | "address"> = { name, ...lists };
    const transport = createPeerTransport({
        identity: { router: name, incarnation: 1, address: "", failureDomain: "north" },
        fleetSecret: "fleet secret",
        onMessage: (from, message) => router.received.push([from, message]),
        onUnreachable: peer => router.unreachable.push(peer),
        onProblem: (_peer, problem) => router.problems.push(problem),
        onForwardedCall: call => {
            router.calls.push(call);
            return Promise.resolve(answer);
        },
        ...opts,
    });
    opened.push(transport);
    const listening = await transport.listen(`127.0.0.1:${port}`);
    return { ...router, transport, address: `127.0.0.1:${listening.port}` };
}

/** Polls, because the time that a connection takes is not under the test's control. */
async function waitFor(what: string, isDone: () => boolean): Promise<void> {
    for (let round = 0; round < 2_000; round += 1) {
        if (isDone()) return;
        await new Promise(resolve => setTimeout(resolve, 5));
    }
    throw new Error(`timed out: ${what}`);
}

function makeRequest(revision: number): PeerMessage {
    return { type: "configurationRequest", revision };
}

const answer: ForwardedAnswer = { outcome: "complete", status: 201, headers: { a: "b" }, body: Buffer.from("done") };
const call: ForwardedCall = {
    requestId: "r1",
    forwardedBy: "a",
    mintedKey: "k",
    workspace: "w",
    service: "s",
    method: "POST",
    path: "/orders",
    headers: { "content-type": "text/plain" },
    body: Buffer.from("order"),
};

test.after.each(async () => {
    await Promise.all(opened.splice(0).map(transport => transport.close()));
});

test("messages arrive in order, and those of one turn share a batch", async () => {
    const [a, b] = [await startRouter("a"), await startRouter("b")];
    for (let revision = 0; revision < 50; revision += 1) a.transport.send("b", b.address, makeRequest(revision));
    await waitFor("50 messages", () => b.received.length === 50);
    assert.equal(b.received, Array.from({ length: 50 }, (_, revision) => ["a", makeRequest(revision)]));
    assert.is(a.transport.countTraffic().messages, 50);
    assert.ok(a.transport.countTraffic().bytes < 400, "one batch has one header");
});

test("the answer uses the stream that the other side opened", async () => {
    const [a, b] = [await startRouter("a"), await startRouter("b")];
    b.transport.send("a", a.address, makeRequest(1));
    await waitFor("first message", () => a.received.length === 1);
    a.transport.send("b", "127.0.0.1:1", makeRequest(2));
    await waitFor("answer", () => b.received.length === 1);
    assert.equal([a.transport.countStreams(), b.transport.countStreams()], [1, 1]);
});

test("a forwarded call is answered", async () => {
    const [a, b] = [await startRouter("a"), await startRouter("b")];
    assert.equal(await a.transport.forwardCall("b", b.address, call), { type: "answered", answer });
    assert.equal(b.calls, [call]);
});

test.run();
