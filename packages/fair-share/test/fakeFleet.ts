/** Routers and a lease store on a fake clock, with seeded delays, loss, duplication, partitions, pauses, restarts. */
import type { Effect } from "@rhubarbwheel/types/effects";
import type { NamedService, RequestSummary, RouterEvent } from "@rhubarbwheel/types/events";
import type { WorkspaceSpec } from "@rhubarbwheel/types/resources";
import type { Member, RouterIdentity, Slice } from "@rhubarbwheel/types/slices";
import { createFakeClock } from "./fakeClock.js";
import { createFakeQueries, type FakeRouter, type Queries } from "./fakeQueries.js";
import { createFakeStore } from "./fakeStore.js";
import { createFakeTargets, oneWayMs } from "./fakeTargets.js";

export interface SliceOptions extends Queries {
    readonly identity: RouterIdentity;
}

export interface FleetOptions<R extends readonly Slice[]> {
    readonly seed: number;
    readonly routers: number;
    readonly service: NamedService;
    readonly workspaces: Readonly<Record<string, WorkspaceSpec>>;
    readonly createSlices: (opts: SliceOptions) => R;
    readonly lossPercent?: number;
    readonly duplicatePercent?: number;
    /** Time until membership detects that a router has failed or is unreachable. */
    readonly detectionMs?: number;
}

export function createFakeFleet<R extends readonly Slice[]>(opts: FleetOptions<R>) {
    const { service, detectionMs = 2000, lossPercent = 0, duplicatePercent = 0 } = opts;
    const clock = createFakeClock(opts.seed);
    const targets = createFakeTargets(clock, service);
    const routers = new Map<string, FakeRouter<R>>();
    const store = createFakeStore();
    const closed = new Set<string>();
    const owners = new Map<string, FakeRouter<R>>();
    const effects: Effect[] = [];
    const state = { messages: 0, lastId: 0, freshness: "fresh" as "fresh" | "stale" };

    const queries = createFakeQueries({
        routers,
        clock,
        service,
        workspaces: opts.workspaces,
        closed,
        state,
        detectionMs,
    });
    const deliver = (router: FakeRouter<R>, event: RouterEvent): void => {
        const now = clock.getNow();
        if (!router.alive) return;
        if (router.pausedUntil > now) return clock.add(router.pausedUntil, () => deliver(router, event));
        const events: RouterEvent[] = [{ ...event, now }];
        for (let next = events.shift(); next !== undefined; next = events.shift()) {
            for (const slice of router.slices) {
                for (const effect of slice.reduce(next)) {
                    effects.push(effect);
                    if (effect.type === "raise") events.push(effect.event);
                    else runEffect(router, effect);
                }
            }
        }
    };
    const sendMessage = (from: FakeRouter<R>, { router, message }: Effect & { type: "sendToPeer"; }) => {
        const now = clock.getNow();
        const to = routers.get(router);
        const receive = () => to && deliver(to, { type: "peerMessage", now, from: from.member.router, message });
        if (to === from) return clock.add(now, receive);
        state.messages += 1;
        if (to?.partition !== from.partition || clock.randomBoolean(lossPercent)) return;
        clock.add(now + clock.randomInt(oneWayMs, oneWayMs + 1), receive);
        if (clock.randomBoolean(duplicatePercent)) clock.add(now + clock.randomInt(oneWayMs, 300), receive);
    };
    const runEffect = (router: FakeRouter<R>, effect: Effect): void => {
        const runAfterDelay = (run: () => void) => clock.add(clock.getNow() + oneWayMs, run);
        if (effect.type === "sendToPeer") sendMessage(router, effect);
        else if (effect.type === "sendToTarget") {
            // The request of a failed router reaches the target together with the end of its connection.
            runAfterDelay(() => router.alive && targets.startAttempt(effect, event => deliver(router, event)));
        }
        else if (effect.type === "pollLoad") {
            runAfterDelay(() => {
                const result = targets.samplePoll(effect.target);
                runAfterDelay(() => deliver(router, result));
            });
        }
        else if (effect.type === "acquireLease") {
            const result = store.acquire(effect.lease, router.member.router, clock.getNow(), effect.durationMs);
            runAfterDelay(() => deliver(router, result));
        }
        else if (effect.type === "releaseLease") store.release(effect.lease, router.member.router);
        else if (effect.type === "cancelAtTarget")
            targets.abortAttempts(({ effect: { requestId } }) => requestId === effect.requestId);
    };
    const sendMembershipChange = (changed: FakeRouter<R>) => {
        if (routers.get(changed.member.router) !== changed) return;
        const common = { type: "membershipChanged" as const, now: 0, router: changed.member.router, incarnation: 1 };
        for (const router of routers.values())
            deliver(router, { ...common, state: queries.isReachable(router, changed) ? "alive" : "dead" });
    };
    const update = (name: string, changed: Partial<FakeRouter<R>>) => {
        const router = routers.get(name) as FakeRouter<R>;
        Object.assign(router, changed, { reachabilityChangedAt: clock.getNow() });
        clock.add(clock.getNow() + detectionMs, () => sendMembershipChange(router));
        if (router.pausedUntil > clock.getNow()) clock.add(router.pausedUntil, () => sendMembershipChange(router));
    };
    const start = (name: string, failureDomain: string) => {
        const incarnation = clock.getNow() + 1;
        const member: Member = { router: name, incarnation, state: "alive", address: `${name}:1`, failureDomain };
        const status = { alive: true, pausedUntil: 0, partition: 0, reachabilityChangedAt: -detectionMs };
        const router: FakeRouter<R> = { member, slices: [] as unknown as R, ...status };
        routers.set(name, router);
        router.slices = opts.createSlices({ identity: member, ...queries.createQueries(name) });
        const tick = () => {
            if (routers.get(name) !== router || !router.alive) return;
            deliver(router, { type: "tick", now: 0 });
            clock.add(Math.max(router.pausedUntil, clock.getNow() + 100), tick);
        };
        clock.add(clock.getNow() + clock.randomInt(1, 100), tick);
    };
    const kill = (name: string) => {
        const router = routers.get(name) as FakeRouter<R>;
        targets.abortAttempts(attempt => attempt.effect.requestId.startsWith(`${name}-`));
        update(name, { alive: false });
        return router;
    };
    for (let index = 0; index < opts.routers; index += 1) start(`r${index}`, `fd${index % 4}`);
    return {
        ...targets,
        state: Object.assign(state, { targets: targets.state }),
        effects,
        store,
        closed,
        kill,
        getSlices: (name: string) => (routers.get(name) as FakeRouter<R>).slices,
        isAlive: (name: string) => routers.get(name)?.alive === true,
        /** Whether the router process that received the request is still running. */
        isSameProcess: (id: string) => {
            const owner = owners.get(id);
            return owner?.alive === true && routers.get(owner.member.router) === owner;
        },
        send: (name: string, event: RouterEvent) => deliver(routers.get(name) as FakeRouter<R>, event),
        submit: (name: string, workspace: string, cost: number, extra: Partial<RequestSummary> = {}) => {
            const id = `${name}-${state.lastId += 1}`;
            const request = { id, workspace, service: service.name, idempotent: true, inputCost: 0, ...extra };
            targets.requests.set(id, { cost, request });
            owners.set(id, routers.get(name) as FakeRouter<R>);
            deliver(routers.get(name) as FakeRouter<R>, { type: "requestArrived", now: 0, request });
            return id;
        },
        restart: (name: string) => start(name, kill(name).member.failureDomain),
        pause: (name: string, durationMs: number) => update(name, { pausedUntil: clock.getNow() + durationMs }),
        setPartition: (names: readonly string[], partition: number) =>
            names.forEach(name => update(name, { partition })),
        getNow: clock.getNow,
        run: (until: number, onStep?: () => void) =>
            clock.run(until, () => {
                targets.sample();
                onStep?.();
            }),
    };
}
