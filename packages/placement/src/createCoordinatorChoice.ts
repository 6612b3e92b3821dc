/** Chooses the coordinator of each pool: the first router by rendezvous hashing that has not been silent lately. */
import { rankByRendezvous } from "@rhubarbwheel/membership/chooseByRendezvous";
import type { RouterEntry } from "@rhubarbwheel/types/fleet";
import { missesBeforeSuspicion, silenceMs, suspicionMs } from "./placementSettings.js";

export interface CoordinatorChoice {
    /** `undefined` while no router is listed. Routers that differ in their choice know less of each other's requests. */
    readonly find: (service: string, now: number) => RouterEntry | undefined;
    /** Records that a message of the router has arrived. */
    readonly recordAnswer: (router: string) => void;
    /** Records an unanswered question; true if the router is now passed over. */
    readonly recordMiss: (router: string, now: number) => boolean;
}

export interface CoordinatorChoiceOptions {
    /** Name of this router, which never suspects itself. */
    readonly router: string;
    readonly listRouters: () => readonly RouterEntry[];
}

export function createCoordinatorChoice(opts: CoordinatorChoiceOptions): CoordinatorChoice {
    const misses = new Map<string, { count: number; readonly since: number; }>();
    const suspectedUntil = new Map<string, number>();

    const isSuspected = (router: string, now: number): boolean =>
        router !== opts.router && (suspectedUntil.get(router) ?? -Infinity) > now;

    return {
        find: (service, now) => {
            const routers = new Map(opts.listRouters().map(entry => [entry.router, entry]));
            const ranked = rankByRendezvous(service, [...routers.keys()]);
            const chosen = ranked.find(router => !isSuspected(router, now)) ?? ranked[0];
            return chosen === undefined ? undefined : routers.get(chosen);
        },
        recordAnswer: router => {
            misses.delete(router);
            suspectedUntil.delete(router);
        },
        recordMiss: (router, now) => {
            const missed = misses.get(router) ?? { count: 0, since: now };
            missed.count += 1;
            misses.set(router, missed);
            const isSilent = missed.count >= missesBeforeSuspicion && now - missed.since >= silenceMs;
            if (!isSilent || isSuspected(router, now)) return false;
            suspectedUntil.set(router, now + suspicionMs);
            misses.delete(router);
            return true;
        },
    };
}
