/** Guards against datagrams that are lost or not batched on loopback, and against faults that end the process. */
import type { PlacementMessage } from "@rhubarbwheel/types/placement";
import { createSocket } from "node:dgram";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { createDatagramTransport } from "../src/createDatagramTransport.js";
import type { DatagramTransport } from "../src/createDatagramTransport.js";

interface Received {
    readonly from: string;
    readonly message: PlacementMessage;
}

interface Context {
    readonly received: Received[];
    readonly problems: string[];
    readonly sender: DatagramTransport;
    readonly receiver: DatagramTransport;
}

/** Loopback addresses derived from the process id, which no other process of the test run uses. */
const addressPrefix = `127.${1 + (process.pid >> 8) % 250}.${process.pid & 255}`;
const addresses = {
    sender: `${addressPrefix}.201:7400`,
    receiver: `${addressPrefix}.202:7400`,
    closing: `${addressPrefix}.203:7400`,
};

const test = suite<Context>("datagrams");

async function waitUntil(condition: () => boolean): Promise<void> {
    for (let tries = 0; tries < 200 && !condition(); tries++) await new Promise(resolve => setTimeout(resolve, 10));
}

test.before.each(async context => {
    const received: Received[] = [];
    const problems: string[] = [];
    const onProblem = (problem: string): void => void problems.push(problem);
    const sender = createDatagramTransport({
        router: "r1",
        listen: addresses.sender,
        onMessage: () => undefined,
        onProblem,
    });
    const receiver = createDatagramTransport({
        router: "r2",
        listen: addresses.receiver,
        onMessage: (from, _address, message) => void received.push({ from, message }),
        onProblem,
    });
    await Promise.all([sender.listen(), receiver.listen()]);
    Object.assign(context, { received, problems, sender, receiver });
});

test.after.each(({ sender, receiver }) => {
    sender.close();
    receiver.close();
});

test("messages of one event loop turn arrive in order, up to four per datagram", async ({ received, sender }) => {
    for (let sequence = 1; sequence <= 6; sequence++)
        sender.send(addresses.receiver, { type: "confirmationAsk", sequence });
    await waitUntil(() => received.length === 6);
    assert.equal(
        received.map(({ from, message }) => message.type === "confirmationAsk" && [from, message.sequence]),
        [1, 2, 3, 4, 5, 6].map(sequence => ["r1", sequence]),
    );
    assert.is(sender.countTraffic().datagrams, 2);
});

test("a malformed datagram is reported, and later messages arrive", async ({ received, problems, sender }) => {
    const socket = createSocket("udp4");
    const [host = "", port] = addresses.receiver.split(":");
    await new Promise<void>(resolve => socket.send("not a batch", Number(port), host, () => resolve()));
    socket.close();
    await waitUntil(() => problems.length > 0);
    sender.send(addresses.receiver, { type: "confirmationAsk", sequence: 1 });
    await waitUntil(() => received.length === 1);
    assert.is(received.length, 1);
    assert.is(problems.length, 1);
});

// A send error, for example after the receiving host has stopped, must not throw in the event loop.
test("a message that cannot be sent is reported", async ({ problems, sender }) => {
    sender.send("no address", { type: "confirmationAsk", sequence: 1 });
    await waitUntil(() => problems.length > 0);
    assert.is(problems.length, 1);
});

test("a closed transport neither sends queued messages nor throws", async ({ received, problems }) => {
    const closingTransport = createDatagramTransport({
        router: "r3",
        listen: addresses.closing,
        onMessage: () => undefined,
        onProblem: problem => void problems.push(problem),
    });
    await closingTransport.listen();
    closingTransport.send(addresses.receiver, { type: "confirmationAsk", sequence: 1 });
    closingTransport.close();
    await new Promise(resolve => setTimeout(resolve, 50));
    assert.equal(received, []);
    assert.equal(problems, []);
});

test.run();
