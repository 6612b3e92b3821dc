/** Tests which versions of a service may be used after each step of a rollout. All times are on a fake clock. */
import type { TargetEntry } from "@rhubarbwheel/types/fleet";
import type { RolloutEntry, RolloutStatus } from "@rhubarbwheel/types/rollout";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createVersionFilter } from "../src/createVersionFilter.js";

const holdMs = 2_000;

function createTarget(version: string, more: Partial<TargetEntry> = {}): TargetEntry {
    return {
        target: `target-of-${version}`,
        service: "orders",
        address: "10.0.0.1:80",
        failureDomain: "a",
        slots: 6,
        state: "ready",
        coldForMs: 0,
        startedAtUnixMs: version === "v1" ? 1 : 2,
        version,
        ...more,
    };
}

function createOrder(targetVersion: string, revision: number, status?: Partial<RolloutStatus>): RolloutEntry {
    const full = { targetVersion, replacedVersions: ["v1"], startedAtUnixMs: 1, ...status };
    return {
        service: "orders",
        targetVersion,
        durationMs: 12_000,
        createdRevision: revision - revision % 10,
        era: 1,
        revision,
        ...(status === undefined ? {} : { status: { state: "running", ...full } }),
    };
}

type Filter = ReturnType<typeof createVersionFilter>;

interface Step {
    readonly name: string;
    readonly at: number;
    readonly run: (filter: Filter, now: number) => void;
    /** Use of v1, v2 and v3. */
    readonly expected: string;
}

const setTargets = (...versions: readonly string[]) => (filter: Filter, now: number): void =>
    void filter.setTargets(versions.map(version => createTarget(version)), now);

const putOrder = (...args: Parameters<typeof createOrder>) => (filter: Filter): void =>
    filter.putOrder(createOrder(...args));

const removeOrder = (filter: Filter): void => filter.removeOrder("orders");

const wait = (): void => undefined;

// Each scenario guards against a version that gets calls before an order, or after it was replaced or rolled back.
const scenarios: Readonly<Record<string, readonly Step[]>> = {
    "a new version without an order is held back for some time": [
        { name: "first list", at: 0, run: setTargets("v1"), expected: "usable usable usable" },
        { name: "v2 registers", at: 100, run: setTargets("v1", "v2"), expected: "usable held usable" },
        { name: "time passes", at: 2_099, run: wait, expected: "usable held usable" },
        { name: "no order came", at: 2_100, run: wait, expected: "usable usable usable" },
    ],
    "a router that starts sees all at once, and uses the version with the oldest target": [
        { name: "first list", at: 0, run: setTargets("v2", "v1"), expected: "usable held usable" },
        { name: "order", at: 500, run: putOrder("v2", 10), expected: "usable canary usable" },
    ],
    "a version that all targets carry is used": [
        { name: "first list", at: 0, run: setTargets("v1"), expected: "usable usable usable" },
        { name: "v2 registers", at: 100, run: setTargets("v1", "v2"), expected: "usable held usable" },
        { name: "v1 leaves", at: 200, run: setTargets("v2"), expected: "usable usable usable" },
    ],
    "an order that is completed": [
        { name: "first list", at: 0, run: setTargets("v1", "v2"), expected: "usable held usable" },
        { name: "order", at: 100, run: putOrder("v2", 10), expected: "usable canary usable" },
        { name: "running", at: 200, run: putOrder("v2", 11, { phase: "observing" }), expected: "usable canary held" },
        { name: "long after", at: 5_000, run: wait, expected: "usable canary held" },
        {
            name: "shifting",
            at: 6_000,
            run: putOrder("v2", 12, { phase: "shifting" }),
            expected: "forbidden usable held",
        },
        {
            name: "completed",
            at: 8_000,
            run: putOrder("v2", 13, { state: "completed" }),
            expected: "forbidden usable held",
        },
        { name: "order removed", at: 9_000, run: removeOrder, expected: "forbidden usable usable" },
        { name: "v1 gone", at: 9_500, run: setTargets("v2"), expected: "usable usable usable" },
        { name: "v1 again", at: 9_600, run: setTargets("v2", "v1"), expected: "held usable usable" },
    ],
    "an order that is rolled back, and a new one for the same version": [
        { name: "first list", at: 0, run: setTargets("v1", "v2"), expected: "usable held usable" },
        { name: "running", at: 200, run: putOrder("v2", 11, { phase: "shifting" }), expected: "forbidden usable held" },
        {
            name: "rolled back",
            at: 300,
            run: putOrder("v2", 12, { state: "rolledBack" }),
            expected: "usable forbidden held",
        },
        { name: "order removed", at: 400, run: removeOrder, expected: "usable forbidden usable" },
        { name: "long after", at: 9_000, run: wait, expected: "usable forbidden usable" },
        { name: "new order", at: 9_100, run: putOrder("v2", 20), expected: "usable canary usable" },
    ],
    "an order for the only version that is registered": [
        { name: "first list", at: 0, run: setTargets("v2"), expected: "usable usable usable" },
        { name: "order", at: 100, run: putOrder("v2", 10), expected: "usable usable usable" },
        { name: "v1 registers", at: 200, run: setTargets("v2", "v1"), expected: "usable canary usable" },
    ],
    "a running order that is removed": [
        { name: "first list", at: 0, run: setTargets("v1", "v2"), expected: "usable held usable" },
        { name: "running", at: 200, run: putOrder("v2", 11, { phase: "shifting" }), expected: "forbidden usable held" },
        { name: "order removed", at: 300, run: removeOrder, expected: "usable forbidden usable" },
    ],
    "a second order in the middle, which replaces the first one in place": [
        { name: "first list", at: 0, run: setTargets("v1", "v2", "v3"), expected: "usable held held" },
        { name: "running", at: 200, run: putOrder("v2", 11, { phase: "observing" }), expected: "usable canary held" },
        {
            name: "order for v3",
            at: 300,
            run: filter => filter.putOrder({ ...createOrder("v3", 12), status: createOrder("v2", 11, {}).status }),
            expected: "usable forbidden canary",
        },
        { name: "long after", at: 9_000, run: wait, expected: "usable forbidden canary" },
    ],
    "a router that starts after an order was replaced in place": [
        { name: "first list", at: 0, run: setTargets("v1", "v2", "v3"), expected: "usable held held" },
        {
            name: "order for v3",
            at: 10,
            run: filter =>
                filter.putOrder({
                    ...createOrder("v3", 12),
                    status: createOrder("v2", 11, { state: "rolledBack" }).status,
                }),
            expected: "usable forbidden canary",
        },
    ],
};

for (const [title, steps] of Object.entries(scenarios)) {
    test(title, () => {
        const filter = createVersionFilter({ getHoldMs: () => holdMs });
        const actual = steps.map(({ name, at, run }) => {
            run(filter, at);
            const uses = ["v1", "v2", "v3"].map(version => filter.getUse("orders", version, at));
            return `${name}: ${uses.join(" ")}`;
        });
        assert.snapshot(actual.join("\n"), steps.map(({ name, expected }) => `${name}: ${expected}`).join("\n"));
    });
}

// Guards against a forbidden version that becomes usable because the others are down.
test("a version that was rolled back stays forbidden while no other one has ready targets", () => {
    const filter = createVersionFilter({ getHoldMs: () => holdMs });
    filter.setTargets([createTarget("v1"), createTarget("v2")], 0);
    filter.putOrder(createOrder("v2", 12, { state: "rolledBack" }));
    filter.setTargets([createTarget("v1", { state: "leaving" }), createTarget("v2")], 100);
    assert.is(filter.getUse("orders", "v2", 100), "forbidden");
});

test.run();
