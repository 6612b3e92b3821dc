import { test } from "uvu";
import * as assert from "uvu/assert";

import { createFleet } from "./createRouterSlices.js";

test("a fleet that starts is complete and fresh, and a change reaches every router", () => {
    // Guards against a start that needs an operator, and against changes that only watchers see.
    const fleet = createFleet(1, 16, 4);
    fleet.advance(6_000);
    for (const { slices } of fleet.routers.values()) {
        assert.is(slices.membership.countListedAlive(), 16);
        assert.is(slices.configuration.getFreshness(), "fresh");
    }
    fleet.accept("failuredomains", "domain-1", { state: "out" });
    fleet.advance(1_000);
    for (const { slices } of fleet.routers.values())
        assert.equal(slices.configuration.getFailureDomain("domain-1"), { state: "out" });
});

test.run();
