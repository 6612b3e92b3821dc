/**
 * Guards against capacity that is divided unfairly or left idle (guarantees G1, G2, G11): compares the service gap of
 * backlogged workspaces and the utilisation with those of naive routers with fixed limits. The formula of the bound is
 * that of the design page.
 */
import type { Slice } from "@rhubarbwheel/types/slices";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createEntryQueue } from "../src/createEntryQueue.js";
import { createPoolCoordinator } from "../src/createPoolCoordinator.js";
import { createFakeFleet, type SliceOptions } from "./fakeFleet.js";
import { createGapMeter, createLoad } from "./fakeLoad.js";
import { createNaiveRouter } from "./naiveRouter.js";

const routers = 12;
const targetLimit = 8;
const warmUpMs = 20_000;
const measurementMs = 30_000;
const targets = Array.from({ length: 8 }, (_, index) => ({
    name: `t${index}`,
    address: `http://t${index}`,
    failureDomain: `fd${index % 4}`,
}));
const service = {
    name: "proofs",
    version: 1,
    // A short warm-up, because the measurement starts after it.
    spec: { kind: "model" as const, targets, targetLimit, coldLimit: 2, warmUpRequests: 2 },
};
const slots = targets.length * targetLimit;
// 16 workspaces, three of them with a larger share, each at one to three routers.
const names = Array.from({ length: 16 }, (_, index) => `w${index}`);
const shares = Object.fromEntries(names.map((name, index) => [name, index < 3 ? 4 : 1]));
const workspaces = Object.fromEntries(names.map(name => [name, { share: shares[name] ?? 1, credentialHashes: [] }]));
const entryRouters = Object.fromEntries(
    names.map((name, index) => [
        name,
        Array.from({ length: 1 + index % 3 }, (_, at) => `r${(index * 5 + at * 3) % routers}`),
    ]),
);

const createFair = (opts: SliceOptions): readonly Slice[] => [createEntryQueue(opts), createPoolCoordinator(opts)];
const createNaive = () => {
    let index = 0;
    return (opts: SliceOptions): readonly Slice[] => [createNaiveRouter({ ...opts, index: index++, routers })];
};

function measure(seed: number, maxCost: number, createSlices: typeof createFair, lossPercent = 0) {
    const random = xoroshiro128plus(seed);
    const randomCost = () => uniformInt(random, maxCost / 10, maxCost);
    const fleet = createFakeFleet({ seed, routers, service, workspaces, createSlices, lossPercent });
    const load = createLoad(fleet, { entryRouters, queueLength: 15, randomCost });
    const meter = createGapMeter(fleet, shares);
    const advance = () => {
        if (fleet.getNow() % 20 === 0) load();
    };
    fleet.run(warmUpMs, advance);
    const busyBefore = fleet.state.targets.busyMs;
    const messagesBefore = fleet.state.messages;
    fleet.run(warmUpMs + measurementMs, () => {
        advance();
        if (fleet.getNow() % 10 === 0) meter.sample();
    });
    return {
        gap: Math.round(meter.computeGap()),
        utilisation: (fleet.state.targets.busyMs - busyBefore) / (slots * measurementMs),
        messages: Math.round((fleet.state.messages - messagesBefore) / routers / (measurementMs / 1000)),
    };
}

/** Maximum rate of a workspace x staleness + maximum request + allowance, divided by the smallest share. */
function computeBound(maxCost: number): number {
    const tickMs = 100;
    const oneWayMs = 2;
    const costPerMs = slots;
    const smallestShare = 1;
    return (costPerMs * (tickMs + oneWayMs) + maxCost + maxCost) / smallestShare;
}

for (const [maxCost, lossPercent] of [[200, 0], [1000, 0], [1000, 5], [5000, 0]] as const) {
    test(`gap and utilisation with requests of up to ${maxCost} ms and ${lossPercent}% loss`, () => {
        const bound = computeBound(maxCost);
        const fair = measure(1, maxCost, createFair, lossPercent);
        const naive = measure(1, maxCost, createNaive(), lossPercent);
        console.log(JSON.stringify({ greatestCost: maxCost, lossPercent, bound, fair, naive }));
        assert.ok(fair.gap <= bound, `gap ${fair.gap} over ${bound}`);
        assert.ok(naive.gap > 3 * fair.gap, `naive gap ${naive.gap}`);
        assert.ok(fair.utilisation >= 0.97, `utilisation ${fair.utilisation}`);
    });
}

test.run();
