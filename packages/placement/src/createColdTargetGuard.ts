/**
 * Coordinator's protection of cold targets: limits what it sends to them, and reads the health of targets that get more
 * requests than they could take cold.
 *
 * The store says in a target's entry that it is cold, but not during an outage, and a silent outage is noticed only after
 * seconds. The health response of the target says it at any time. A target within the rate of a cold one comes to no harm
 * and is not asked, so that health reads, which cost the target time, stay rare.
 */
import type { FleetView } from "@rhubarbwheel/fleet-view/createFleetView";
import type { TargetEntry } from "@rhubarbwheel/types/fleet";
import type { PlacementEffect, TargetHealthReadEvent } from "@rhubarbwheel/types/placement-events";
import { coordinatorLogEvents } from "./coordinatorLogEvents.js";
import { createSendRateLimiter } from "./createSendRateLimiter.js";
import { coldGrantRatio, maxRememberedTargets } from "./placementSettings.js";
import { setBounded } from "./setBounded.js";

export interface ColdTargetGuardOptions {
    /** Name of this router. */
    readonly router: string;
    readonly view: Pick<FleetView, "getPool" | "getTarget" | "getColdRemainingMs" | "listRouters">;
    /** Maximum requests per second to a cold target, over all routers, given its configured rate limit. */
    readonly computeColdLimit: (coldRequestsPerSecond: number) => number;
}

export interface ColdTargetGuard {
    /** Whether the target is not cold, or may get another request although it is. */
    readonly maySendTo: (entry: TargetEntry, now: number) => boolean;
    /** Records a request that was placed at the target, and returns a read of its health if that is due. */
    readonly recordSend: (entry: TargetEntry, now: number) => readonly PlacementEffect[];
    /** Tells the other routers of a cold target. The fleet view of this one reduces the same event. */
    readonly handleHealthRead: (event: TargetHealthReadEvent) => readonly PlacementEffect[];
}

/** Window of the limit. */
const windowMs = 1_000;

/** Health reads within the time in which a target that has just become cold gets as many requests as it bears. */
const readsPerLimit = 3;

/** Minimum interval between two health reads of a target. */
const minReadIntervalMs = 50;

export function createColdTargetGuard(opts: ColdTargetGuardOptions): ColdTargetGuard {
    const { router, view, computeColdLimit } = opts;
    /** All sends count, also those before it is known that the target is cold. */
    const sends = createSendRateLimiter(windowMs);
    const readAt = new Map<string, number>();

    const getColdRequestsPerSecond = ({ service }: TargetEntry): number =>
        view.getPool(service)?.coldRequestsPerSecond ?? 0;

    const maySendTo = (entry: TargetEntry, now: number): boolean => {
        if (view.getColdRemainingMs(entry.target, now) <= 0) return true;
        const limit = getColdRequestsPerSecond(entry) * coldGrantRatio;
        return limit === 0 || sends.hasCapacity(entry.target, limit, now);
    };

    const isReadDue = (entry: TargetEntry, now: number): boolean => {
        const limit = computeColdLimit(getColdRequestsPerSecond(entry));
        const sent = sends.count(entry.target, now);
        if (sent <= limit || view.getColdRemainingMs(entry.target, now) > 0) return false;
        const intervalMs = Math.max(minReadIntervalMs, windowMs * limit / sent / readsPerLimit);
        return now - (readAt.get(entry.target) ?? -Infinity) >= intervalMs;
    };

    return {
        maySendTo,
        recordSend: (entry, now) => {
            if (getColdRequestsPerSecond(entry) === 0) return [];
            sends.tryTake(entry.target, Infinity, now);
            const path = view.getPool(entry.service)?.healthPath;
            if (path === undefined || !isReadDue(entry, now)) return [];
            setBounded(readAt, entry.target, now, maxRememberedTargets);
            const { service, target, address } = entry;
            return [{ type: "readTargetHealth", service, target, address, path }];
        },
        handleHealthRead: ({ service, target, coldForMs }) => {
            const entry = view.getTarget(target);
            if (entry === undefined || coldForMs <= 0) return [];
            const message = {
                type: "coldNotice",
                target,
                startedAtUnixMs: entry.startedAtUnixMs,
                coldForMs,
            } as const;
            const announcements = view.listRouters().filter(listed => listed.router !== router).map(listed => ({
                type: "sendToRouter" as const,
                router: listed.router,
                address: listed.address,
                message,
            }));
            const fields = { target, service, coldForMs };
            return [{ type: "log", event: coordinatorLogEvents.targetCold, fields }, ...announcements];
        },
    };
}
