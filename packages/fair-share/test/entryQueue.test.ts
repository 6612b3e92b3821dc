/** Guards against lost or repeated requests at the entry router: queue limits, cancellation, retries, drain. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createEntryQueue } from "../src/createEntryQueue.js";
import { createPoolCoordinator } from "../src/createPoolCoordinator.js";
import { createFakeFleet, type SliceOptions } from "./fakeFleet.js";

const createSlices = (opts: SliceOptions) => [createEntryQueue(opts), createPoolCoordinator(opts)] as const;
const service = {
    name: "proofs",
    version: 1,
    spec: {
        kind: "model" as const,
        targets: [1, 2].map(index => ({ name: `t${index}`, address: `http://t${index}`, failureDomain: `fd${index}` })),
        targetLimit: 4,
        coldLimit: 2,
    },
};

test("requests of two routers complete", () => {
    const fleet = createFakeFleet({
        seed: 1,
        routers: 3,
        service,
        workspaces: { a: { share: 1, credentialHashes: [] } },
        createSlices,
    });
    fleet.run(1000);
    for (let index = 0; index < 40; index += 1) fleet.submit(`r${index % 3}`, "a", 50);
    fleet.run(4000);
    assert.is(fleet.runs.size, 40);
    assert.is(fleet.measureService("a"), 2000);
    assert.is(fleet.state.targets.overshoot, 0);
});

test.run();
