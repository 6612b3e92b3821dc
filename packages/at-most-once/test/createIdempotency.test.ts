/** Guards against a keyed call that runs twice, gets another call's answer, or is told an outcome that is not certain. */
import type { RouterEvent } from "@rhubarbwheel/types/events";
import type { Member } from "@rhubarbwheel/types/slices";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { formatMintedKey, parseMintedKey } from "../src/mintedKey.js";
import { cancelled, createMember, createTestSlice, ended, keyed, recorded, reduceAll } from "./sliceHarness.js";

const ownKey = createTestSlice().mintKey();
const laterKeys = (count: number): string[] => {
    const slice = createTestSlice();
    return Array.from({ length: count }, slice.mintKey);
};
const restartedKey = createTestSlice({ incarnation: 2 }).mintKey();
const peerKey = createTestSlice({ router: "r2" }).mintKey();
const [k1 = "", k2 = "", k3 = "", k4 = ""] = laterKeys(4);
const bound = (requestId: string, mintedKey?: string): RouterEvent => ({
    type: "keyBound",
    now: 2,
    requestId,
    ...(mintedKey === undefined ? { result: "unavailable" } : { result: "bound", mintedKey }),
});
const forwardAnswered = (requestId: string, result: "answered" | "broken" | "unreachable"): RouterEvent => ({
    type: "forwardAnswered",
    now: 2,
    requestId,
    result,
});
const peer = (state: Member["state"], incarnation?: number) => ({
    getMember: () => createMember("r2", state, incarnation),
});

// Each row: fault, options of the slice, events, decisions.
const faults: readonly [string, Parameters<typeof createTestSlice>[0], RouterEvent[], string[]][] = [
    ["a first call runs", {}, [keyed("a", k1)], ["run a"]],
    [
        "duplicates while running wait and get the one answer",
        {},
        [keyed("a", k1), keyed("b", k1), keyed("c", k1), recorded("a")],
        ["run a", "replay a to b", "replay a to c"],
    ],
    [
        "a duplicate after the end gets the recorded answer, whose own record is dropped",
        {},
        [keyed("a", k1), recorded("a"), keyed("b", k1), recorded("b")],
        ["run a", "replay a to b", "drop b"],
    ],
    [
        "an unknown outcome is kept and never run again",
        {},
        [keyed("a", k1), recorded("a", "unknown"), keyed("b", k1)],
        ["run a", "replay a to b"],
    ],
    [
        "a call that was not run runs on the retry; a waiting duplicate is told the same",
        {},
        [keyed("a", k1), keyed("b", k1), recorded("a", "notRun"), keyed("c", k1)],
        ["run a", "replay a to b", "drop a", "run c"],
    ],
    [
        "eviction by count: the retry is unknown",
        { maxRecords: 1 },
        [keyed("a", k1), recorded("a"), keyed("b", k2), recorded("b"), keyed("c", k1), keyed("d", k2)],
        ["run a", "run b", "drop a", "end c unknown KEY_RECORD_EVICTED", "replay b to d"],
    ],
    [
        "eviction by bytes, of the answer itself when it alone is over the limit",
        { maxBytes: 100 },
        [keyed("a", k1), recorded("a", "complete", 101), keyed("b", k1)],
        ["run a", "drop a", "end b unknown KEY_RECORD_EVICTED"],
    ],
    [
        "a running call is never evicted, and an unused key below the mark is unknown",
        { maxRecords: 1 },
        [keyed("a", k1), keyed("c", k3), recorded("c"), keyed("d", k4), recorded("d"), keyed("e", k2), keyed("f", k1)],
        ["run a", "run c", "run d", "drop c", "end e unknown KEY_RECORD_EVICTED"],
    ],
    [
        "another workspace's flood evicts only its own records and leaves unused keys usable",
        { maxRecords: 2 },
        [
            keyed("a", k1),
            recorded("a"),
            ...[k2, k3, k4].flatMap((
                key,
                index,
            ) => [keyed(`x${index}`, key, { workspace: "kudu" }), recorded(`x${index}`)]),
            keyed("b", k1),
            keyed("c", k2),
        ],
        ["run a", "run x0", "run x1", "drop x0", "run x2", "drop x1", "replay a to b", "run c"],
    ],
    [
        "a key reused for another call is refused, while running and after the end",
        {},
        [keyed("a", k1), keyed("b", k1, { fingerprint: "g" }), recorded("a"), keyed("c", k1, { fingerprint: "g" })],
        ["run a", "end b notRun KEY_REUSED", "end c notRun KEY_REUSED"],
    ],
    [
        "another workspace gets nothing of the record, not even that it exists",
        {},
        [keyed("a", k1), recorded("a"), keyed("b", k1, { workspace: "kudu", fingerprint: "g" })],
        ["run a", "run b"],
    ],
    ["a key of an earlier incarnation", {}, [keyed("a", restartedKey)], ["end a unknown KEY_OWNER_GONE"]],
    ["a key with a forged tag", {}, [keyed("a", `${ownKey.slice(0, -22)}${"A".repeat(22)}`)], [
        "end a notRun KEY_MALFORMED",
    ]],
    ["a malformed minted key", {}, [keyed("a", "rw1.cjE.1")], ["end a notRun KEY_MALFORMED"]],
    ["owner never heard of", {}, [keyed("a", peerKey)], ["end a unknown KEY_OWNER_GONE"]],
    ["owner dead", peer("dead"), [keyed("a", peerKey)], ["end a unknown KEY_OWNER_GONE"]],
    ["owner left", peer("left"), [keyed("a", peerKey)], ["end a unknown KEY_OWNER_GONE"]],
    [
        "owner that refuted a suspicion is alive under a greater incarnation: it decides itself",
        peer("alive", 9),
        [keyed("a", peerKey), forwardAnswered("a", "answered")],
        ["forward a to r2"],
    ],
    ...(["broken", "unreachable"] as const).map(result =>
        [
            `owner ${result}`,
            peer("suspect"),
            [keyed("a", peerKey), forwardAnswered("a", result)],
            ["forward a to r2", "end a unknown KEY_OWNER_UNREACHABLE"],
        ] as [string, Parameters<typeof createTestSlice>[0], RouterEvent[], string[]]
    ),
    [
        "a forwarded call runs at its owner, and is never forwarded again",
        peer("alive"),
        [keyed("a", k1, { forwardedBy: "r3" }), keyed("b", peerKey, { forwardedBy: "r3" })],
        ["run a", "end b unknown KEY_OWNER_UNREACHABLE"],
    ],
    ["a forwarded call without a minted key is not bound", {}, [keyed("a", "order-7", { forwardedBy: "r3" })], [
        "end a notRun KEY_MALFORMED",
    ]],
    [
        "a chosen key runs once bound; its duplicate finds the record through the binding",
        {},
        [keyed("a", "order-7"), bound("a", k1), recorded("a"), keyed("b", "order-7"), bound("b", k1)],
        ["bind a order-7", "run a", "bind b order-7", "replay a to b"],
    ],
    [
        "a chosen key that is bound to a peer's key is forwarded",
        peer("alive"),
        [keyed("a", "order-7"), bound("a", peerKey)],
        ["bind a order-7", "forward a to r2"],
    ],
    ["binding unavailable", {}, [keyed("a", "order-7"), bound("a")], [
        "bind a order-7",
        "end a notRun KEY_STORE_UNAVAILABLE",
    ]],
    [
        "a caller that hangs up during the binding or the forwarding gets nothing more",
        peer("alive"),
        [
            keyed("a", "order-7"),
            cancelled("a"),
            bound("a", k1),
            keyed("b", peerKey),
            cancelled("b"),
            forwardAnswered("b", "broken"),
        ],
        ["bind a order-7", "forward b to r2"],
    ],
    [
        "a caller that hangs up while its call is queued leaves the run to a waiting duplicate",
        {},
        [keyed("a", k1), keyed("b", k1), cancelled("a"), ended("a", "notRun"), recorded("b"), keyed("c", k1)],
        ["run a", "drop a", "run b", "replay b to c"],
    ],
    [
        "a caller that hangs up while its call is queued leaves the key to a retry",
        {},
        [keyed("a", k1), cancelled("a"), ended("a", "notRun"), keyed("b", k1)],
        ["run a", "drop a", "run b"],
    ],
    [
        "a caller that hangs up while its call runs finds the answer on the retry",
        {},
        [keyed("a", k1), cancelled("a"), keyed("b", k1), ended("a", "complete"), recorded("a")],
        ["run a", "replay a to b"],
    ],
    [
        "a waiting duplicate that hangs up neither runs nor gets an answer",
        {},
        [keyed("a", k1), keyed("b", k1), cancelled("b"), recorded("a")],
        ["run a"],
    ],
];

for (const [name, opts, events, decisions] of faults)
    test(name, () => assert.equal(reduceAll(createTestSlice(opts), events), decisions));

test("the request that runs carries its minted key", () => {
    const [, raised] = createTestSlice().reduce(keyed("a", k1));
    assert.is(raised?.type === "raise" && raised.event.type === "requestArrived" && raised.event.request.key, k1);
});

test("a key has one text form, whatever characters the router name contains", () => {
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
