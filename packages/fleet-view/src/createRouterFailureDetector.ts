/**
 * Slice that keeps the list of routers in the store true: each router watches the next one by name, and has its entry
 * removed when it has been silent for long. A router that finds its own entry gone announces itself again. Without this,
 * hosts that were replaced would stay listed for good, and each router's part of the fleet's limits would shrink with them.
 */
import type { RouterEntry } from "@rhubarbwheel/types/fleet";
import type { PlacementEffect, PlacementEvent, PlacementSlice } from "@rhubarbwheel/types/placement-events";
import type { FleetView } from "./createFleetView.js";

export interface RouterFailureDetectorOptions {
    /** Name of this router. */
    readonly router: string;
    readonly view: FleetView;
}

/** Numbers of the log events of the router watch. */
export const failureDetectorLogEvents = { silentRouterRemoved: 1612, announcedAgain: 1613 } as const;

/** Interval at which the next router is asked for a sign of life. */
const checkIntervalMs = 5_000;

/** Time without a message after which a router counts as gone; restarts and suspensions take a few seconds. */
const goneAfterMs = 30_000;

/** Time within which this router must have heard another one, or it may itself be cut off. */
const heardWithinMs = 2 * checkIntervalMs + 1_000;

/** Sequence of the questions of this slice; the confirmer numbers its own from 1, and ignores replies to this one. */
const checkSequence = 0;

/** The router after `self` in the order of names, as a ring. */
function findNext(self: string, routers: readonly RouterEntry[]): RouterEntry | undefined {
    const others = routers.filter(entry => entry.router !== self);
    others.sort((left, right) => left.router < right.router ? -1 : 1);
    return others.find(entry => entry.router > self) ?? others[0];
}

export function createRouterFailureDetector(opts: RouterFailureDetectorOptions): PlacementSlice {
    const { router, view } = opts;
    let next: RouterEntry | undefined;
    /** Time of the last message of the next router, or since which it is watched. */
    let nextHeardAt = 0;
    let otherHeardAt = -Infinity;
    let wasListed = false;
    let isDraining = false;
    let checkAt = Infinity;
    let effects: PlacementEffect[] = [];

    const handleList = (now: number): void => {
        const routers = view.listRouters();
        const found = findNext(router, routers);
        if (found?.router !== next?.router || found?.incarnation !== next?.incarnation) nextHeardAt = now;
        next = found;
        if (checkAt === Infinity) checkAt = now + checkIntervalMs;
        const isListed = routers.some(entry => entry.router === router);
        if (wasListed && !isListed && !isDraining) {
            effects.push(
                { type: "log", event: failureDetectorLogEvents.announcedAgain, fields: { router } },
                { type: "announceRouter" },
            );
        }
        wasListed = isListed;
    };

    const handleMessage = (from: string, now: number): void => {
        if (from === router) return;
        if (from === next?.router) nextHeardAt = now;
        else otherHeardAt = now;
    };

    const check = (now: number): void => {
        checkAt = now + checkIntervalMs;
        if (next === undefined || isDraining) return;
        const silentMs = now - nextHeardAt;
        if (silentMs >= goneAfterMs && now - otherHeardAt <= heardWithinMs) {
            const { router: gone, incarnation } = next;
            nextHeardAt = now;
            effects.push(
                {
                    type: "log",
                    event: failureDetectorLogEvents.silentRouterRemoved,
                    fields: { router: gone, incarnation, silentMs: Math.round(silentMs) },
                },
                { type: "removeRouter", router: gone, incarnation },
            );
        }
        const message = { type: "confirmationAsk", sequence: checkSequence } as const;
        effects.push({ type: "sendToRouter", router: next.router, address: next.address, message });
    };

    const handleEvent = (event: PlacementEvent): void => {
        if ((event.type === "viewListed" || event.type === "viewChanged") && event.kind === "routers")
            handleList(event.now);
        else if (event.type === "routerMessage") handleMessage(event.from, event.now);
        else if (event.type === "drainRequested") isDraining = true;
        // The monotonic clock may have stood still: silence that was counted before says nothing.
        else if (event.type === "clockJumped") nextHeardAt = event.now;
    };

    return {
        reduce: event => {
            effects = [];
            handleEvent(event);
            if (event.now >= checkAt) check(event.now);
            return effects;
        },
        getWakeAt: () => checkAt,
    };
}
