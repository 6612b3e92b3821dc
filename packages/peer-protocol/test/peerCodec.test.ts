/** Guards against messages that change in transit between routers, and against crashes on malformed bytes. */
import { rhubarbwheel } from "#generated/peer";
import * as fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
    decodeForwardedCall,
    decodeForwardedResponse,
    decodePeerBatch,
    encodeForwardedCall,
    encodeForwardedResponse,
    encodePeerBatch,
} from "../src/peerCodec.js";
import { createMessage, forwardedCall, forwardedResponse, messageKinds } from "./arbitraries.js";

const seed = 20261204;
const wire = rhubarbwheel.peer;

/** Encodes a batch of one message by the generated codec, without the validation of this package. */
function encodeRaw(envelope: rhubarbwheel.peer.PeerEnvelope.$Properties): Uint8Array {
    return wire.PeerBatch.encode({ from: "a", incarnation: 1, messages: [envelope] }).finish();
}

for (const kind of messageKinds) {
    test(`${kind} is unchanged after a round trip, including omitted properties`, () => {
        fc.assert(
            fc.property(createMessage(kind), message => {
                const batch = { from: "a", incarnation: 7, messages: [message] };
                assert.equal(decodePeerBatch(encodePeerBatch(batch)), { ...batch, problems: [] });
            }),
            { seed, numRuns: 200 },
        );
    });
}

test("a forwarded call and its response are unchanged after a round trip", () => {
    fc.assert(
        fc.property(forwardedCall, forwardedResponse, (call, response) => {
            assert.equal(decodeForwardedCall(encodeForwardedCall(call)), { type: "decoded", value: call });
            assert.equal(decodeForwardedResponse(encodeForwardedResponse(response)), {
                type: "decoded",
                value: response,
            });
        }),
        { seed },
    );
});

test("random, truncated or corrupted bytes never throw, and only messages of known kinds are decoded", () => {
    const batches = fc.array(fc.oneof(...messageKinds.map(createMessage)), { minLength: 1, maxLength: 3 });
    fc.assert(
        fc.property(batches, fc.nat(), fc.nat(), fc.uint8Array(), (messages, cut, position, noise) => {
            const encoded = encodePeerBatch({ from: "a", incarnation: 1, messages });
            const altered = Buffer.from(encoded);
            altered[position % altered.length] = (altered[position % altered.length] ?? 0) ^ (1 + cut % 255);
            for (const bytes of [noise, encoded.subarray(0, cut % encoded.length), altered]) {
                const decoded = decodePeerBatch(bytes);
                assert.ok(decoded.messages.every(message => messageKinds.includes(message.type)));
                decodeForwardedCall(bytes);
                decodeForwardedResponse(bytes);
            }
        }),
        { seed, numRuns: 500 },
    );
});

const update = { router: "b", incarnation: 1, state: 1, address: "127.0.0.1:1", failureDomain: "north" };
const malformedEnvelopes: [string, rhubarbwheel.peer.PeerEnvelope.$Properties, RegExp][] = [
    ["a message of an unknown kind", {}, /unknown kind/],
    [
        "a state that is not in the union",
        { leaving: { update: { ...update, state: 99 as 1 } } },
        /update state is not one of/,
    ],
    ["a state that is not set", { leaving: { update: { ...update, state: 0 } } }, /update state is not one of/],
    ["a message without a required field", { probe: { sequence: 1 } }, /digest is missing/],
    ["a count above 2^53", { configurationRequest: { revision: 2 ** 60 } }, /revision is not a whole number/],
    ["a resource without a spec", { configurationUpdate: { resources: [{ name: "x" }] } }, /without a known spec/],
];
for (const [title, envelope, problem] of malformedEnvelopes) {
    test(`${title} is dropped and reported, and the rest of the batch is decoded`, () => {
        const validBatch = encodePeerBatch({
            from: "a",
            incarnation: 1,
            messages: [{ type: "configurationRequest", revision: 3 }],
        });
        const decoded = decodePeerBatch(Buffer.concat([encodeRaw(envelope), validBatch]));
        assert.equal(decoded.messages, [{ type: "configurationRequest", revision: 3 }]);
        assert.is(decoded.problems.length, 1);
        assert.match(decoded.problems[0] ?? "", problem);
    });
}

test("encoding a count that the wire format cannot represent throws instead of changing it", () => {
    for (const revision of [-1, 1.5, 2 ** 53, Number.NaN]) {
        assert.throws(
            () =>
                encodePeerBatch({ from: "a", incarnation: 1, messages: [{ type: "configurationRequest", revision }] }),
            /revision is not a whole number/,
        );
    }
});

test.run();
