/** Guards against messages that are lost, reordered or accepted from the wrong router. */
import { Client, credentials } from "@grpc/grpc-js";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createAuthenticator } from "../src/authentication.js";
import { encodePeerBatch } from "../src/peerCodec.js";
import { peerExchange } from "../src/peerExchange.js";
import {
    call,
    closeAll,
    createRequest,
    findClosedPort,
    fleetSecret,
    startProxy,
    startRouter,
    waitFor,
} from "./testRouters.js";

test.after.each(closeAll);

test("messages of one event loop turn share a batch and arrive in order", async () => {
    const [a, b] = [await startRouter("a"), await startRouter("b")];
    for (let revision = 0; revision < 50; revision += 1) a.transport.send("b", b.address, createRequest(revision));
    await waitFor("50 messages", () => b.received.length === 50);
    assert.equal(b.received, Array.from({ length: 50 }, (_, revision) => ["a", createRequest(revision)]));
    assert.is(a.transport.countTraffic().messages, 50);
    assert.ok(a.transport.countTraffic().bytes < 400, "50 messages share the header of one batch");
});

test("messages arrive in order when a batch is split because of its size", async () => {
    const limits = { maxMessageBytes: 500 };
    const [a, b] = [await startRouter("a", { limits }), await startRouter("b", { limits })];
    for (let revision = 0; revision < 300; revision += 1) a.transport.send("b", b.address, createRequest(revision));
    await waitFor("300 messages", () => b.received.length === 300);
    assert.equal(b.received.map(([, message]) => message), Array.from({ length: 300 }, (_, n) => createRequest(n)));
});

test("a reply uses the stream that the other side opened", async () => {
    const [a, b] = [await startRouter("a"), await startRouter("b")];
    b.transport.send("a", a.address, createRequest(1));
    await waitFor("first message", () => a.received.length === 1);
    a.transport.send("b", "127.0.0.1:1", createRequest(2));
    await waitFor("reply", () => b.received.length === 1);
    assert.equal([a.transport.countStreams(), b.transport.countStreams()], [1, 1]);
});

test("simultaneously opened streams converge on one without message loss", async () => {
    const [a, b] = [await startRouter("a"), await startRouter("b")];
    for (let revision = 0; revision < 100; revision += 1) {
        a.transport.send("b", b.address, createRequest(revision));
        b.transport.send("a", a.address, createRequest(revision));
        if (revision % 10 === 0) await new Promise(resolve => setTimeout(resolve, 1));
    }
    await waitFor("all messages", () => a.received.length + b.received.length === 200);
    await waitFor("one stream", () => a.transport.countStreams() === 1 && b.transport.countStreams() === 1);
    assert.equal([...a.unreachable, ...b.unreachable, ...a.problems, ...b.problems], []);
});

const refusedPeers: [string, { secret?: string; recipient?: string; getWallClockTime?: () => number; }, RegExp][] = [
    ["with another fleet secret", { secret: "other" }, /fleet secrets differ/],
    ["that expects another router", { recipient: "c" }, /the call is for c, this router is b/],
    ["whose clock is an hour ahead", { getWallClockTime: () => Date.now() + 3_600_000 }, /clocks .* differ/],
];
for (const [title, fault, problem] of refusedPeers) {
    test(`a peer ${title} is refused on both sides`, async () => {
        const b = await startRouter("b");
        const a = await startRouter("a", {
            fleetSecret: fault.secret ?? fleetSecret,
            ...(fault.getWallClockTime === undefined ? {} : { getWallClockTime: fault.getWallClockTime }),
        });
        const recipient = fault.recipient ?? "b";
        a.transport.send(recipient, b.address, createRequest(1));
        await waitFor("refusal", () => a.unreachable.length > 0);
        assert.equal([a.unreachable, b.received], [[recipient], []]);
        assert.match(b.problems.join(), problem);
        assert.match(a.problems.join(), /refused this router/);
    });
}

test("a batch whose sender is not the authenticated peer is dropped", async () => {
    const b = await startRouter("b");
    const identity = { router: "x", incarnation: 1, address: "", failureDomain: "north" };
    const { metadata } = createAuthenticator(identity, fleetSecret, Date.now).signRequest("exchange", "b");
    const client = new Client(b.address, credentials.createInsecure());
    const { path, requestSerialize, responseDeserialize } = peerExchange.exchange;
    const stream = client.makeBidiStreamRequest(path, requestSerialize, responseDeserialize, metadata);
    for (const [from, incarnation] of [["y", 1], ["x", 2], ["x", 1]] as const)
        stream.write(encodePeerBatch({ from, incarnation, messages: [createRequest(incarnation)] }));
    stream.write(Buffer.from("not a batch"));
    stream.end();
    await waitFor("problems", () => b.problems.length === 3);
    assert.equal(b.received, [["x", createRequest(1)]]);
    client.close();
});

test("a stopped peer is reported as unreachable, and receives messages after it has started", async () => {
    const a = await startRouter("a");
    const port = await findClosedPort();
    const send = () => a.transport.send("b", `127.0.0.1:${port}`, createRequest(1));
    send();
    await waitFor("report", () => a.unreachable.length > 0);
    const b = await startRouter("b", { port });
    await waitFor("message", () => b.received.length > 0, send);
});

test("a restarted peer receives messages in its new incarnation", async () => {
    const a = await startRouter("a");
    const first = await startRouter("b");
    const send = () => a.transport.send("b", first.address, createRequest(1));
    send();
    await waitFor("message", () => first.received.length > 0);
    await first.transport.close();
    const second = await startRouter("b", { incarnation: 2, port: Number(first.address.split(":")[1]) });
    await waitFor("message to the new incarnation", () => second.received.length > 0, send);
});

test("a later incarnation of a peer replaces the streams of an earlier one, which is then refused", async () => {
    const [a, first, second] = [
        await startRouter("a"),
        await startRouter("b"),
        await startRouter("b", { incarnation: 2 }),
    ];
    first.transport.send("a", a.address, createRequest(1));
    await waitFor("first incarnation", () => a.received.length === 1);
    second.transport.send("a", a.address, createRequest(2));
    await waitFor("second incarnation", () => a.received.length === 2);
    await waitFor("loss of the first incarnation's stream", () => first.unreachable.length > 0);
    first.transport.send("a", a.address, createRequest(3));
    await waitFor("refusal of the first incarnation", () => first.unreachable.length > 1);
    assert.match(first.problems.join(), /a later start of this router is connected/);
    assert.is(a.received.length, 2);
});

test("a broken connection is reported, and reopened for the next message", async () => {
    const [a, b] = [await startRouter("a"), await startRouter("b")];
    const proxy = await startProxy(b.address);
    const send = () => a.transport.send("b", proxy.address, createRequest(1));
    send();
    await waitFor("message", () => b.received.length === 1);
    proxy.disconnect();
    await waitFor("reports on both sides", () => a.unreachable.length > 0 && b.unreachable.length > 0);
    proxy.reconnect();
    await waitFor("message", () => b.received.length > 1, send);
});

test("an idle stream is closed without a report, and reopened on demand", async () => {
    const [a, b] = [await startRouter("a", { limits: { idleTimeoutMs: 20 } }), await startRouter("b")];
    a.transport.send("b", b.address, createRequest(1));
    await waitFor("message", () => b.received.length === 1);
    await waitFor("closed streams", () => a.transport.countStreams() + b.transport.countStreams() === 0);
    a.transport.send("b", b.address, createRequest(2));
    await waitFor("message", () => b.received.length === 2);
    assert.equal([...a.unreachable, ...b.unreachable], []);
});

test("messages that are queued when the transport closes are sent", async () => {
    const [a, b] = [await startRouter("a"), await startRouter("b")];
    a.transport.send("b", b.address, createRequest(1));
    await a.transport.close();
    await waitFor("message", () => b.received.length === 1);
});

test("a message to the router itself is delivered, but a peer with the same name is refused", async () => {
    const [a, other] = [await startRouter("a"), await startRouter("a")];
    a.transport.send("a", a.address, createRequest(1));
    await waitFor("message", () => a.received.length === 1);
    assert.is(a.transport.countTraffic().messages, 0);
    assert.equal(await other.transport.forwardCall("a", a.address, call), { type: "broken" });
    assert.match(a.problems.join(), /both routers are named a/);
});

test("an address that needs name resolution is unreachable", async () => {
    const a = await startRouter("a");
    a.transport.send("b", "localhost:1", createRequest(1));
    await waitFor("report", () => a.unreachable.length > 0);
});

test.run();
