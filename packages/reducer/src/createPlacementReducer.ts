/** Root reducer of a platform router: the fleet view, the placement coordinator, and the entry router. */
import { createConfigurationConfirmer } from "@rhubarbwheel/fleet-view/createConfigurationConfirmer";
import { createFleetView } from "@rhubarbwheel/fleet-view/createFleetView";
import type { FleetViewOptions } from "@rhubarbwheel/fleet-view/createFleetView";
import { createRelaySelector } from "@rhubarbwheel/fleet-view/createRelaySelector";
import type { RelaySelectorOptions } from "@rhubarbwheel/fleet-view/createRelaySelector";
import { createRouterFailureDetector } from "@rhubarbwheel/fleet-view/createRouterFailureDetector";
import type { VersionFilterOptions } from "@rhubarbwheel/fleet-view/createVersionFilter";
import { createCoordinatorAnnouncer } from "@rhubarbwheel/placement/createCoordinatorAnnouncer";
import { createEntryRouter } from "@rhubarbwheel/placement/createEntryRouter";
import { createPartQuarantine } from "@rhubarbwheel/placement/createPartQuarantine";
import { createPlacementCoordinator } from "@rhubarbwheel/placement/createPlacementCoordinator";
import { createQuarantineTracker } from "@rhubarbwheel/placement/createQuarantineTracker";
import { createRolloutCoordinator } from "@rhubarbwheel/placement/createRolloutCoordinator";
import type { RolloutCoordinatorOptions } from "@rhubarbwheel/placement/createRolloutCoordinator";
import { createServiceVersions } from "@rhubarbwheel/placement/createServiceVersions";
import { createTargetBreaker } from "@rhubarbwheel/placement/createTargetBreaker";
import { createTargetNotices } from "@rhubarbwheel/placement/createTargetNotices";
import { createTargetNoticeTracker } from "@rhubarbwheel/placement/createTargetNoticeTracker";
import type { EntryRouterOptions } from "@rhubarbwheel/placement/entryState";
import { viewKinds, viewKindsWithRollouts } from "@rhubarbwheel/types/fleet";
import type { PlacementEffect, PlacementEvent, PlacementSlice } from "@rhubarbwheel/types/placement-events";
import { reduceOverSlices } from "./reduceOverSlices.js";

export interface PlacementReducerOptions {
    /** Incarnation of this router's process, as in its entry of the store. */
    readonly incarnation: number;
    readonly view: FleetViewOptions;
    readonly entry: Omit<
        EntryRouterOptions,
        "view" | "random" | "quarantine" | "targetNotices" | "targetBreaker" | "serviceVersions"
    >;
    readonly relay: Pick<RelaySelectorOptions, "getMaxAgeMs">;
    /** Set if this router follows orders to roll out versions. */
    readonly rollouts?: VersionFilterOptions & Pick<RolloutCoordinatorOptions, "getBounds" | "getWallClockTime">;
    /** Random number in [0, 1). */
    readonly random: () => number;
}

/** Converts a message of this router to itself to an event of the same step. */
function convertLocalMessage(self: string, effect: PlacementEffect, now: number): PlacementEvent | undefined {
    if (effect.type !== "sendToRouter" || effect.router !== self) return undefined;
    return { type: "routerMessage", now, from: self, address: effect.address, message: effect.message };
}

export function createPlacementReducer(opts: PlacementReducerOptions) {
    const { router, failureDomain } = opts.entry;
    const view = createFleetView({ ...opts.view, rollouts: opts.rollouts });
    const confirmer = createConfigurationConfirmer({ router, view, random: opts.random });
    const failureDetector = createRouterFailureDetector({ router, incarnation: opts.incarnation, view });
    const relaySelector = createRelaySelector({
        ...opts.relay,
        router,
        failureDomain,
        view,
        kinds: opts.rollouts === undefined ? viewKinds : viewKindsWithRollouts,
    });
    const quarantine = createPartQuarantine();
    const targetNotices = createTargetNotices();
    const targetBreaker = createTargetBreaker();
    const noticeTracker = createTargetNoticeTracker({ router, view, targetNotices });
    const rolloutCoordinator = opts.rollouts === undefined ? undefined : createRolloutCoordinator({
        ...opts.rollouts,
        router,
        view,
        findCoordinator: (service, now) => entry.findCoordinator(service, now),
        isFirstByRank: service => entry.findFirstCoordinator(service)?.router === router,
        countAssigned: (service, target, assignedBefore) => countAssigned(service, target, assignedBefore),
        random: opts.random,
    });
    const coordinator = createPlacementCoordinator({
        router,
        view,
        quarantine,
        targetNotices,
        computeColdLimit: opts.entry.computeColdLimit,
        canaries: rolloutCoordinator,
    });
    const { countAssigned } = coordinator;
    const quarantineTracker = createQuarantineTracker({ router, view, quarantine, countAssigned });
    const serviceVersions = createServiceVersions({
        view,
        isFirstByRank: service => entry.findFirstCoordinator(service)?.router === router,
    });
    const entry = createEntryRouter({
        ...opts.entry,
        view,
        serviceVersions,
        quarantine,
        targetNotices,
        targetBreaker,
        random: opts.random,
    });
    const announcer = createCoordinatorAnnouncer({ router, view, findFirst: entry.findFirstCoordinator });
    const slices: readonly PlacementSlice[] = [
        view,
        confirmer,
        relaySelector,
        failureDetector,
        noticeTracker,
        coordinator,
        // Follows the coordinator, which has then removed the attempts that have ended.
        quarantineTracker,
        ...(rolloutCoordinator === undefined ? [] : [rolloutCoordinator]),
        // Precedes the entry router, which decides by the versions.
        serviceVersions,
        entry,
        announcer,
    ];

    return {
        reduce: (event: PlacementEvent): readonly PlacementEffect[] =>
            reduceOverSlices<PlacementEvent, PlacementEffect>(
                slices,
                event,
                (effect, now) => effect.type === "raise" ? effect.event : convertLocalMessage(router, effect, now),
            ),
        /** Monotonic time at which a `wake` event is due; Infinity for none. */
        getWakeAt: () => Math.min(...slices.map(slice => slice.getWakeAt())),
        view,
        entry,
        targetNotices,
        rolloutCoordinator,
        targetBreaker,
        listLoadSpreads: coordinator.listLoadSpreads,
    };
}

export type PlacementReducer = ReturnType<typeof createPlacementReducer>;
