/**
 * Selects the coordinator of each pool: the first router by rendezvous hashing that is not suspected. Routers on the
 * larger hosts rank first, because a coordinator handles the placement requests of the whole pool beside its callers. A
 * router that has become the coordinator by a newer list of routers than this router's goes before all others.
 */
import { rankByRendezvous } from "@rhubarbwheel/membership/chooseByRendezvous";
import type { RouterEntry } from "@rhubarbwheel/types/fleet";
import { isLaterPosition } from "@rhubarbwheel/types/storePosition";
import type { StorePosition } from "@rhubarbwheel/types/storePosition";
import {
    maxSuspicionMs,
    minSuspicionMs,
    minUnresponsiveMs,
    placementTimeoutMs,
    timeoutsBeforeSuspicion,
} from "./placementSettings.js";

/** A router that coordinates a pool. */
export type Coordinator = Pick<RouterEntry, "router" | "incarnation" | "address">;

/**
 * What a router says about itself when it becomes the coordinator of a pool, with the position of the list of routers by
 * which it is.
 */
export interface CoordinatorClaim extends Coordinator, StorePosition {}

export interface CoordinatorSelector {
    /**
     * `undefined` while no router is registered. Routers that select different coordinators place without knowledge of
     * each other's requests.
     */
    readonly find: (service: string, now: number) => Coordinator | undefined;
    /** First router by rank, whether suspected or not. */
    readonly findFirst: (service: string) => RouterEntry | undefined;
    /** Returns the router of that name, if it is listed or has claimed to be a coordinator. */
    readonly findRouter: (router: string) => Coordinator | undefined;
    /** Records what a router says about itself; true if it changes the selection. */
    readonly recordClaim: (service: string, claim: CoordinatorClaim) => boolean;
    /** Records a message from the router, which ends a suspicion. */
    readonly recordMessage: (router: string, now: number) => void;
    /**
     * Whether to retry an unanswered placement request. If the router has sent other messages since, the request was
     * probably lost and is retried. An unresponsive router is slow or gone and gets one retry per timeout.
     */
    readonly tryTakeRetry: (router: string, sentAt: number, now: number) => boolean;
    /** Records an unanswered placement request; true if the router becomes suspected. */
    readonly recordTimeout: (router: string, now: number) => boolean;
}

export interface CoordinatorSelectorOptions {
    /** Name of this router, which never suspects itself. */
    readonly router: string;
    /** Must return the same array until a router changes. */
    readonly listRouters: () => readonly RouterEntry[];
    /** Position of the list of routers. */
    readonly getListPosition: () => StorePosition;
}

/** Fraction of the cores of the largest host from which a host counts as one of the larger ones. */
const largeHostRatio = 0.5;

/** Returns the routers in the same order, with those on the larger hosts first. */
function sortLargeHostsFirst(ranked: readonly RouterEntry[]): readonly RouterEntry[] {
    const maxCores = Math.max(...ranked.map(({ cores = 0 }) => cores));
    const isLarge = ({ cores = 0 }: RouterEntry): boolean => cores >= maxCores * largeHostRatio;
    return [...ranked.filter(isLarge), ...ranked.filter(entry => !isLarge(entry))];
}

/** Unanswered placement requests of a router; removed when a message from it arrives. */
interface Suspicion {
    /** Incarnation that did not respond; a later one is not suspected. */
    readonly incarnation: number;
    timeouts: number;
    firstTimeoutAt: number;
    suspectedUntil: number;
    suspicionMs: number;
}

export function createCoordinatorSelector(opts: CoordinatorSelectorOptions): CoordinatorSelector {
    const suspicions = new Map<string, Suspicion>();
    const lastMessageAt = new Map<string, number>();
    const lastRetryAt = new Map<string, number>();
    /** Routers by rank per service: needed for every message, and changes only with the list of routers. */
    const rankings = new Map<string, readonly RouterEntry[]>();
    let rankedRouters: readonly RouterEntry[] = [];
    /** Newest claim for each service. */
    const claims = new Map<string, CoordinatorClaim>();

    /** Claim by a newer list than that of this router, which may be turned away by the store. */
    const findClaim = (service: string): CoordinatorClaim | undefined => {
        const claim = claims.get(service);
        return claim !== undefined && isLaterPosition(claim, opts.getListPosition()) ? claim : undefined;
    };

    const findRouter = (router: string): Coordinator | undefined =>
        opts.listRouters().find(listed => listed.router === router)
            ?? [...claims.values()].find(claim => claim.router === router);

    const rankRouters = (service: string): readonly RouterEntry[] => {
        const listed = opts.listRouters();
        if (listed !== rankedRouters) rankings.clear();
        rankedRouters = listed;
        const existing = rankings.get(service);
        if (existing !== undefined) return existing;
        const routers = new Map(listed.map(entry => [entry.router, entry]));
        const names = rankByRendezvous(service, [...routers.keys()]);
        const ranked = sortLargeHostsFirst(names.map(router => routers.get(router)!));
        rankings.set(service, ranked);
        return ranked;
    };

    const isSuspected = ({ router, incarnation }: Coordinator, now: number): boolean => {
        const suspicion = suspicions.get(router);
        return router !== opts.router && suspicion?.incarnation === incarnation && suspicion.suspectedUntil > now;
    };

    const getOrCreateSuspicion = ({ router, incarnation }: Coordinator, now: number): Suspicion => {
        const existing = suspicions.get(router);
        if (existing?.incarnation === incarnation) return existing;
        const suspicion = {
            incarnation,
            timeouts: 0,
            firstTimeoutAt: now,
            suspectedUntil: -Infinity,
            suspicionMs: minSuspicionMs,
        };
        suspicions.set(router, suspicion);
        return suspicion;
    };

    return {
        find: (service, now) => {
            const claim = findClaim(service);
            if (claim !== undefined && !isSuspected(claim, now)) return claim;
            const ranked = rankRouters(service);
            return ranked.find(entry => !isSuspected(entry, now)) ?? ranked[0];
        },
        findFirst: service => rankRouters(service)[0],
        findRouter,
        recordClaim: (service, claim) => {
            const before = findClaim(service);
            if (before !== undefined && isLaterPosition(before, claim)) return false;
            claims.set(service, claim);
            return findClaim(service) !== undefined && before?.router !== claim.router;
        },
        recordMessage: (router, now) => {
            suspicions.delete(router);
            lastMessageAt.set(router, now);
        },
        tryTakeRetry: (router, sentAt, now) => {
            const isResponsive = (lastMessageAt.get(router) ?? -Infinity) >= sentAt;
            if (!isResponsive && now - (lastRetryAt.get(router) ?? -Infinity) < placementTimeoutMs) return false;
            lastRetryAt.set(router, now);
            return true;
        },
        recordTimeout: (router, now) => {
            const entry = findRouter(router);
            if (entry === undefined) return false;
            const suspicion = getOrCreateSuspicion(entry, now);
            if (suspicion.timeouts === 0) suspicion.firstTimeoutAt = now;
            suspicion.timeouts += 1;
            const isUnresponsive = suspicion.timeouts >= timeoutsBeforeSuspicion
                && now - suspicion.firstTimeoutAt >= minUnresponsiveMs;
            if (!isUnresponsive || isSuspected(entry, now)) return false;
            suspicion.suspectedUntil = now + suspicion.suspicionMs;
            suspicion.suspicionMs = Math.min(maxSuspicionMs, suspicion.suspicionMs * 2);
            suspicion.timeouts = 0;
            return true;
        },
    };
}
