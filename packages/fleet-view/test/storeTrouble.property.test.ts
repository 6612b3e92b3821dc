/**
 * Guards against DRAIN, and against services without targets: under any order of silent connections, outages of the
 * store, removals and returns, a router uses no target for longer than allowed after its removal, and goes on using
 * live targets whose entries lapsed in an outage until they can have restored them. All times are on a fake clock.
 */
import type { TargetEntry } from "@rhubarbwheel/types/fleet";
import type { PlacementEvent } from "@rhubarbwheel/types/placement-events";
import type { StoreFailureCause } from "@rhubarbwheel/types/view-events";
import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createFleetView } from "../src/createFleetView.js";
import { followStore, maxBackoffMs } from "../src/followStore.js";
import type { StoreListResult, StoreWatchResult } from "../src/followStore.js";

const runCount = Number(process.env.RUNS ?? 200);

const endMs = 20_000;
const stepMs = 10;

/** Bounds of the sites. */
const drainMs = 2_000;
const stableWindowMs = 3_000;

/** An entry lapses after three heartbeats without a write, of which the first may have been due at once. */
const minLapseMs = 2_400;

/** Time after an outage within which a live target has restored its entry. */
const restoreMs = 1_900;

/**
 * Part of it that is guaranteed after an outage in which the store is silent, as its end may be noticed only after the
 * timeout and the backoff of a request.
 */
const silentRestoreMs = 1_200;

/** A shorter outage may fail only requests on kept connections, which says nothing of the store. */
const minSeenOutageMs = 1_600;

/** Request timeouts and connection lifetime of the store client. */
const listTimeoutMs = 1_000;
const watchMarginMs = 700;
const keepAliveMs = 4_000;

interface Outage {
    readonly startsAt: number;
    readonly endsAt: number;
    readonly isSilent: boolean;
}

interface Schedule {
    readonly outages: readonly Outage[];
    /** Times at which the open connections of the router go silent. */
    readonly silences: readonly number[];
    /** Time at which the target `gone` ends, and its entry is removed. */
    readonly removedAt: number;
    /** Time at which the target `lapsing` restores its entry after an outage. */
    readonly restoreDelayMs: number;
    readonly random: number;
}

const outageList = fc.array(
    fc.record({
        gapMs: fc.integer({ min: 100, max: 5_000 }),
        lengthMs: fc.integer({ min: 100, max: 6_000 }),
        isSilent: fc.boolean(),
    }),
    { maxLength: 3 },
).map(items => {
    let at = 1_000;
    return items.map(({ gapMs, lengthMs, isSilent }): Outage => {
        const startsAt = at + gapMs;
        at = startsAt + lengthMs;
        return { startsAt, endsAt: at, isSilent };
    });
});

const scheduleArbitrary = fc.record({
    outages: outageList,
    silences: fc.array(fc.integer({ min: 1_500, max: 15_000 }), { maxLength: 4 }),
    removedAt: fc.integer({ min: 1_500, max: 15_000 }),
    restoreDelayMs: fc.integer({ min: 0, max: restoreMs }),
    random: fc.integer({ min: 0, max: 99 }).map(percent => percent / 100),
});

function createTarget(target: string): TargetEntry {
    return {
        target,
        service: "orders",
        address: "10.0.0.1:80",
        failureDomain: "a",
        slots: 6,
        state: "ready",
        coldForMs: 0,
    };
}

/** Timers on a fake clock, which advances in steps once all promises that are due have been resolved. */
function createClock() {
    let now = 0;
    let timers: { at: number; run: () => void; }[] = [];
    const flush = (): Promise<void> => new Promise(resolve => setImmediate(resolve));
    return {
        getNow: () => now,
        sleep: (ms: number): Promise<void> => new Promise(run => timers.push({ at: now + ms, run })),
        advance: async (): Promise<void> => {
            now += stepMs;
            const due = timers.filter(({ at }) => at <= now);
            if (due.length === 0) return;
            timers = timers.filter(({ at }) => at > now);
            for (const { run } of due) run();
            await flush();
        },
    };
}

type Clock = ReturnType<typeof createClock>;

/** Entries of the store over time, as (time, name, whether it is present) in order of time. */
function listStoreChanges({ outages, removedAt, restoreDelayMs }: Schedule) {
    const changes = [{ at: removedAt, name: "gone", isPresent: false }];
    let hasLapsed = false;
    for (const [index, { startsAt, endsAt }] of outages.entries()) {
        if (!hasLapsed && endsAt - startsAt >= minLapseMs) {
            changes.push({ at: startsAt + minLapseMs, name: "lapsing", isPresent: false });
            hasLapsed = true;
        }
        const restoredAt = endsAt + restoreDelayMs;
        // In an outage, a target cannot restore its entry.
        if (!hasLapsed || restoredAt >= (outages[index + 1]?.startsAt ?? Infinity)) continue;
        changes.push({ at: restoredAt, name: "lapsing", isPresent: true });
        hasLapsed = false;
    }
    return changes.sort((left, right) => left.at - right.at);
}

/** Requests of one router to the store, with one kept connection. */
function createRouterRequests(schedule: Schedule, clock: Clock) {
    const changes = listStoreChanges(schedule);
    let connectedAt = -Infinity;
    let respondedAt = -Infinity;

    const findOutage = (at: number) => schedule.outages.find(outage => at >= outage.startsAt && at < outage.endsAt);
    const countRevision = (at: number): number => 1 + changes.filter(change => change.at <= at).length;

    const isLost = (sentAt: number, until: number): boolean =>
        schedule.silences.some(at => at >= connectedAt && at <= until)
        || schedule.outages.some(({ startsAt, endsAt }) => startsAt <= until && endsAt > sentAt);

    const fail = (sentAt: number, reason: string) => {
        const cause: StoreFailureCause = sentAt - respondedAt < keepAliveMs ? "connection" : "store";
        respondedAt = -Infinity;
        connectedAt = Infinity;
        return { type: "unavailable", cause, reason } as const;
    };

    /** Sends a request that the store answers at `respondAt`; undefined once it has responded. */
    const request = async (respondAt: number, timeoutMs: number) => {
        const sentAt = clock.getNow();
        if (sentAt - respondedAt >= keepAliveMs || connectedAt === Infinity) connectedAt = sentAt;
        if (findOutage(sentAt)?.isSilent === false) {
            await clock.sleep(stepMs);
            respondedAt = clock.getNow();
            return { type: "unavailable", cause: "store", reason: "status 503" } as const;
        }
        if (isLost(sentAt, respondAt)) {
            await clock.sleep(timeoutMs);
            return fail(sentAt, "the request timed out");
        }
        await clock.sleep(respondAt - sentAt);
        respondedAt = clock.getNow();
        return undefined;
    };

    const listPresent = (at: number): TargetEntry[] => {
        const present = new Set(["gone", "lapsing"]);
        for (const change of changes.filter(({ at: changedAt }) => changedAt <= at)) {
            if (change.isPresent) present.add(change.name);
            else present.delete(change.name);
        }
        return [...present].map(createTarget);
    };

    return {
        list: async (): Promise<StoreListResult<"targets">> => {
            const failed = await request(clock.getNow() + stepMs, listTimeoutMs);
            if (failed !== undefined) return failed;
            const now = clock.getNow();
            return { type: "listed", list: { entries: listPresent(now), era: 1, revision: countRevision(now) } };
        },
        watch: async (revision: number, waitMs: number): Promise<StoreWatchResult<"targets">> => {
            const sentAt = clock.getNow();
            const next = changes[revision - 1]?.at ?? Infinity;
            const respondAt = Math.min(Math.max(next, sentAt), sentAt + waitMs) + stepMs;
            const failed = await request(respondAt, waitMs + watchMarginMs);
            if (failed !== undefined) return failed;
            const newest = countRevision(clock.getNow());
            const newer = changes.slice(revision - 1, newest - 1);
            return {
                type: "changed",
                changes: newer.map(({ name, isPresent }) => ({
                    name,
                    entry: isPresent ? createTarget(name) : undefined,
                })),
                era: 1,
                revision: newest,
            };
        },
    };
}

/** Plays the schedule, and returns what was wrong, with its time. */
async function play(schedule: Schedule): Promise<string[]> {
    const clock = createClock();
    const view = createFleetView({
        getMaxCredentialAgeMs: () => Infinity,
        entryRestoreMs: 1_900,
        maxLapseMs: 2_900,
        getRegion: () => undefined,
    });
    const reduce = (event: PlacementEvent): void => void view.reduce(event);
    const follower = followStore<"targets">({
        ...createRouterRequests(schedule, clock),
        kind: "targets",
        watchTimeoutMs: 800,
        debounceMs: 100,
        emit: event => reduce({ ...event, now: clock.getNow() }),
        getNow: clock.getNow,
        sleep: clock.sleep,
        getMaxBackoffMs: () => maxBackoffMs,
        random: () => schedule.random,
    });
    const { outages, silences, removedAt } = schedule;
    const troubles = [...silences.map(at => ({ startsAt: at, endsAt: at })), ...outages];
    const isInTouch = (now: number): boolean =>
        troubles.every(({ startsAt, endsAt }) => startsAt > now || endsAt < now - stableWindowMs);
    const problems: string[] = [];
    while (clock.getNow() < endMs) {
        await clock.advance();
        const now = clock.getNow();
        if ((view.getWakeAt?.() ?? Infinity) <= now) reduce({ type: "wake", now });
        if (now > removedAt + drainMs && isInTouch(now) && view.isUsable("gone"))
            problems.push(`${now}: gone is still used`);
        const last = outages.findLast(({ startsAt }) => startsAt <= now);
        const graceMs = last?.isSilent === true ? silentRestoreMs : restoreMs;
        const isSeen = last !== undefined && last.endsAt - last.startsAt >= minSeenOutageMs;
        // Otherwise the router may not know yet that entries which lapsed before have been restored.
        const wasInTouch = last !== undefined && isInTouch(last.startsAt - 1);
        const isGranted = isSeen && wasInTouch && now < last.endsAt + graceMs;
        if (now > 500 && isGranted && !view.isUsable("lapsing"))
            problems.push(`${now}: lapsing is not used`);
    }
    follower.stop();
    return problems;
}

test("removed targets are not used for too long, and lapsed ones for long enough", async () => {
    await fc.assert(
        fc.asyncProperty(scheduleArbitrary, async schedule => {
            assert.equal((await play(schedule)).slice(0, 3), []);
        }),
        { seed: 31, numRuns: runCount },
    );
});

test.run();
