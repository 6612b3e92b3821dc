/** Guards against a queue that grows without bound, and against reports that are dropped before outdated probes. */
import type { PeerMessage } from "@rhubarbwheel/types/peer-messages";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createPeerQueue } from "../src/peerQueue.js";

function createProbe(sequence: number): PeerMessage {
    return { type: "probeRequest", sequence, router: "b", updates: [] };
}

function createRequest(revision: number): PeerMessage {
    return { type: "configurationRequest", revision };
}

test("a full queue drops its oldest probe first", () => {
    const queue = createPeerQueue(3);
    for (const message of [createRequest(1), createProbe(1), createProbe(2)]) queue.add(message);
    assert.ok(queue.add(createRequest(2)));
    assert.equal(queue.takeAll(), [createRequest(1), createProbe(2), createRequest(2)]);
    assert.is(queue.getLength(), 0);
});

test("a queue that is full of other messages is emptied, and reports the loss", () => {
    const queue = createPeerQueue(2);
    for (const message of [createRequest(1), createRequest(2)]) queue.add(message);
    assert.not.ok(queue.add(createRequest(3)));
    assert.is(queue.getLength(), 0);
});

test.run();
