/** Guards against relayed entries that reach a stranger, come from one, arrive in part, or seem newer than they are. */
import type { RouterEntry, ViewEntries, ViewKind } from "@rhubarbwheel/types/fleet";
import type { ViewChange } from "@rhubarbwheel/types/view-events";
import { connect, createServer } from "node:net";
import type { AddressInfo } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createRelayClient, type RelayClient } from "../src/createRelayClient.js";
import { createRelayServer } from "../src/createRelayServer.js";
import { encodeFrame, signNonce } from "../src/relayFrames.js";

const key = "5f1c";

function sleep(ms: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, ms));
}

async function waitFor(isTrue: () => boolean): Promise<void> {
    for (let attempts = 0; attempts < 300 && !isTrue(); attempts++) await sleep(10);
    assert.ok(isTrue(), "timeout");
}

async function findFreeAddress(): Promise<string> {
    const server = createServer();
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as AddressInfo;
    await new Promise(resolve => server.close(resolve));
    return `127.0.0.1:${port}`;
}

/** A relay with the closed failure domain `a` at revision 10, confirmed 200 ms ago. */
async function startRelay() {
    const address = await findFreeAddress();
    const problems: string[] = [];
    let entries: readonly ViewEntries[ViewKind][] = [{ failureDomain: "a" }];
    let revision = 10;
    const server = createRelayServer({
        router: "relay",
        key,
        listen: address,
        source: {
            getList: kind => kind === "closedDomains" ? { entries, era: 1, revision } : undefined,
            getPosition: kind => kind === "closedDomains" ? { era: 1, revision } : undefined,
            getConfirmation: kind =>
                kind === "closedDomains" ? { era: 1, revision, confirmedAt: performance.now() - 200 } : undefined,
        },
        getNow: () => performance.now(),
        checkClocks: () => undefined,
        onProblem: problem => problems.push(problem),
    });
    await server.listen();
    return {
        address,
        problems,
        server,
        change: (next: readonly ViewEntries[ViewKind][], changes?: readonly ViewChange[]) => {
            entries = next;
            revision += 1;
            server.sendUpdate("closedDomains", changes);
        },
    };
}

function createRelayEntry(address: string, relayKey = key): RouterEntry {
    return { router: "relay", incarnation: 1, address, failureDomain: "zone-a", relayKey };
}

/** Follows a relay; what arrives is recorded as lines. `checkClocks` is called before each reply is handled. */
function followRelay(entry: RouterEntry, checkClocks: (client: RelayClient) => void = () => undefined) {
    const lines: string[] = [];
    const reports: Readonly<Partial<Record<ViewKind, number>>>[] = [];
    const client: RelayClient = createRelayClient({
        pingIntervalMs: 450,
        router: "follower",
        sink: {
            applyRelayedList: (kind, list) => lines.push(`list ${kind} ${JSON.stringify(list)}`),
            applyRelayedChanges: (kind, update) => {
                lines.push(`changes ${kind} ${JSON.stringify(update)}`);
                return "applied";
            },
            confirm: () => "applied",
        },
        getNow: () => performance.now(),
        checkClocks: () => checkClocks(client),
        onReport: (_relay, confirmedAt) => reports.push(confirmedAt),
        onLost: (_relay, reason) => lines.push(`lost: ${reason}`),
    });
    client.setRelays([entry]);
    return { client, lines, reports };
}

test("a follower gets the list, then the changes, and the age of the confirmation", async () => {
    const relay = await startRelay();
    const startedAt = performance.now();
    const { client, lines, reports } = followRelay(createRelayEntry(relay.address));
    await waitFor(() => reports.length > 0);
    relay.change([], [{ name: "a" }]);
    relay.change([{ failureDomain: "b" }]);
    await waitFor(() => lines.length === 3);
    client.close();
    relay.server.close();
    assert.equal(lines, [
        "list closedDomains {\"entries\":[{\"failureDomain\":\"a\"}],\"era\":1,\"revision\":10}",
        "changes closedDomains {\"changes\":[{\"name\":\"a\"}],\"era\":1,\"fromRevision\":10,\"revision\":11}",
        "list closedDomains {\"entries\":[{\"failureDomain\":\"b\"}],\"era\":1,\"revision\":12}",
    ]);
    const confirmedAt = reports[0]?.closedDomains ?? Infinity;
    assert.ok(confirmedAt >= startedAt - 300 && confirmedAt <= performance.now() - 200);
});

test("a relay sends nothing to a router with another key", async () => {
    const relay = await startRelay();
    const { lines, reports } = followRelay(createRelayEntry(relay.address, "other"));
    await waitFor(() => lines.length > 0);
    relay.server.close();
    assert.equal(lines, ["lost: not authenticated"]);
    assert.equal(reports, []);
    assert.is(relay.server.countFollowers(), 0);
});

const refusedFrames: readonly { readonly name: string; readonly text: string; }[] = [
    { name: "a ping before authentication", text: encodeFrame({ type: "ping", sequence: 1 }) },
    { name: "another version", text: encodeFrame({ type: "hello", version: 99, router: "x", nonce: "1" }) },
    { name: "text that is not JSON", text: "GET / HTTP/1.1\r\n\r\n" },
    {
        name: "a signature of another nonce",
        text: encodeFrame({ type: "hello", version: 1, router: "x", nonce: "1" })
            + encodeFrame({ type: "join", signature: signNonce(key, "follower", "x", "recorded") }),
    },
    {
        name: "the relay's own signature sent back",
        text: encodeFrame({ type: "hello", version: 1, router: "relay", nonce: "1" })
            + encodeFrame({ type: "join", signature: signNonce(key, "relay", "relay", "1") }),
    },
];

for (const { name, text } of refusedFrames) {
    test(`a relay closes a connection with ${name}`, async () => {
        const relay = await startRelay();
        const [host = "", port = ""] = relay.address.split(":");
        const socket = connect(Number(port), host);
        let received = "";
        socket.on("data", chunk => (received += chunk.toString()));
        socket.on("error", () => undefined);
        socket.write(text);
        await new Promise(resolve => socket.once("close", resolve));
        relay.server.close();
        assert.not(received.includes("list"));
        assert.is(relay.problems.length, 1);
    });
}

// Guards against a stranger at the address of a relay that has left.
test("a follower takes nothing from a server that does not know the relay's key", async () => {
    const server = createServer(socket => {
        socket.on("error", () => undefined);
        socket.write(encodeFrame({ type: "welcome", nonce: "1", signature: "0".repeat(64) }));
        socket.write(encodeFrame({ type: "list", kind: "closedDomains", era: 1, revision: 99, entries: [] }));
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as AddressInfo;
    const { lines } = followRelay(createRelayEntry(`127.0.0.1:${port}`));
    await waitFor(() => lines.length > 0);
    await sleep(50);
    server.close();
    assert.equal(lines, ["lost: not authenticated"]);
});

test("after a suspension, replies to earlier requests confirm nothing", async () => {
    const relay = await startRelay();
    let wasSuspended = false;
    const { client, reports } = followRelay(createRelayEntry(relay.address), follower => {
        if (wasSuspended) follower.clearPings();
    });
    await waitFor(() => reports.length > 0);
    wasSuspended = true;
    const count = reports.length;
    await waitFor(() => reports.length > count);
    client.close();
    relay.server.close();
    for (const report of reports.slice(count)) assert.is(report.closedDomains, -Infinity);
});

test.run();
