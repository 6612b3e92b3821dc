/** Slice that takes over what targets have told other routers, and as coordinator passes it on to all of them. */
import type { FleetView } from "@rhubarbwheel/fleet-view/createFleetView";
import type { PlacementEffect, PlacementSlice, RouterMessageEvent } from "@rhubarbwheel/types/placement-events";
import type { TargetNotices } from "./createTargetNotices.js";

export interface TargetNoticeTrackerOptions {
    /** Name of this router. */
    readonly router: string;
    readonly view: Pick<FleetView, "listRouters">;
    readonly targetNotices: TargetNotices;
}

export function createTargetNoticeTracker(opts: TargetNoticeTrackerOptions): PlacementSlice {
    const { router, view, targetNotices } = opts;

    const handleMessage = ({ from, message, now }: RouterMessageEvent): readonly PlacementEffect[] => {
        if (message.type !== "targetNotice") return [];
        // What this router tells itself it has recorded before.
        const isNew = from === router || targetNotices.merge(message, now);
        if (message.isAnnounced || !isNew) return [];
        const announcement = { ...message, isAnnounced: true };
        return view.listRouters().filter(entry => entry.router !== router && entry.router !== from).map(entry => ({
            type: "sendToRouter",
            router: entry.router,
            address: entry.address,
            message: announcement,
        }));
    };

    return {
        reduce: event => event.type === "routerMessage" ? handleMessage(event) : [],
        getWakeAt: () => Infinity,
    };
}
