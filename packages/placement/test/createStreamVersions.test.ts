/** Tests what a router remembers of streams, and which routers remember a stream. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createStreamHolderChooser } from "../src/createStreamHolderChooser.js";
import { createStreamVersions, maxRememberedStreams } from "../src/createStreamVersions.js";
import { createRouterEntries } from "./placementFixtures.js";

const service = "assistant";

test("a stream is remembered until it expires, for its service only", () => {
    const streams = createStreamVersions();
    streams.record("a", { service, version: "v1", expiresAt: 1_000 }, 0);
    assert.is(streams.find("a", service, 999)?.version, "v1");
    assert.is(streams.find("a", "other", 999), undefined);
    assert.is(streams.find("a", service, 1_000), undefined);
});

// Guards against a stream that goes on at either of two versions, because the later record replaced the earlier one.
test("a stream of which routers name two versions is uncertain", () => {
    const streams = createStreamVersions();
    for (const version of ["v1", "v1", "v2", "v1"]) streams.record("a", { service, version, expiresAt: 1_000 }, 0);
    const found = streams.find("a", service, 0);
    assert.ok(found !== undefined && found.version === undefined);
});

test("the oldest streams are dropped, and are unknown then", () => {
    const streams = createStreamVersions();
    for (let index = 0; index <= maxRememberedStreams; index++)
        streams.record(`${index}`, { service, version: "v1", expiresAt: 10_000 }, 0);
    assert.is(streams.count(), maxRememberedStreams);
    assert.is(streams.find("0", service, 0), undefined);
    streams.record("later", { service, version: "v1", expiresAt: 30_000 }, 20_000);
    assert.is(streams.count(), 1);
});

test("routers of a failure domain choose the same holders, and those of another one choose most of them", () => {
    const routers = createRouterEntries(44).map((entry, index) => ({ ...entry, failureDomain: `d${index % 11}` }));
    const createChooser = (failureDomain: string) =>
        createStreamHolderChooser({ failureDomain, listRouters: () => routers });
    const [first, second, remote] = [createChooser("d0"), createChooser("d0"), createChooser("d1")];
    const counts = new Map<string, number>();
    for (let index = 0; index < 2_000; index++) {
        const chosen = first.choose(`call-${index}`).map(({ router }) => router);
        assert.equal(second.choose(`call-${index}`).map(({ router }) => router), chosen);
        assert.is(new Set(chosen).size, chosen.length);
        const common = remote.choose(`call-${index}`).filter(({ router }) => chosen.includes(router));
        assert.ok(common.length >= 3);
        for (const { router, failureDomain } of remote.choose(`call-${index}`))
            if (failureDomain !== "d1") counts.set(router, (counts.get(router) ?? 0) + 1);
    }
    const [least, most] = [Math.min(...counts.values()), Math.max(...counts.values())];
    assert.ok(most < 2 * least, `${least} to ${most} streams`);
});

test.run();
