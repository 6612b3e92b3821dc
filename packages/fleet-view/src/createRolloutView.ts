/** Orders to roll out versions as a router knows them, and the targets that they allow. */
import type { LogEffect } from "@rhubarbwheel/types/effects";
import type { TargetEntry } from "@rhubarbwheel/types/fleet";
import type { RolloutEntry, RolloutStatusWrittenEvent } from "@rhubarbwheel/types/rollout";
import { isLaterPosition } from "@rhubarbwheel/types/storePosition";
import type { StorePosition } from "@rhubarbwheel/types/storePosition";
import { createVersionFilter, getVersion } from "./createVersionFilter.js";
import type { VersionFilterOptions } from "./createVersionFilter.js";
import { getRunningPhase } from "./rolloutOrders.js";

export interface RolloutViewOptions extends VersionFilterOptions {
    readonly log: (event: "rolloutOrderChanged" | "versionHeld", fields: LogEffect["fields"]) => void;
}

export interface RolloutQueries {
    readonly getOrder: (service: string) => RolloutEntry | undefined;
    /** Orders that have not ended. */
    readonly listRunning: () => readonly RolloutEntry[];
    /** Versions in use that an order for `targetVersion` replaces. */
    readonly listReplacedVersions: (service: string, targetVersion: string) => readonly string[];
    /** Registered targets of these versions, whatever their state. */
    readonly listTargetsOf: (service: string, versions: readonly string[]) => readonly TargetEntry[];
}

export function createRolloutView(opts: RolloutViewOptions) {
    const filter = createVersionFilter(opts);
    let targets: readonly TargetEntry[] = [];
    /** Time of the last event. */
    let lastNow = 0;
    /** Positions of orders that were applied from the response to a write, and that the store has yet to report. */
    const writtenPositions = new Map<string, StorePosition>();

    const putOrder = (order: RolloutEntry): void => {
        const before = filter.getOrder(order.service);
        filter.putOrder(order);
        const isSame = before?.era === order.era && before.revision === order.revision
            && JSON.stringify(before.status) === JSON.stringify(order.status);
        if (isSame) return;
        const { service, targetVersion, revision, status } = order;
        opts.log("rolloutOrderChanged", {
            service,
            version: targetVersion,
            revision,
            state: status?.state,
            phase: status?.phase,
            statusVersion: status?.targetVersion,
            replaced: status?.replacedVersions.join(","),
        });
    };

    const removeOrder = (service: string): void => {
        const order = filter.getOrder(service);
        if (order === undefined) return;
        filter.removeOrder(service);
        const { targetVersion: version, revision } = order;
        opts.log("rolloutOrderChanged", { service, version, revision, state: "removed" });
    };

    const isUsed = (target: TargetEntry, use: "usable" | "canary"): boolean =>
        filter.getUse(target.service, getVersion(target), lastNow) === use;

    return {
        applyChange: (service: string, order: RolloutEntry | undefined): void => {
            const written = writtenPositions.get(service);
            // The response to a write may overtake the watch, which then reports earlier states.
            if (order !== undefined && written !== undefined && isLaterPosition(written, order)) return;
            writtenPositions.delete(service);
            if (order === undefined) removeOrder(service);
            else putOrder(order);
        },
        /** Applies the order that the store returned to a write, or the status that it has accepted. */
        applyWrite: ({ service, result, era, revision, status, entry }: RolloutStatusWrittenEvent): void => {
            const known = filter.getOrder(service);
            const isAccepted = result === "ok" && known?.era === era && known.revision === revision;
            const next = entry ?? (isAccepted ? { ...known, status } : undefined);
            if (next === undefined || known === undefined || isLaterPosition(known, next)) return;
            writtenPositions.set(service, { era: next.era, revision: next.revision });
            putOrder(next);
        },
        applyTargets: (listed: readonly TargetEntry[], now: number): void => {
            targets = listed;
            for (const { service, version } of filter.setTargets(listed, now))
                opts.log("versionHeld", { service, version, heldForMs: opts.getHoldMs() });
        },
        /** Sets the time up to which versions have been held back. */
        setNow: (now: number): void => {
            lastNow = now;
        },
        listServices: (): readonly string[] => filter.listOrders().map(({ service }) => service),
        isUsable: (target: TargetEntry): boolean => isUsed(target, "usable"),
        isCanary: (target: TargetEntry): boolean => isUsed(target, "canary"),
        getOrder: filter.getOrder,
        listRunning: () => filter.listOrders().filter(order => getRunningPhase(order) !== undefined),
        listReplacedVersions: (service: string, targetVersion: string) =>
            filter.listReplacedVersions(service, targetVersion, lastNow),
        listTargetsOf: (service: string, versions: readonly string[]) =>
            targets.filter(target => target.service === service && versions.includes(getVersion(target))),
    };
}

export type RolloutView = ReturnType<typeof createRolloutView>;
