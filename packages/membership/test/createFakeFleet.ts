/** Simulated routers on one fake clock, with fault injection and a fake store. All behaviour follows from the seed. */
import type { Effect } from "@rhubarbwheel/types/effects";
import type { RouterEvent } from "@rhubarbwheel/types/events";
import type { Resource, ResourceKind } from "@rhubarbwheel/types/resources";
import type { RouterIdentity, Slice } from "@rhubarbwheel/types/slices";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

import { createFakeStore, type StoreMode } from "./createFakeStore.js";

/** An event without `now`, which is added from the clock of the receiving router. */
export type UntimedEvent = { readonly type: RouterEvent["type"]; } & Readonly<Record<string, unknown>>;

/** Injected faults; tests change these fields while the fleet runs. */
export interface Faults {
    loss: number;
    duplication: number;
    maxDelayMs: number;
    isLinkDown: (from: string, to: string) => boolean;
    getStoreMode: (router: string) => StoreMode;
}

export interface FakeRouter<S> {
    readonly identity: RouterIdentity;
    readonly slices: S;
    readonly clockOffset: number;
    readonly raised: RouterEvent[];
    up: boolean;
    pausedUntil: number;
    sent: number;
}

export interface FakeFleetOptions<S> {
    readonly createSlices: (identity: RouterIdentity, seeds: readonly RouterIdentity[], random: () => number) => S;
    readonly list: (slices: S) => readonly Slice[];
}

export function createFakeFleet<S>(seed: number, count: number, domains: number, opts: FakeFleetOptions<S>) {
    const generator = xoroshiro128plus(seed);
    const random = () => uniformFloat64(generator);
    const faults: Faults = {
        loss: 0,
        duplication: 0,
        maxDelayMs: 5,
        isLinkDown: () => false,
        getStoreMode: () => "up",
    };
    const scheduledActions = new Map<number, (() => void)[]>();
    const routers = new Map<string, FakeRouter<S>>();
    let time = 0;
    const identities = Array.from({ length: count }, (_, index): RouterIdentity => {
        const failureDomain = `domain-${index % domains}`;
        return { router: `router-${index}`, incarnation: 0, address: `127.0.0.1:${index}`, failureDomain };
    });
    const store = createFakeStore(
        identities.map(({ router, address, failureDomain }) => (
            { name: router, role: "router", address, failureDomain, state: "live" }
        )),
        () => time,
    );

    const schedule = (delayMs: number, action: () => void) => {
        const at = time + Math.max(1, Math.round(delayMs));
        scheduledActions.set(at, [...scheduledActions.get(at) ?? [], action]);
    };

    const deliver = ({ router: name, incarnation }: RouterIdentity, untimedEvent: UntimedEvent): void => {
        const router = routers.get(name);
        if (router?.up !== true || router.identity.incarnation !== incarnation) return;
        if (router.pausedUntil > time)
            return schedule(router.pausedUntil - time, () => deliver(router.identity, untimedEvent));
        const pending = [{ ...untimedEvent, now: time + router.clockOffset } as unknown as RouterEvent];
        for (let event = pending.shift(); event !== undefined; event = pending.shift()) {
            for (const effect of opts.list(router.slices).flatMap(slice => slice.reduce(event as RouterEvent))) {
                if (effect.type === "raise") pending.push(effect.event);
                run(router, effect);
            }
        }
    };

    const deliverMessage = (
        router: FakeRouter<S>,
        { router: name, address, message }: Effect & { type: "sendToPeer"; },
    ) => {
        router.sent += 1;
        const from = router.identity;
        const to = routers.get(name);
        const isReachable = to?.up === true && to.identity.address === address && !faults.isLinkDown(from.router, name);
        if (to === undefined || !isReachable) {
            if (random() < 0.5) schedule(5, () => deliver(from, { type: "peerUnreachable", router: name }));
            return;
        }
        const event = { type: "peerMessage", from: from.router, message: structuredClone(message) } as const;
        for (let copy = random() < faults.duplication ? 2 : 1; copy > 0; copy--)
            if (random() >= faults.loss) schedule(random() * faults.maxDelayMs, () => deliver(to.identity, event));
    };

    const run = (router: FakeRouter<S>, effect: Effect) => {
        if (effect.type === "sendToPeer") return deliverMessage(router, effect);
        if (effect.type === "raise") router.raised.push(effect.event);
        const mode = faults.getStoreMode(router.identity.router);
        const respond = (delayMs: number, event: UntimedEvent) =>
            schedule(delayMs, () => deliver(router.identity, event));
        store.handleRequest({ effect, mode, requestSentAt: time + router.clockOffset, respond });
    };

    const advanceOneMs = () => {
        time += 1;
        for (const action of scheduledActions.get(time) ?? []) action();
        scheduledActions.delete(time);
        store.expire();
        for (const { identity, clockOffset } of routers.values())
            if ((time + clockOffset) % 100 === 0) deliver(identity, { type: "tick" });
    };

    /** Starts a router, or restarts it with empty state. */
    const start = (name: string) => {
        const base = identities.find(entry => entry.router === name) as RouterIdentity;
        const identity = { ...base, incarnation: time + 1 };
        const state = { clockOffset: Math.floor(random() * 1e6), raised: [], up: true, pausedUntil: 0, sent: 0 };
        routers.set(name, { identity, slices: opts.createSlices(identity, identities.slice(0, 3), random), ...state });
    };
    identities.forEach(identity => start(identity.router));

    /** Changes a resource in the store; `by` is the router that made the write and is notified of its acceptance. */
    const accept = (kind: ResourceKind, name: string, spec: object, by?: FakeRouter<S>): Resource => {
        const resource = store.accept(kind, name, spec);
        const { revision } = resource;
        const range = { fromRevision: revision - 1, revision, resources: [resource], ownWrite: true };
        const requestSentAt = time + (by?.clockOffset ?? 0);
        if (by !== undefined) deliver(by.identity, { type: "configurationChanged", ...range, requestSentAt });
        return resource;
    };

    const advance = (durationMs: number) => {
        for (let elapsed = 0; elapsed < durationMs; elapsed++) advanceOneMs();
    };
    return { routers, store, faults, random, start, accept, deliver, advance, getTime: () => time };
}
