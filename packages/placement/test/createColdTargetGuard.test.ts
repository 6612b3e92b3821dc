/** Load: a target gets more requests than it bears cold, and becomes cold while the store cannot say so. */
import type { TargetEntry } from "@rhubarbwheel/types/fleet";
import type { PlacementEffect } from "@rhubarbwheel/types/placement-events";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createColdTargetGuard } from "../src/createColdTargetGuard.js";
import { createRouterEntries, createTargets, enginePool } from "./placementFixtures.js";
import { createViewFixture } from "./viewFixture.js";

const coldRequestsPerSecond = 16;

/** As the users' settings compute it. */
const coldLimit = coldRequestsPerSecond * 1.5 + 5;

const [target] = createTargets(1, { startedAtUnixMs: 1 }) as [TargetEntry];

function createHarness(more: { readonly healthPath?: string; } = { healthPath: "/health" }) {
    const { view, loadAll } = createViewFixture({
        pool: { ...enginePool, coldRequestsPerSecond, ...more },
        targets: [target],
        routers: createRouterEntries(3),
    });
    loadAll(view.reduce);
    const guard = createColdTargetGuard({ router: "r1", view, computeColdLimit: () => coldLimit });
    return { view, guard };
}

function countReads(effects: readonly PlacementEffect[]): number {
    return effects.filter(({ type }) => type === "readTargetHealth").length;
}

/** Sends at a steady rate for `durationMs`; the target becomes cold at `coldAt`, and its health is read `readMs` later. */
function playSends(opts: { readonly perSecond: number; readonly coldAt: number; readonly durationMs: number; }) {
    const { view, guard } = createHarness();
    const readMs = 10;
    const coldSends: number[] = [];
    const responses: { readonly at: number; readonly coldForMs: number; }[] = [];
    let reads = 0;
    for (let now = 0; now < opts.durationMs; now += 1_000 / opts.perSecond) {
        while (responses[0] !== undefined && responses[0].at <= now) {
            const { at, coldForMs } = responses.shift()!;
            const event = {
                type: "targetHealthRead",
                service: target.service,
                target: target.target,
                coldForMs,
                now: at,
            };
            view.reduce(event as never);
            guard.handleHealthRead(event as never);
        }
        if (!guard.maySendTo(target, now)) continue;
        const effects = guard.recordSend(target, now);
        reads += countReads(effects);
        if (countReads(effects) > 0)
            responses.push({ at: now + readMs, coldForMs: now >= opts.coldAt ? 3_000 - (now - opts.coldAt) : 0 });
        if (now >= opts.coldAt) coldSends.push(now);
    }
    const busiest = Math.max(0, ...coldSends.map(end => coldSends.filter(at => at > end - 1_000 && at <= end).length));
    return { busiest, reads };
}

// Guards against FAILBACK: a target that became cold in an outage of the store got 49 calls in a second, 29 are allowed.
for (const perSecond of [40, 100, 300]) {
    test(`a target that gets ${perSecond} requests per second and becomes cold gets no more than it bears`, () => {
        for (let coldAt = 2_000; coldAt < 2_200; coldAt += 13) {
            const { busiest } = playSends({ perSecond, coldAt, durationMs: 4_500 });
            assert.ok(busiest <= coldLimit, `${busiest} in a second, cold from ${coldAt} ms`);
        }
    });
}

// Guards against health checks that take time from targets without need.
test("a target is not asked while it gets no more requests than it bears cold, or if no path is known", () => {
    assert.is(playSends({ perSecond: coldLimit - 4, coldAt: Infinity, durationMs: 5_000 }).reads, 0);
    const { guard } = createHarness({});
    for (let now = 0; now < 1_000; now += 5) assert.is(countReads(guard.recordSend(target, now)), 0);
});

test("a busy target is asked several times within the time in which it gets what it bears cold, and not more often", () => {
    const { reads } = playSends({ perSecond: 100, coldAt: Infinity, durationMs: 10_000 });
    assert.ok(reads > 80 && reads < 120, `${reads} reads in 10 s`);
});

test("all other routers are told of a cold target; one that is not cold is not announced", () => {
    const { guard } = createHarness();
    const read = (coldForMs: number) =>
        guard.handleHealthRead({
            type: "targetHealthRead",
            service: target.service,
            target: target.target,
            coldForMs,
            now: 0,
        });
    assert.equal(read(0), []);
    const messages = read(1_500).flatMap(effect => effect.type === "sendToRouter" ? [effect] : []);
    assert.equal(messages.map(({ router }) => router), ["r2", "r3"]);
    assert.equal(messages[0]?.message, {
        type: "coldNotice",
        target: target.target,
        startedAtUnixMs: 1,
        coldForMs: 1_500,
    });
});

// Guards against a cold start that is taken for that of a target that has started again since.
test("a router that is told of a cold target limits it, but not a later start of it", () => {
    const { view } = createHarness();
    const tell = (startedAtUnixMs: number) =>
        view.reduce({
            type: "routerMessage",
            from: "r2",
            address: "10.0.0.2:7400",
            message: { type: "coldNotice", target: target.target, startedAtUnixMs, coldForMs: 1_000 },
            now: 100,
        });
    tell(2);
    assert.is(view.getColdRemainingMs(target.target, 100), 0);
    tell(1);
    assert.is(view.getColdRemainingMs(target.target, 600), 500);
    const entries = [{ ...target, startedAtUnixMs: 2 }];
    view.reduce({ type: "viewListed", kind: "targets", entries, era: 1, revision: 2, confirmedAt: 650, now: 650 });
    assert.is(view.getColdRemainingMs(target.target, 650), 0);
});

test.run();
