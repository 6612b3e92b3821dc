/** Guards against a keyed call that runs twice, gets the response of another call, or a false outcome. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { formatMintedKey, parseMintedKey } from "../src/mintedKey.js";
import { createKeyedRequest, createMember, createTestSlice, formatEffect, parseEvent } from "./sliceHarness.js";
import type { TestSliceOptions } from "./sliceHarness.js";

const { mintKey } = createTestSlice();
const [k1 = "", k2 = "", k3 = "", k4 = ""] = Array.from({ length: 4 }, mintKey);
const keys: Readonly<Record<string, string>> = {
    k1,
    k2,
    k3,
    k4,
    restartedKey: createTestSlice({ incarnation: 2 }).mintKey(),
    peerKey: createTestSlice({ router: "r2" }).mintKey(),
    forgedKey: `${k1.slice(0, -22)}${"A".repeat(22)}`,
};

const optionsByName: Readonly<Record<string, TestSliceOptions>> = {
    "-": {},
    oneRecord: { maxRecords: 1 },
    twoRecords: { maxRecords: 2 },
    fewBytes: { maxBytes: 100 },
    peerAlive: { getMember: () => createMember("r2", "alive") },
    peerRefuted: { getMember: () => createMember("r2", "alive", 9) },
    peerSuspect: { getMember: () => createMember("r2", "suspect") },
    peerDead: { getMember: () => createMember("r2", "dead") },
    peerLeft: { getMember: () => createMember("r2", "left") },
};

// Each row: test name | slice options | events | expected effects.
const cases = `
a first call | - | call a k1 | run a
duplicates of a running call wait and get its response | - | call a k1, call b k1, call c k1, complete a | run a, replay a to b, replay a to c
a duplicate of a finished call gets the recorded response; its own is dropped | - | call a k1, complete a, call b k1, complete b | run a, replay a to b, drop b
a call of unknown outcome is recorded and never run again | - | call a k1, unknown a, call b k1 | run a, replay a to b
a call that was not run runs on a retry; a waiting duplicate gets the outcome notRun | - | call a k1, call b k1, notRun a, call c k1 | run a, replay a to b, drop a, run c
a retry whose record was evicted over the record limit is unknown and does not run | oneRecord | call a k1, complete a, call b k2, complete b, call c k1, call d k2 | run a, run b, drop a, end c unknown KEY_RECORD_EVICTED, replay b to d
a retry whose record was evicted over the byte limit, by its own size, is unknown and does not run | fewBytes | call a k1, complete a 101, call b k1 | run a, drop a, end b unknown KEY_RECORD_EVICTED
a running call is not evicted; an unused key below the low-water mark is unknown | oneRecord | call a k1, call c k3, complete c, call d k4, complete d, call e k2, call f k1 | run a, run c, run d, drop c, end e unknown KEY_RECORD_EVICTED
a flood of calls of another workspace evicts only its own records | twoRecords | call a k1, complete a, call x k2 workspace=kudu, complete x, call y k3 workspace=kudu, complete y, call z k4 workspace=kudu, complete z, call b k1, call c k2 | run a, run x, run y, drop x, run z, drop y, replay a to b, run c
a key that is reused for another call is rejected while the first call runs and after it | - | call a k1, call b k1 fingerprint=g, complete a, call c k1 fingerprint=g | run a, end b notRun KEY_REUSED, end c notRun KEY_REUSED
a record is not visible to another workspace, not even its existence | - | call a k1, complete a, call b k1 workspace=kudu fingerprint=g | run a, run b
a key of another incarnation of this router is unknown and does not run | - | call a restartedKey | end a unknown KEY_OWNER_GONE
a key with a forged tag does not run | - | call a forgedKey | end a notRun KEY_MALFORMED
a malformed minted key does not run | - | call a rw1.cjE.1 | end a notRun KEY_MALFORMED
the owner is not a member: unknown, not forwarded | - | call a peerKey | end a unknown KEY_OWNER_GONE
the owner is dead: unknown, not forwarded | peerDead | call a peerKey | end a unknown KEY_OWNER_GONE
the owner has left: unknown, not forwarded | peerLeft | call a peerKey | end a unknown KEY_OWNER_GONE
an owner that refuted a suspicion has a greater incarnation and still gets the call | peerRefuted | call a peerKey, forward a answered | forward a to r2
the connection to the owner breaks: unknown | peerSuspect | call a peerKey, forward a broken | forward a to r2, end a unknown KEY_OWNER_UNREACHABLE
the owner is unreachable: unknown | peerAlive | call a peerKey, forward a unreachable | forward a to r2, end a unknown KEY_OWNER_UNREACHABLE
a forwarded call runs at its owner and is never forwarded again | peerAlive | call a k1 forwardedBy=r3, call b peerKey forwardedBy=r3 | run a, end b unknown KEY_OWNER_UNREACHABLE
a forwarded call without a minted key is not bound | - | call a order-7 forwardedBy=r3 | end a notRun KEY_MALFORMED
a caller-chosen key runs once it is bound; its duplicate finds the record by the binding | - | call a order-7, bound a k1, complete a, call b order-7, bound b k1 | bind a order-7, run a, bind b order-7, replay a to b
a caller-chosen key that is bound to a key of a peer is forwarded to that peer | peerAlive | call a order-7, bound a peerKey | bind a order-7, forward a to r2
the store of bindings is unavailable: not run | - | call a order-7, unbound a | bind a order-7, end a notRun KEY_STORE_UNAVAILABLE
caller disconnects during the binding or the forwarding: it neither runs nor gets a response | peerAlive | call a order-7, cancel a, bound a k1, call b peerKey, cancel b, forward b broken | bind a order-7, forward b to r2
caller disconnects while the call is queued: a waiting duplicate runs | - | call a k1, call b k1, cancel a, ended a notRun, complete b, call c k1 | run a, drop a, run b, replay b to c
caller disconnects while the call is queued: a retry runs | - | call a k1, cancel a, ended a notRun, call b k1 | run a, drop a, run b
caller disconnects while the call runs: a retry gets the response | - | call a k1, cancel a, call b k1, ended a complete, complete a | run a, replay a to b
caller of a waiting duplicate disconnects: it neither runs nor gets a response | - | call a k1, call b k1, cancel b, complete a | run a
`;

for (const row of cases.trim().split("\n")) {
    const [name = "", optionsName = "", events = "", expected = ""] = row.split(" | ");
    test(name, () => {
        const slice = createTestSlice(optionsByName[optionsName]!);
        const effects = events.split(",").flatMap(line => slice.reduce(parseEvent(line, keys)));
        assert.is(effects.map(formatEffect).filter(line => line !== undefined).join(", "), expected);
    });
}

test("the request that is executed contains its minted key", () => {
    const [, raised] = createTestSlice().reduce(createKeyedRequest("a", k1));
    assert.is(raised?.type === "raise" && raised.event.type === "requestArrived" && raised.event.request.key, k1);
});

test("a key has one canonical text form, whatever characters the router name contains", () => {
    const tag = "abcdefghijklmnopqrstuv";
    for (const router of ["r1", "a.b-c", "rw1.x.1", "ündé"]) {
        const key = { router, incarnation: 1_764_828_000_000, sequence: 12_345, tag };
        assert.equal(parseMintedKey(formatMintedKey(key)), key);
    }
    const valid = formatMintedKey({ router: "r1", incarnation: 1, sequence: 1, tag });
    const variants = [`${valid} `, valid.replace(".1.", ".01."), valid.replace("1-", "01-"), valid.toUpperCase()];
    for (const text of variants) assert.is(parseMintedKey(text), undefined, text);
});

test.run();
