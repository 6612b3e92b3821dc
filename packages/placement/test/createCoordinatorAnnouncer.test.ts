/** Tells other routers which router coordinates a pool. */
import type { RouterEntry } from "@rhubarbwheel/types/fleet";
import type { PlacementEvent } from "@rhubarbwheel/types/placement-events";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createCoordinatorAnnouncer, noticeIntervalMs, noticesPerPool } from "../src/createCoordinatorAnnouncer.js";
import { createRouterEntries } from "./placementFixtures.js";

function createAnnouncerHarness() {
    const routers: readonly RouterEntry[] = createRouterEntries(3);
    let first = "r2";
    const announcer = createCoordinatorAnnouncer({
        router: "r1",
        view: {
            listRouters: () => routers,
            listServices: () => ["assistant"],
            getPosition: () => ({ era: 1, revision: 7 }),
        },
        findFirst: () => routers.find(({ router }) => router === first),
    });
    const reduce = (event: PlacementEvent): readonly string[] =>
        announcer.reduce(event).flatMap(effect =>
            effect.type === "sendToRouter" && effect.message.type === "coordinatorNotice"
                ? [`${effect.router} ${effect.message.service} ${effect.message.revision}`]
                : []
        );
    return {
        getWakeAt: announcer.getWakeAt,
        wake: (now: number) => reduce({ type: "wake", now }),
        setFirst: (router: string, now: number) => {
            first = router;
            return reduce({
                type: "viewChanged",
                kind: "routers",
                changes: [],
                era: 1,
                revision: 7,
                confirmedAt: now,
                now,
            });
        },
    };
}

// Guards against routers that go on asking the coordinator before this one, because the store turns them away.
test("a router that becomes the first by rank tells all others several times", () => {
    const harness = createAnnouncerHarness();
    assert.equal(harness.setFirst("r2", 0), []);
    assert.equal(harness.setFirst("r1", 10), ["r2 assistant 7", "r3 assistant 7"]);
    assert.equal(harness.setFirst("r1", 20), [], "the list was only confirmed");
    const sentAt: number[] = [];
    for (let now = 30; now < 20_000; now += 10) if (harness.wake(now).length > 0) sentAt.push(now);
    assert.equal(sentAt, Array.from({ length: noticesPerPool - 1 }, (_, index) => 10 + (index + 1) * noticeIntervalMs));
    assert.is(harness.getWakeAt(), Infinity);
});

test("a router that is no longer the first by rank stops, and tells the others if it is again", () => {
    const harness = createAnnouncerHarness();
    harness.setFirst("r1", 0);
    assert.equal(harness.setFirst("r3", 100), []);
    assert.equal(harness.wake(noticeIntervalMs), []);
    assert.is(harness.setFirst("r1", noticeIntervalMs + 100).length, 2);
});

test.run();
