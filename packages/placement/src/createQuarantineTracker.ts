/**
 * Slice that quarantines prompt parts that crash engines. It learns of crashes from the attempt notices that coordinators
 * receive, and tells all routers about new quarantines, so that the next coordinator knows them too.
 */
import type { FleetView } from "@rhubarbwheel/fleet-view/createFleetView";
import type { LogEffect } from "@rhubarbwheel/types/effects";
import type { AttemptNoticeMessage } from "@rhubarbwheel/types/placement";
import type { PlacementEffect, PlacementEvent, PlacementSlice } from "@rhubarbwheel/types/placement-events";
import { createCrashDetector } from "./createCrashDetector.js";
import type { Crash, CrashDetector } from "./createCrashDetector.js";
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
export const quarantineLogEvents = {
    partQuarantined: 1714,
    partReleased: 1715,
    suspectsNarrowed: 1720,
} as const;

/** Interval at which attempts that have ended are classified, in addition to each attempt notice. */
const checkIntervalMs = 100;

/** Keeps notices below the size at which datagrams are fragmented. */
const maxPartsPerNotice = 16;

export function createQuarantineTracker(opts: QuarantineTrackerOptions): PlacementSlice {
    const { quarantine, view } = opts;
    const detectors = new Map<string, CrashDetector>();
    let checkAt = Infinity;
    /** Whether a target has a broken attempt that is not classified yet. */
    let hasBroken = false;
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
        const states = quarantine.list(partIds, now);
        for (let start = 0; start < states.length; start += maxPartsPerNotice) {
            const message = {
                type: "quarantineNotice",
                parts: states.slice(start, start + maxPartsPerNotice),
            } as const;
            for (const { router, address } of view.listRouters())
                if (router !== opts.router) effects.push({ type: "sendToRouter", router, address, message });
        }
    };

    const handleNotice = (notice: AttemptNoticeMessage, now: number): void => {
        const { service, target, result, partIds = [] } = notice;
        if (result === "broken") {
            getOrCreateDetector(service).recordBroken(target, partIds, now);
            hasBroken = true;
        }
        else if (result === "complete") getOrCreateDetector(service).recordComplete(target, partIds, now);
        else return quarantine.recordUnused(partIds, now);
        checkAt = Math.min(checkAt, now + checkIntervalMs);
    };

    const handleCrash = (service: string, { target, partIds }: Crash, now: number): void => {
        const { quarantined, narrowed } = quarantine.recordCrash(partIds, now);
        for (const part of quarantined) log("partQuarantined", { service, part, target, suspects: quarantined.length });
        for (const part of narrowed) log("suspectsNarrowed", { service, part, target, suspects: narrowed.length });
        announce([...narrowed, ...quarantined], now);
    };

    const handleCompletion = (service: string, partIds: readonly string[], now: number): void => {
        const released = quarantine.recordCompletion(partIds);
        for (const part of released) log("partReleased", { service, part });
        announce(released, now);
    };

    const checkAttempts = (now: number): void => {
        checkAt = Infinity;
        hasBroken = false;
        for (const [service, detector] of detectors) {
            for (const crash of detector.takeCrashes(now)) handleCrash(service, crash, now);
            for (const partIds of detector.takeCompletions(now)) handleCompletion(service, partIds, now);
            hasBroken ||= detector.hasBroken();
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
            if (event.now >= checkAt || (isNotice && hasBroken)) checkAttempts(event.now);
            return effects;
        },
        getWakeAt: () => checkAt,
    };
}
