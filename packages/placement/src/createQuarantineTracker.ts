/**
 * Slice that quarantines prompt parts that crash engines. It learns of crashes from the attempt notices that coordinators
 * receive, and tells all routers about new quarantines, so that the next coordinator knows them too.
 */
import type { FleetView } from "@rhubarbwheel/fleet-view/createFleetView";
import type { LogEffect } from "@rhubarbwheel/types/effects";
import type { AttemptNoticeMessage } from "@rhubarbwheel/types/placement";
import type { PlacementEffect, PlacementEvent, PlacementSlice } from "@rhubarbwheel/types/placement-events";
import { createCrashDetector } from "./createCrashDetector.js";
import type { CrashDetector } from "./createCrashDetector.js";
import type { PartQuarantine } from "./createPartQuarantine.js";

export interface QuarantineTrackerOptions {
    /** Name of this router. */
    readonly router: string;
    readonly view: Pick<FleetView, "listRouters">;
    readonly quarantine: PartQuarantine;
    /** Number of attempts that were assigned to the target before `assignedBefore` and have not ended. */
    readonly countAssigned: (service: string, target: string, assignedBefore: number) => number;
}

/** Numbers of the tracker's log events. */
export const quarantineLogEvents = { partQuarantined: 1714, partReleased: 1715 } as const;

/** Interval at which broken targets are checked for crashes, in addition to each attempt notice. */
const checkIntervalMs = 100;

export function createQuarantineTracker(opts: QuarantineTrackerOptions): PlacementSlice {
    const { quarantine, view } = opts;
    const detectors = new Map<string, CrashDetector>();
    let checkAt = Infinity;
    let effects: PlacementEffect[] = [];

    const log = (event: keyof typeof quarantineLogEvents, fields: LogEffect["fields"]): void => {
        effects.push({ type: "log", event: quarantineLogEvents[event], fields });
    };

    const getOrCreateDetector = (service: string): CrashDetector => {
        const existing = detectors.get(service);
        if (existing !== undefined) return existing;
        const detector = createCrashDetector({
            countAssigned: (target, assignedBefore) => opts.countAssigned(service, target, assignedBefore),
        });
        detectors.set(service, detector);
        return detector;
    };

    const announce = (partIds: readonly string[], now: number): void => {
        const message = { type: "quarantineNotice", parts: quarantine.list(partIds, now) } as const;
        for (const { router, address } of view.listRouters())
            if (router !== opts.router) effects.push({ type: "sendToRouter", router, address, message });
    };

    const handleNotice = (notice: AttemptNoticeMessage, now: number): void => {
        const { service, target, partIds = [] } = notice;
        if (notice.result === "broken") {
            getOrCreateDetector(service).recordBroken(target, partIds, now);
            checkAt = Math.min(checkAt, now + checkIntervalMs);
            return;
        }
        if (notice.result !== undefined) return;
        const released = quarantine.recordStart(partIds);
        if (released.length === 0) return;
        for (const part of released) log("partReleased", { service, part });
        announce(released, now);
    };

    const checkCrashes = (now: number): void => {
        checkAt = Infinity;
        for (const [service, detector] of detectors) {
            for (const { target, partIds } of detector.takeCrashes(now)) {
                const added = quarantine.recordCrash(partIds, now);
                for (const part of added) log("partQuarantined", { service, part, target });
                if (added.length > 0) announce(added, now);
            }
            if (detector.isPending()) checkAt = now + checkIntervalMs;
        }
    };

    const handleEvent = (event: PlacementEvent): void => {
        if (event.type !== "routerMessage") return;
        const { message, now } = event;
        if (message.type === "attemptNotice") handleNotice(message, now);
        else if (message.type === "quarantineNotice") quarantine.merge(message.parts, now);
    };

    return {
        reduce: event => {
            effects = [];
            handleEvent(event);
            const isNotice = event.type === "routerMessage" && event.message.type === "attemptNotice";
            if (event.now >= checkAt || (isNotice && checkAt !== Infinity)) checkCrashes(event.now);
            return effects;
        },
        getWakeAt: () => checkAt,
    };
}
