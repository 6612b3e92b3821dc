/** Guards against messages that change on the way between routers, and against crashes on hostile bytes. */
import { rhubarbwheel } from "#generated/peer";
import * as fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
    decodeForwardedAnswer,
    decodeForwardedCall,
    decodePeerBatch,
    encodeForwardedAnswer,
    encodeForwardedCall,
    encodePeerBatch,
} from "../src/peerCodec.js";
import { forwardedAnswer, forwardedCall, makeMessage, messageKinds } from "./arbitraries.js";

const seed = 20261204;
const wire = rhubarbwheel.peer;

/** A batch with one message as the generated codec would write it, without the checks of this package. */
function encodeRaw(envelope: rhubarbwheel.peer.PeerEnvelope.$Properties): Uint8Array {
    return wire.PeerBatch.encode({ from: "a", incarnation: 1, messages: [envelope] }).finish();
}

for (const kind of messageKinds) {
    test(`${kind} is the same after a round trip, missing properties included`, () => {
        fc.assert(
            fc.property(makeMessage(kind), message => {
                const batch = { from: "a", incarnation: 7, messages: [message] };
                assert.equal(decodePeerBatch(encodePeerBatch(batch)), { ...batch, problems: [] });
            }),
            { seed, numRuns: 200 },
        );
    });
}

test("a forwarded call and its answer are the same after a round trip", () => {
    fc.assert(
        fc.property(forwardedCall, forwardedAnswer, (call, answer) => {
            assert.equal(decodeForwardedCall(encodeForwardedCall(call)), { type: "decoded", value: call });
            assert.equal(decodeForwardedAnswer(encodeForwardedAnswer(answer)), { type: "decoded", value: answer });
        }),
        { seed },
    );
});

test("bytes that are random, cut short or altered never throw, and yield only messages of known kinds", () => {
    const batches = fc.array(fc.oneof(...messageKinds.map(makeMessage)), { minLength: 1, maxLength: 3 });
    fc.assert(
        fc.property(batches, fc.nat(), fc.nat(), fc.uint8Array(), (messages, cut, position, noise) => {
            const encoded = encodePeerBatch({ from: "a", incarnation: 1, messages });
            const altered = Buffer.from(encoded);
            altered[position % altered.length] = (altered[position % altered.length] ?? 0) ^ (1 + cut % 255);
            for (const bytes of [noise, encoded.subarray(0, cut % encoded.length), altered]) {
                const decoded = decodePeerBatch(bytes);
                assert.ok(decoded.messages.every(message => messageKinds.includes(message.type)));
                decodeForwardedCall(bytes);
                decodeForwardedAnswer(bytes);
            }
        }),
        { seed, numRuns: 500 },
    );
});

const update = { router: "b", incarnation: 1, state: 1, address: "127.0.0.1:1", failureDomain: "north" };
const malformed: [string, rhubarbwheel.peer.PeerEnvelope.$Properties, RegExp][] = [
    ["a message of an unknown kind", {}, /unknown kind/],
    [
        "a state that is not in the union",
        { leaving: { update: { ...update, state: 99 as 1 } } },
        /update state is not one of/,
    ],
    ["a state that is not set", { leaving: { update: { ...update, state: 0 } } }, /update state is not one of/],
    ["a message without its required part", { probe: { sequence: 1 } }, /digest is missing/],
    ["a count above 2^53", { configurationRequest: { revision: 2 ** 60 } }, /revision is not a whole number/],
    ["a resource without a spec", { configurationUpdate: { resources: [{ name: "x" }] } }, /without a known spec/],
];
for (const [title, envelope, problem] of malformed) {
    test(`${title} is dropped with a problem, and the rest of the batch is kept`, () => {
        const good = encodePeerBatch({
            from: "a",
            incarnation: 1,
            messages: [{ type: "configurationRequest", revision: 3 }],
        });
        const decoded = decodePeerBatch(Buffer.concat([encodeRaw(envelope), good]));
        assert.equal(decoded.messages, [{ type: "configurationRequest", revision: 3 }]);
        assert.is(decoded.problems.length, 1);
        assert.match(decoded.problems[0] ?? "", problem);
    });
}

test("a count that the wire can't hold is refused on encoding instead of being changed", () => {
    for (const revision of [-1, 1.5, 2 ** 53, Number.NaN]) {
        assert.throws(
            () =>
                encodePeerBatch({ from: "a", incarnation: 1, messages: [{ type: "configurationRequest", revision }] }),
            /revision is not a whole number/,
        );
    }
});

test.run();
