/**
 * Slice that tells all other routers when this one becomes the first by rank for a pool. Those that the store turns away do
 * not learn it from there: they would go on asking the coordinator before it, or coordinate the pool themselves, and two
 * coordinators would grant the whole of each limit.
 */
import type { FleetView } from "@rhubarbwheel/fleet-view/createFleetView";
import type { PlacementEffect, PlacementEvent, PlacementSlice } from "@rhubarbwheel/types/placement-events";
import { coordinatorLogEvents } from "./coordinatorLogEvents.js";
import type { CoordinatorSelector } from "./createCoordinatorSelector.js";

export interface CoordinatorAnnouncerOptions {
    /** Name of this router. */
    readonly router: string;
    readonly view: Pick<FleetView, "listRouters" | "listServices" | "getPosition">;
    readonly findFirst: CoordinatorSelector["findFirst"];
}

/** Interval between two notices about the same pool. */
export const noticeIntervalMs = 1_000;

/** Number of notices about a pool; all but the first cover lost datagrams and short partitions. */
export const noticesPerPool = 5;

interface Announcement {
    sentCount: number;
    dueAt: number;
}

export function createCoordinatorAnnouncer(opts: CoordinatorAnnouncerOptions): PlacementSlice {
    const { router, view } = opts;
    /** Pools for which this router is the first by rank. */
    const announcements = new Map<string, Announcement>();
    let nextDueAt = Infinity;

    const updateNextDue = (): void => {
        nextDueAt = Math.min(Infinity, ...[...announcements.values()].map(({ dueAt }) => dueAt));
    };

    const updateAnnouncements = (now: number): void => {
        const services = new Set(view.listServices());
        for (const service of announcements.keys()) if (!services.has(service)) announcements.delete(service);
        for (const service of services) {
            if (opts.findFirst(service)?.router !== router) announcements.delete(service);
            else if (!announcements.has(service)) announcements.set(service, { sentCount: 0, dueAt: now });
        }
    };

    const announce = (service: string): readonly PlacementEffect[] => {
        const routers = view.listRouters();
        const incarnation = routers.find(entry => entry.router === router)?.incarnation;
        if (incarnation === undefined) return [];
        const message = { type: "coordinatorNotice", service, incarnation, ...view.getPosition("routers") } as const;
        return routers.filter(entry => entry.router !== router)
            .map(entry => ({ type: "sendToRouter", router: entry.router, address: entry.address, message }));
    };

    const sendDue = (now: number): readonly PlacementEffect[] =>
        [...announcements].flatMap(([service, announcement]): readonly PlacementEffect[] => {
            if (now < announcement.dueAt) return [];
            announcement.sentCount += 1;
            announcement.dueAt = announcement.sentCount < noticesPerPool ? now + noticeIntervalMs : Infinity;
            const effects = announce(service);
            if (announcement.sentCount > 1) return effects;
            const fields = { service, routers: effects.length };
            return [{ type: "log", event: coordinatorLogEvents.coordinationStarted, fields }, ...effects];
        });

    const mayChangeRank = (event: PlacementEvent): boolean =>
        (event.type === "viewListed" || event.type === "viewChanged")
        && (event.kind === "routers" || event.kind === "targets");

    return {
        reduce: event => {
            if (mayChangeRank(event)) {
                updateAnnouncements(event.now);
                updateNextDue();
            }
            if (event.now < nextDueAt) return [];
            const effects = sendDue(event.now);
            updateNextDue();
            return effects;
        },
        getWakeAt: () => nextDueAt,
    };
}
