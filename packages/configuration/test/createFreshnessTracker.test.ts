import { createFreshnessTracker } from "@rhubarbwheel/configuration/createFreshnessTracker";
import type { ConfigurationDigest } from "@rhubarbwheel/types/peer-messages";
import { test } from "uvu";
import * as assert from "uvu/assert";

const outage: ConfigurationDigest = {
    revision: 5,
    confirmedAgeMs: 9_000,
    storeUnreachable: true,
    storeCheckedAgeMs: 50,
};

interface Case {
    readonly name: string;
    readonly digest?: Partial<ConfigurationDigest>;
    readonly ackCount?: number;
    readonly sentAt?: number;
    readonly ownRevision?: number;
    readonly ownCheckFailed?: boolean;
    readonly listedAlive?: number;
    readonly listed?: readonly string[];
    readonly ageMs: number;
}

// One of five listed routers at time 10,000, last confirmed at 1,000. Each case guards against an outage that confirms
// the configuration although no majority reports it, which would violate G4.
const cases: readonly Case[] = [
    { name: "a majority reports the outage: confirmed as of its oldest probe", ageMs: 300 },
    { name: "one acknowledgement too few for a majority", ackCount: 1, ageMs: 9_000 },
    { name: "peers reach the store", digest: { storeUnreachable: false }, ageMs: 9_000 },
    { name: "the failure reported by peers is too old", digest: { storeCheckedAgeMs: 2_600 }, ageMs: 9_000 },
    { name: "the failure reported by peers has no age", digest: { storeCheckedAgeMs: undefined }, ageMs: 9_000 },
    { name: "the acknowledged probes are too old", sentAt: 7_000, ageMs: 9_000 },
    { name: "peers hold a greater revision", ownRevision: 4, ageMs: 9_000 },
    { name: "this router reaches the store", ownCheckFailed: false, ageMs: 9_000 },
    { name: "membership shows no majority", listedAlive: 2, ageMs: 9_000 },
    { name: "the acknowledgements are from unlisted routers", listed: ["b"], ageMs: 9_000 },
    { name: "peers were confirmed by the store", digest: { confirmedAgeMs: 400 }, ageMs: 300 },
    { name: "peers were confirmed at a greater revision", digest: { confirmedAgeMs: 0 }, ownRevision: 4, ageMs: 9_000 },
];

for (const { name, digest, ackCount = 2, sentAt = 9_700, ownRevision = 5, ...rest } of cases) {
    test(name, () => {
        const freshness = createFreshnessTracker();
        freshness.confirm(1_000, "store");
        freshness.recordCheck(rest.ownCheckFailed ?? true, 9_900);
        for (const router of ["b", "c"].slice(0, ackCount))
            freshness.applyDigest(router, { ...outage, ...digest }, sentAt, ownRevision);
        const isListed = (router: string) => rest.listed?.includes(router) ?? true;
        freshness.countVotes(10_000, ownRevision, { listed: 5, listedAlive: rest.listedAlive ?? 5, isListed });
        assert.is(freshness.getAgeMs(10_000), rest.ageMs);
        assert.is(freshness.getState(10_000), rest.ageMs > 2_500 ? "stale" : "fresh");
    });
}

test("a router that was never confirmed stays empty in an outage", () => {
    // Guards against a fleet that restarts during an outage and then serves with an empty configuration.
    const freshness = createFreshnessTracker();
    freshness.recordCheck(true, 9_900);
    for (const router of ["b", "c", "d"])
        freshness.applyDigest(router, { ...outage, revision: 0, confirmedAgeMs: undefined }, 9_800, 0);
    freshness.countVotes(10_000, 0, { listed: 5, listedAlive: 5, isListed: () => true });
    assert.is(freshness.getState(10_000), "empty");
});

test.run();
