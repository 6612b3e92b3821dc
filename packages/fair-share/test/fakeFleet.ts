/** Runs routers and targets on a fake clock with seeded delays, loss, duplication, partitions, pauses and restarts. */
import type { Effect, EndRequestEffect, SendToTargetEffect } from "@rhubarbwheel/types/effects";
import type { NamedService, RequestSummary, RouterEvent } from "@rhubarbwheel/types/events";
import type { WorkspaceSpec } from "@rhubarbwheel/types/resources";
import type {
    ConfigurationQueries,
    Member,
    MembershipQueries,
    RouterIdentity,
    Slice,
} from "@rhubarbwheel/types/slices";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

export interface SliceOptions {
    readonly identity: RouterIdentity;
    readonly membership: MembershipQueries;
    readonly configuration: ConfigurationQueries;
}

export interface FleetOptions<R extends readonly Slice[]> {
    readonly seed: number;
    readonly routers: number;
    readonly service: NamedService;
    readonly workspaces: Readonly<Record<string, WorkspaceSpec>>;
    readonly createSlices: (opts: SliceOptions) => R;
    readonly lossPercent?: number;
    readonly duplicatePercent?: number;
    /** Time until membership notices that a router has gone or is out of reach. */
    readonly detectMs?: number;
}

interface FakeRouter<R> {
    member: Member;
    slices: R;
    alive: boolean;
    pausedUntil: number;
    side: number;
    changedAt: number;
}
interface Attempt {
    effect: SendToTargetEffect;
    router: string;
    incarnation: number;
    startedAt: number;
    durationMs: number;
    cost: number;
}
interface FakeTarget {
    startId: number;
    up: boolean;
    running: Map<string, Attempt>;
    capacity: number;
    completed: number;
    areaMs: number;
    since: number;
}

/** Cost units that a target produces per millisecond for each running request. */
export const costPerMs = 1;
const delayMs = 1;

export function createFakeFleet<R extends readonly Slice[]>(opts: FleetOptions<R>) {
    const { service, detectMs = 2000 } = opts;
    const random = xoroshiro128plus(opts.seed);
    const chance = (percent = 0) => percent > 0 && uniformInt(random, 1, 100) <= percent;
    const agenda = new Map<number, (() => void)[]>();
    const routers = new Map<string, FakeRouter<R>>();
    const targets = new Map<string, FakeTarget>();
    const leases = new Map<string, { holder: string; until: number; }>();
    const requests = new Map<string, { cost: number; request: RequestSummary; }>();
    const state = { now: 0, storeUp: true, overshoot: 0, dispatched: 0, sent: 0, lastId: 0 };
    const ended: EndRequestEffect[] = [];
    const log: string[] = [];
    const served = new Map<string, number>();
    const closed = new Set<string>();
    let freshness: "fresh" | "stale" = "fresh";

    const at = (time: number, run: () => void) => {
        const due = Math.max(state.now, Math.round(time));
        const list = agenda.get(due);
        if (list === undefined) agenda.set(due, [run]);
        else list.push(run);
    };
    const sees = (from: FakeRouter<R>, to: FakeRouter<R>) =>
        (to.alive && from.side === to.side) || state.now - Math.max(from.changedAt, to.changedAt) < detectMs;
    const listSeen = (from: FakeRouter<R>) =>
        [...routers.values()].filter(to => to === from || sees(from, to)).map(to => to.member);
    const rank = (pool: string, router: string) =>
        [...`${pool}/${router}`].reduce((sum, c) => (sum * 31 + c.charCodeAt(0)) % 65_521, 7);
    const createMembership = (self: () => FakeRouter<R>): MembershipQueries => ({
        listRoutable: () => listSeen(self()),
        getMember: name => routers.get(name)?.member,
        countListed: () => routers.size,
        countListedAlive: () => listSeen(self()).length,
        findCoordinator: pool => listSeen(self()).reduce((a, b) => rank(pool, b.router) > rank(pool, a.router) ? b : a),
    });
    const configuration: ConfigurationQueries = {
        listServices: () => [service],
        getService: name => name === service.name ? service : undefined,
        getWorkspace: name => opts.workspaces[name],
        getFailureDomain: () => ({ state: "in" }),
        isTargetOpen: (_, target) => !closed.has(target),
        getFreshness: () => freshness,
        getDigest: () => ({ revision: 1, storeUnreachable: !state.storeUp }),
    };

    const deliver = (name: string, event: RouterEvent, incarnation?: number): void => {
        const router = routers.get(name);
        if (!router?.alive || (incarnation !== undefined && incarnation !== router.member.incarnation)) return;
        if (router.pausedUntil > state.now) {
            at(router.pausedUntil, () => deliver(name, { ...event, now: state.now }, router.member.incarnation));
            return;
        }
        const events: RouterEvent[] = [{ ...event, now: state.now }];
        for (let next = events.shift(); next !== undefined; next = events.shift()) {
            for (const slice of router.slices) {
                for (const effect of slice.reduce(next)) {
                    if (effect.type === "raise") events.push(effect.event);
                    else runEffect(router, effect);
                }
            }
        }
    };
    const sendMessage = (from: FakeRouter<R>, effect: Effect & { type: "sendToPeer"; }) => {
        const arrive = () =>
            deliver(effect.router, { type: "peerMessage", now: 0, from: from.member.router, message: effect.message });
        if (effect.router === from.member.router) return at(state.now, arrive);
        state.sent += 1;
        if (routers.get(effect.router)?.side !== from.side || chance(opts.lossPercent)) return;
        at(state.now + delayMs + uniformInt(random, 0, 1), arrive);
        if (chance(opts.duplicatePercent)) at(state.now + delayMs + uniformInt(random, 0, 300), arrive);
    };
    const setRunning = (target: FakeTarget, change: () => void) => {
        target.areaMs += target.running.size * (state.now - target.since);
        target.since = state.now;
        change();
        state.overshoot = Math.max(state.overshoot, target.running.size - target.capacity);
    };
    const endAttempt = (attempt: Attempt, result: "complete" | "refused" | "broken", sent: boolean) => {
        const { requestId, attempt: number, target: name } = attempt.effect;
        const target = targets.get(name);
        const cost = sent ? Math.min(attempt.cost, (state.now - attempt.startedAt) * costPerMs) : 0;
        const workspace = requests.get(requestId)?.request.workspace ?? "";
        if (target !== undefined && target.running.get(requestId) === attempt) {
            setRunning(target, () => target.running.delete(requestId));
            served.set(workspace, (served.get(workspace) ?? 0) + cost);
            if (result === "complete") target.completed += 1;
            if (target.completed >= target.capacity)
                [target.completed, target.capacity] = [0, Math.min(target.capacity * 2, service.spec.targetLimit)];
        }
        const startId = result === "refused" ? {} : { startId: `s${target?.startId}` };
        at(
            state.now + delayMs,
            () =>
                deliver(attempt.router, {
                    type: "targetEnded",
                    now: 0,
                    requestId,
                    attempt: number,
                    target: name,
                    result,
                    sent,
                    answered: false,
                    cost,
                    ...startId,
                }, attempt.incarnation),
        );
    };
    const startAttempt = (router: FakeRouter<R>, effect: SendToTargetEffect) => {
        const target = targets.get(effect.target);
        const cost = requests.get(effect.requestId)?.cost ?? 1;
        const attempt: Attempt = {
            effect,
            router: router.member.router,
            incarnation: router.member.incarnation,
            startedAt: state.now,
            durationMs: cost / costPerMs,
            cost,
        };
        if (!target?.up) return endAttempt(attempt, "refused", false);
        state.dispatched += 1;
        setRunning(target, () => target.running.set(effect.requestId, attempt));
        at(state.now + attempt.durationMs, () => {
            if (target.running.get(effect.requestId) === attempt) endAttempt(attempt, "complete", true);
        });
    };
    const answerLease = (router: FakeRouter<R>, lease: string, durationMs: number) => {
        const held = leases.get(lease);
        const sentAt = state.now;
        const taken = held !== undefined && held.holder !== router.member.router && held.until > state.now;
        if (state.storeUp && !taken) leases.set(lease, { holder: router.member.router, until: state.now + durationMs });
        const result = !state.storeUp ? "unavailable" as const : taken ? "taken" as const : "held" as const;
        at(
            state.now + 2,
            () =>
                deliver(router.member.router, {
                    type: "leaseAnswered",
                    now: 0,
                    lease,
                    result,
                    validUntil: sentAt + durationMs,
                    fencingNumber: 1,
                }),
        );
    };
    const answerPoll = (router: FakeRouter<R>, name: string) => {
        const target = targets.get(name);
        if (target === undefined) return;
        const report = {
            target: name,
            startId: `s${target.startId}`,
            running: target.running.size,
            queued: 0,
            ageMs: delayMs,
        };
        at(
            state.now + delayMs,
            () =>
                deliver(
                    router.member.router,
                    target.up
                        ? { type: "loadReported", now: 0, service: service.name, report }
                        : { type: "loadUnavailable", now: 0, service: service.name, target: name, refused: true },
                ),
        );
    };
    const runEffect = (router: FakeRouter<R>, effect: Effect): void => {
        if (effect.type === "sendToPeer") sendMessage(router, effect);
        else if (effect.type === "sendToTarget") at(state.now + delayMs, () => startAttempt(router, effect));
        else if (effect.type === "pollLoad") at(state.now + delayMs, () => answerPoll(router, effect.target));
        else if (effect.type === "acquireLease") answerLease(router, effect.lease, effect.durationMs);
        else if (effect.type === "releaseLease") leases.delete(effect.lease);
        else if (effect.type === "endRequest") ended.push(effect);
        else if (effect.type === "log")
            log.push(`${state.now} ${router.member.router} ${effect.event} ${JSON.stringify(effect.fields)}`);
        else if (effect.type === "cancelAtTarget") {
            for (const target of targets.values()) {
                const attempt = target.running.get(effect.requestId);
                if (attempt !== undefined) endAttempt(attempt, "broken", true);
            }
        }
    };
    const raiseMembership = (about: FakeRouter<R>) => {
        for (const router of routers.values()) {
            const memberState = router.side === about.side && about.alive ? "alive" : "dead";
            if (router !== about) {
                deliver(router.member.router, {
                    type: "membershipChanged",
                    now: 0,
                    router: about.member.router,
                    state: memberState,
                    incarnation: about.member.incarnation,
                });
            }
        }
    };
    const change = (name: string, apply: (router: FakeRouter<R>) => void) => {
        const router = routers.get(name);
        if (router === undefined) return;
        apply(router);
        router.changedAt = state.now;
        at(state.now + detectMs, () => raiseMembership(router));
    };
    const start = (name: string, failureDomain: string) => {
        const member: Member = {
            router: name,
            incarnation: state.now + 1,
            state: "alive",
            address: `${name}:1`,
            failureDomain,
        };
        const router: FakeRouter<R> = {
            member,
            slices: [] as unknown as R,
            alive: true,
            pausedUntil: 0,
            side: 0,
            changedAt: -detectMs,
        };
        routers.set(name, router);
        router.slices = opts.createSlices({
            identity: member,
            membership: createMembership(() => router),
            configuration,
        });
        const tick = () => {
            if (routers.get(name) !== router) return;
            deliver(name, { type: "tick", now: 0 });
            at(state.now + 100, tick);
        };
        at(state.now + uniformInt(random, 1, 100), tick);
    };
    for (let index = 0; index < opts.routers; index += 1) start(`r${index}`, `fd${index % 4}`);
    for (const target of service.spec.targets) {
        targets.set(target.name, {
            startId: 1,
            up: true,
            running: new Map(),
            capacity: service.spec.coldLimit,
            completed: 0,
            areaMs: 0,
            since: 0,
        });
    }

    return {
        state,
        ended,
        log,
        targets,
        leases,
        closed,
        configuration,
        getSlices: (name: string) => routers.get(name)?.slices as R,
        findCoordinator: () =>
            createMembership(() => [...routers.values()].find(router => router.alive) as FakeRouter<R>).findCoordinator(
                service.name,
            ).router,
        setFreshness: (value: "fresh" | "stale") => {
            freshness = value;
            for (const name of routers.keys()) deliver(name, { type: "freshnessChanged", now: 0, freshness: value });
        },
        send: (name: string, event: RouterEvent) => deliver(name, event),
        submit: (router: string, workspace: string, cost: number, extra: Partial<RequestSummary> = {}) => {
            const id = extra.id ?? `q${state.lastId += 1}`;
            const request: RequestSummary = {
                id,
                workspace,
                service: service.name,
                idempotent: true,
                inputCost: 0,
                ...extra,
            };
            requests.set(id, { cost, request });
            deliver(router, { type: "requestArrived", now: 0, request });
            return id;
        },
        kill: (name: string) => {
            for (const target of targets.values()) {
                for (const attempt of [...target.running.values()])
                    if (attempt.router === name) endAttempt(attempt, "broken", true);
            }
            change(name, router => (router.alive = false));
        },
        restart: (name: string) => start(name, routers.get(name)?.member.failureDomain ?? "fd0"),
        pause: (name: string, durationMs: number) =>
            change(name, router => (router.pausedUntil = state.now + durationMs)),
        setSide: (names: readonly string[], side: number) =>
            names.forEach(name => change(name, router => (router.side = side))),
        restartTarget: (name: string, up = true) => {
            const target = targets.get(name);
            if (target === undefined) return;
            for (const attempt of [...target.running.values()]) endAttempt(attempt, "broken", true);
            Object.assign(target, { startId: target.startId + 1, up, capacity: service.spec.coldLimit, completed: 0 });
        },
        run: (untilMs: number, onStep?: () => void) => {
            for (; state.now < untilMs; state.now += 1) {
                for (let list = agenda.get(state.now); list !== undefined; list = agenda.get(state.now)) {
                    agenda.delete(state.now);
                    for (const task of list) task();
                }
                onStep?.();
            }
        },
        measureService: (workspace: string) => {
            let cost = served.get(workspace) ?? 0;
            for (const target of targets.values()) {
                for (const attempt of target.running.values()) {
                    if (requests.get(attempt.effect.requestId)?.request.workspace === workspace)
                        cost += Math.min(attempt.cost, (state.now - attempt.startedAt) * costPerMs);
                }
            }
            return cost;
        },
        measureBusyMs: () =>
            [...targets.values()].reduce(
                (sum, target) => sum + target.areaMs + target.running.size * (state.now - target.since),
                0,
            ),
    };
}
