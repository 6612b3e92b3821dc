/**
 * Slice that decides from which routers this one takes the contents of the store, so that the store's load does not
 * grow with the fleet. The routers of a failure domain are ranked by rendezvous hashing; the first two that respond
 * watch the store, and the others follow both. A router whose relays are silent, or no longer confirmed by the store,
 * watches for itself, each kind of entries that no relay confirms.
 */
import { rankByRendezvous } from "@rhubarbwheel/membership/chooseByRendezvous";
import type { RouterEntry, ViewKind } from "@rhubarbwheel/types/fleet";
import { viewKinds } from "@rhubarbwheel/types/fleet";
import type { PlacementEffect, PlacementEvent, PlacementSlice } from "@rhubarbwheel/types/placement-events";
import type { FleetView } from "./createFleetView.js";

export interface RelaySelectorOptions {
    /** Name of this router. */
    readonly router: string;
    readonly failureDomain: string;
    readonly view: Pick<FleetView, "listRouters">;
    /** Maximum age of each kind at a relay whose watches of the store succeed. */
    readonly getMaxAgeMs: (kind: ViewKind) => number;
    /** Kinds that this router follows; `viewKinds` if omitted. */
    readonly kinds?: readonly ViewKind[];
}

/** Event numbers of the relay selector's log events. */
export const relaySelectorLogEvents = { relaysChosen: 1614, relaySuspected: 1615, storeWatchChanged: 1616 } as const;

/** Routers that watch the store per failure domain, and relays of each of the others. */
const watchersPerDomain = 2;

/** Silence after which a relay is not used. */
const silenceTimeoutMs = 1_000;

/** Time for which a suspected relay is passed over. */
const suspicionMs = 8_000;

const checkIntervalMs = 250;

/**
 * Delay of a check that shows that this router was too busy to read what its relays have sent. Such a check is deferred
 * by as much, once: a router that stays busy must not go on with what it knew when that began.
 */
const lateCheckMs = 150;

/** Kinds that are watched from the start: the list of routers shows which ones are relays. */
export const initialWatchedKinds: readonly ViewKind[] = ["routers"];

/** Time after the first list in which relays are found and connected, before the other kinds are watched. */
const settleMs = 400;

interface Relay {
    readonly entry: RouterEntry;
    /** Time of its last reply, or of the attempt to connect. */
    heardAt: number;
    /** Times as of which the store had confirmed each kind; empty before the first reply. */
    confirmedAt: Readonly<Partial<Record<ViewKind, number>>>;
}

function isSameStart(left: RouterEntry, right: { readonly router: string; readonly incarnation: number; }): boolean {
    return left.router === right.router && left.incarnation === right.incarnation;
}

export function createRelaySelector(opts: RelaySelectorOptions): PlacementSlice {
    const { router, failureDomain, view, kinds: followedKinds = viewKinds } = opts;
    let routerList: readonly RouterEntry[] | undefined;
    /** Routers of the failure domain that rank above this one, best first; empty if this one is not listed. */
    let ranked: readonly RouterEntry[] = [];
    let relays: readonly Relay[] = [];
    /** End of the suspicion by router. */
    const suspectedUntil = new Map<string, number>();
    let watchedKinds: readonly ViewKind[] = initialWatchedKinds;
    /** Time from which kinds that no relay confirms are watched; undefined before the first list. */
    let settledAt: number | undefined;
    let nextCheckAt = Infinity;
    /** Time at which the deferred check was due; undefined if none is. */
    let overdueSince: number | undefined;
    let effects: PlacementEffect[] = [];

    const rankRouters = (): void => {
        const list = view.listRouters();
        if (list === routerList) return;
        routerList = list;
        const candidates = new Map(
            list
                .filter(entry => entry.failureDomain === failureDomain && entry.relayKey !== undefined)
                .map(entry => [entry.router, entry]),
        );
        const names = rankByRendezvous(failureDomain, [...candidates.keys()]);
        const ownRank = Math.max(0, names.indexOf(router));
        ranked = names.slice(0, ownRank).map(name => candidates.get(name)).filter(entry => entry !== undefined);
    };

    const listLive = (now: number): readonly RouterEntry[] =>
        ranked.filter(entry => (suspectedUntil.get(entry.router) ?? -Infinity) <= now);

    const updateRelays = (now: number): void => {
        const live = listLive(now);
        // With fewer routers above it, this one is a watcher itself.
        const chosen = live.length < watchersPerDomain ? [] : live.slice(0, watchersPerDomain);
        const isUnchanged = chosen.length === relays.length
            && chosen.every((entry, index) => isSameStart(entry, relays[index]!.entry));
        if (isUnchanged) return;
        relays = chosen.map(entry =>
            relays.find(relay => isSameStart(relay.entry, entry)) ?? { entry, heardAt: now, confirmedAt: {} }
        );
        const names = chosen.map(entry => entry.router).join(",");
        effects.push(
            { type: "log", event: relaySelectorLogEvents.relaysChosen, fields: { relays: names } },
            { type: "connectRelays", relays: chosen },
        );
    };

    /** Time at which the relay's confirmation of the kind becomes too old. */
    const getExpiry = ({ confirmedAt }: Relay, kind: ViewKind): number =>
        (confirmedAt[kind] ?? -Infinity) + opts.getMaxAgeMs(kind);

    const isConfirmed = (relay: Relay, kind: ViewKind, now: number): boolean =>
        now - relay.heardAt <= silenceTimeoutMs && now <= getExpiry(relay, kind);

    /** Earliest time at which the best confirmation of a kind becomes too old; Infinity if all are now. */
    const getNextExpiry = (now: number): number => {
        const expiries = followedKinds.map(kind => Math.max(...relays.map(relay => getExpiry(relay, kind))));
        return Math.min(...expiries.filter(expiry => expiry >= now));
    };

    const updateWatching = (now: number): void => {
        if (settledAt === undefined || now < settledAt) return;
        const kinds = followedKinds.filter(kind => !relays.some(relay => isConfirmed(relay, kind, now)));
        if (kinds.join() === watchedKinds.join()) return;
        watchedKinds = kinds;
        const overdueMs = Math.round(now - (overdueSince ?? now));
        effects.push(
            {
                type: "log",
                event: relaySelectorLogEvents.storeWatchChanged,
                fields: { kinds: kinds.join(), overdueMs },
            },
            { type: "watchStore", kinds },
        );
    };

    const suspect = ({ entry }: Relay, reason: string, now: number): void => {
        suspectedUntil.set(entry.router, now + suspicionMs);
        const fields = { relay: entry.router, reason };
        effects.push({ type: "log", event: relaySelectorLogEvents.relaySuspected, fields });
    };

    const suspectSilent = (now: number): void => {
        for (const relay of relays)
            if (now - relay.heardAt > silenceTimeoutMs) suspect(relay, "silent", now);
    };

    const handleEvent = (event: PlacementEvent): void => {
        if (event.type === "relayReported") {
            const relay = relays.find(({ entry }) => isSameStart(entry, event));
            if (relay === undefined) return;
            relay.heardAt = event.now;
            relay.confirmedAt = event.confirmedAt;
        }
        else if (event.type === "relayLost") {
            const relay = relays.find(({ entry }) => isSameStart(entry, event));
            if (relay !== undefined) suspect(relay, event.reason, event.now);
        }
        else if (event.type === "clockJumped") {
            // All times of confirmations are too recent by the time for which the clock stood still.
            for (const relay of relays) {
                relay.heardAt = event.now;
                relay.confirmedAt = {};
            }
        }
    };

    const check = (now: number): void => {
        if (now - nextCheckAt > lateCheckMs && overdueSince === undefined) {
            overdueSince = nextCheckAt;
            nextCheckAt = now + lateCheckMs;
            return;
        }
        nextCheckAt = now + checkIntervalMs;
        suspectSilent(now);
        for (const [name, until] of suspectedUntil) if (until <= now) suspectedUntil.delete(name);
        updateRelays(now);
        updateWatching(now);
        overdueSince = undefined;
        // A confirmation that becomes too old between two checks takes part of the time for a change.
        nextCheckAt = Math.min(nextCheckAt, getNextExpiry(now) + 1);
        const isSettled = settledAt !== undefined && now >= settledAt;
        if (isSettled && relays.length === 0 && suspectedUntil.size === 0) nextCheckAt = Infinity;
    };

    return {
        reduce: event => {
            effects = [];
            handleEvent(event);
            const isView = event.type === "viewListed" || event.type === "viewChanged";
            if (isView && settledAt === undefined) {
                settledAt = event.now + settleMs;
                nextCheckAt = settledAt;
            }
            const isListed = isView && event.kind === "routers";
            if (isListed) {
                rankRouters();
                nextCheckAt = Math.min(nextCheckAt, event.now + checkIntervalMs);
            }
            if (event.now >= nextCheckAt) check(event.now);
            else if (isListed || event.type === "relayReported" || event.type === "relayLost") {
                updateRelays(event.now);
                updateWatching(event.now);
            }
            return effects;
        },
        getWakeAt: () => nextCheckAt,
    };
}
