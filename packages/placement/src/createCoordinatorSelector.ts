/** Chooses the coordinator of each pool: the first router by rendezvous hashing that has not been silent lately. */
import { rankByRendezvous } from "@rhubarbwheel/membership/chooseByRendezvous";
import type { RouterEntry } from "@rhubarbwheel/types/fleet";
import {
    firstSuspicionMs,
    maxSuspicionMs,
    missesBeforeSuspicion,
    placementTimeoutMs,
    silenceMs,
} from "./placementSettings.js";

export interface CoordinatorSelector {
    /** `undefined` while no router is listed. Routers that differ in their choice know less of each other's requests. */
    readonly find: (service: string, now: number) => RouterEntry | undefined;
    /** Records that a message of the router has arrived. */
    readonly recordMessage: (router: string, now: number) => void;
    /**
     * Whether a question that the router has not answered is to be sent again. One that was lost is; a router that answers
     * nobody is slow or gone, and gets only one repeat in the time for an answer.
     */
    readonly tryTakeRetry: (router: string, askedAt: number, now: number) => boolean;
    /** Records an unanswered question; true if the router is now passed over. */
    readonly recordTimeout: (router: string, now: number) => boolean;
}

export interface CoordinatorSelectorOptions {
    /** Name of this router, which never suspects itself. */
    readonly router: string;
    /** The same array as before while no router has changed. */
    readonly listRouters: () => readonly RouterEntry[];
}

/** What is known of a router that has left questions unanswered, until a message of it arrives. */
interface Silence {
    /** Start of the router that was silent; a later start is given a new chance. */
    readonly incarnation: number;
    misses: number;
    since: number;
    suspectedUntil: number;
    suspicionMs: number;
}

export function createCoordinatorSelector(opts: CoordinatorSelectorOptions): CoordinatorSelector {
    const silences = new Map<string, Silence>();
    const heardAt = new Map<string, number>();
    const repeatedAt = new Map<string, number>();
    /** Order of the routers for each service. Every message needs it, and it changes with the list of routers only. */
    const rankings = new Map<string, readonly RouterEntry[]>();
    let rankedRouters: readonly RouterEntry[] = [];

    const rank = (service: string): readonly RouterEntry[] => {
        const listed = opts.listRouters();
        if (listed !== rankedRouters) rankings.clear();
        rankedRouters = listed;
        const known = rankings.get(service);
        if (known !== undefined) return known;
        const routers = new Map(listed.map(entry => [entry.router, entry]));
        const ranked = rankByRendezvous(service, [...routers.keys()]).map(router => routers.get(router)!);
        rankings.set(service, ranked);
        return ranked;
    };

    const isSuspected = ({ router, incarnation }: RouterEntry, now: number): boolean => {
        const silence = silences.get(router);
        return router !== opts.router && silence?.incarnation === incarnation && silence.suspectedUntil > now;
    };

    const obtainSilence = ({ router, incarnation }: RouterEntry, now: number): Silence => {
        const known = silences.get(router);
        if (known?.incarnation === incarnation) return known;
        const silence = {
            incarnation,
            misses: 0,
            since: now,
            suspectedUntil: -Infinity,
            suspicionMs: firstSuspicionMs,
        };
        silences.set(router, silence);
        return silence;
    };

    return {
        find: (service, now) => {
            const ranked = rank(service);
            return ranked.find(entry => !isSuspected(entry, now)) ?? ranked[0];
        },
        recordMessage: (router, now) => {
            silences.delete(router);
            heardAt.set(router, now);
        },
        tryTakeRetry: (router, askedAt, now) => {
            const hasAnsweredOthers = (heardAt.get(router) ?? -Infinity) >= askedAt;
            if (!hasAnsweredOthers && now - (repeatedAt.get(router) ?? -Infinity) < placementTimeoutMs) return false;
            repeatedAt.set(router, now);
            return true;
        },
        recordTimeout: (router, now) => {
            const entry = opts.listRouters().find(listed => listed.router === router);
            if (entry === undefined) return false;
            const silence = obtainSilence(entry, now);
            if (silence.misses === 0) silence.since = now;
            silence.misses += 1;
            const isSilent = silence.misses >= missesBeforeSuspicion && now - silence.since >= silenceMs;
            if (!isSilent || isSuspected(entry, now)) return false;
            silence.suspectedUntil = now + silence.suspicionMs;
            silence.suspicionMs = Math.min(maxSuspicionMs, silence.suspicionMs * 2);
            silence.misses = 0;
            return true;
        },
    };
}
