/** Entry routers during a rollout whose coordinator has another view of the order. */
import type { PlacementEffect } from "@rhubarbwheel/types/placement-events";
import type { RolloutEntry, RolloutPhase } from "@rhubarbwheel/types/rollout";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createEntryHarness, createRoutedRequest, findAttempt } from "./entryHarness.js";
import { createRouterEntries, createTargets, plainPool } from "./placementFixtures.js";

function createOrder(phase: RolloutPhase): RolloutEntry {
    return {
        service: "orders",
        targetVersion: "v2",
        durationMs: 12_000,
        createdRevision: 1,
        era: 1,
        revision: 2,
        status: { state: "running", phase, targetVersion: "v2", replacedVersions: ["v1"], startedAtUnixMs: 1 },
    };
}

/** Routes a request, and replies with `target` as the coordinator would. */
function runPlacement(phase: RolloutPhase | undefined, target: string) {
    const [old] = createTargets(1, { service: "orders", version: "v1" });
    const harness = createEntryHarness({
        pool: plainPool,
        targets: [old!, { ...old!, target: "new-target", version: "v2" }],
        routers: createRouterEntries(2),
        router: "r9",
        ...(phase === undefined ? {} : { orders: [createOrder(phase)] }),
    });
    const request = createRoutedRequest();
    const coordinator = harness.findCoordinator("orders", 0);
    const asked = harness.route(request, 10);
    const { requestId, service } = request;
    const message = { type: "placementReply", requestId, service, target } as const;
    const { router: from, address } = coordinator;
    return { asked, replied: harness.reduce({ type: "routerMessage", from, address, message, now: 20 }) };
}

function findRoute(effects: readonly PlacementEffect[]): string | undefined {
    const message = effects.find(effect => effect.type === "sendToRouter")?.message;
    return message?.type === "placementAsk" ? message.request.route : undefined;
}

// Guards against calls at a version that this router knows not to be allowed, and against calls that are refused because
// the coordinator chooses only such targets.
const cases = [
    { phase: "observing", choice: "target-1", expected: "target-1" },
    { phase: "observing", choice: "new-target", expected: "new-target" },
    { phase: "shifting", choice: "new-target", expected: "new-target" },
    { phase: "shifting", choice: "target-1", expected: "new-target" },
] as const;
for (const { phase, choice, expected } of cases) {
    test(`while ${phase}, a router that is told to use ${choice} uses ${expected}`, () => {
        assert.is(findAttempt(runPlacement(phase, choice).replied).target, expected);
    });
}

test("the route is sent only while an order is running", () => {
    assert.is(findRoute(runPlacement("observing", "target-1").asked), "route");
    assert.is(findRoute(runPlacement(undefined, "target-1").asked), undefined);
});

test.run();
