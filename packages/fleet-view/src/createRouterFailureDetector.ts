/**
 * Slice that removes the entries of failed routers from the store. Routers form a ring by name; each sends heartbeats
 * to its successor and deregisters it after a long silence. A router whose own entry was removed registers again, also if
 * the store has come back from a copy without it. Otherwise replaced hosts would stay listed, and each live router's
 * fraction of the fleet's limits would shrink.
 */
import type { RouterEntry } from "@rhubarbwheel/types/fleet";
import type { PlacementEffect, PlacementEvent, PlacementSlice } from "@rhubarbwheel/types/placement-events";
import type { ViewChangedEvent, ViewListedEvent } from "@rhubarbwheel/types/view-events";
import type { FleetView } from "./createFleetView.js";

export interface RouterFailureDetectorOptions {
    /** Name of this router. */
    readonly router: string;
    readonly incarnation: number;
    readonly view: FleetView;
}

/** Event numbers of the failure detector's log events. */
export const failureDetectorLogEvents = { silentRouterRemoved: 1612, announcedAgain: 1613 } as const;

/** Interval between heartbeats to the successor. */
const heartbeatIntervalMs = 5_000;

/** Time without a message after which a router counts as failed; restarts and suspensions take only a few seconds. */
const failureTimeoutMs = 30_000;

/** A router that has heard only from its successor in this time may itself be partitioned, and deregisters none. */
const connectivityWindowMs = 2 * heartbeatIntervalMs + 1_000;

/** Sequence number of heartbeats. The confirmer numbers its requests from 1, so it ignores replies to this one. */
const heartbeatSequence = 0;

/** Finds the successor of `self` in the ring of router names. */
function findSuccessor(self: string, routers: readonly RouterEntry[]): RouterEntry | undefined {
    const others = routers.filter(entry => entry.router !== self);
    others.sort((left, right) => left.router < right.router ? -1 : 1);
    return others.find(entry => entry.router > self) ?? others[0];
}

export function createRouterFailureDetector(opts: RouterFailureDetectorOptions): PlacementSlice {
    const { router, view } = opts;
    let routerList: readonly RouterEntry[] | undefined;
    let successor: RouterEntry | undefined;
    /** Time of the successor's last message, or of its selection as successor. */
    let successorHeardAt = 0;
    let otherHeardAt = -Infinity;
    let wasListed = false;
    /** Era of the last list of routers; undefined before the first one. */
    let listEra: number | undefined;
    let isDraining = false;
    let nextHeartbeatAt = Infinity;
    let effects: PlacementEffect[] = [];

    /** Returns whether the store has come back from an older copy, which may lack the entry of this router. */
    const recordEra = (era: number): boolean => {
        const isLater = listEra !== undefined && era > listEra;
        listEra = era;
        return isLater;
    };

    const isOwnEntry = (entry: RouterEntry): boolean =>
        entry.router === router && entry.incarnation === opts.incarnation;

    const handleRouterList = ({ era, now }: ViewListedEvent | ViewChangedEvent): void => {
        const isNewEra = recordEra(era);
        const routers = view.listRouters();
        // Most events only confirm the list.
        if (routers === routerList) return;
        routerList = routers;
        const found = findSuccessor(router, routers);
        if (found?.router !== successor?.router || found?.incarnation !== successor?.incarnation)
            successorHeardAt = now;
        successor = found;
        if (nextHeartbeatAt === Infinity) nextHeartbeatAt = now + heartbeatIntervalMs;
        const isListed = routers.some(entry => entry.router === router);
        // The copy may have the entry of an earlier process of this router.
        const isLost = isNewEra ? !routers.some(isOwnEntry) : wasListed && !isListed;
        if (isLost && !isDraining) {
            effects.push(
                { type: "log", event: failureDetectorLogEvents.announcedAgain, fields: { router } },
                { type: "announceRouter" },
            );
        }
        wasListed = isListed;
    };

    const handleMessage = (from: string, now: number): void => {
        if (from === router) return;
        if (from === successor?.router) successorHeardAt = now;
        else otherHeardAt = now;
    };

    const checkSuccessor = (now: number): void => {
        nextHeartbeatAt = now + heartbeatIntervalMs;
        if (successor === undefined || isDraining) return;
        const silentMs = now - successorHeardAt;
        if (silentMs >= failureTimeoutMs && now - otherHeardAt <= connectivityWindowMs) {
            const { router: failed, incarnation } = successor;
            successorHeardAt = now;
            effects.push(
                {
                    type: "log",
                    event: failureDetectorLogEvents.silentRouterRemoved,
                    fields: { router: failed, incarnation, silentMs: Math.round(silentMs) },
                },
                { type: "removeRouter", router: failed, incarnation },
            );
        }
        const message = { type: "confirmationAsk", sequence: heartbeatSequence } as const;
        effects.push({ type: "sendToRouter", router: successor.router, address: successor.address, message });
    };

    const handleEvent = (event: PlacementEvent): void => {
        if ((event.type === "viewListed" || event.type === "viewChanged") && event.kind === "routers")
            handleRouterList(event);
        else if (event.type === "routerMessage") handleMessage(event.from, event.now);
        else if (event.type === "drainRequested") isDraining = true;
        // The monotonic clock may have stood still during a suspension, so the silence is measured anew.
        else if (event.type === "clockJumped") successorHeardAt = event.now;
    };

    return {
        reduce: event => {
            effects = [];
            handleEvent(event);
            if (event.now >= nextHeartbeatAt) checkSuccessor(event.now);
            return effects;
        },
        getWakeAt: () => nextHeartbeatAt,
    };
}
