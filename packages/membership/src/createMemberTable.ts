/** Members known to this router, and the routers listed in the settings or the platform's host list. */
import type { MemberState, MemberUpdate } from "@rhubarbwheel/types/peer-messages";
import type { Member, RouterIdentity } from "@rhubarbwheel/types/slices";

import { chooseByRendezvous, isRankedBefore } from "./chooseByRendezvous.js";
import { forgetAfterMs } from "./membershipSettings.js";

/** A router that may be a member, as listed in the settings or the host list. */
export interface Candidate {
    readonly router: string;
    readonly address: string;
    readonly failureDomain: string;
}

export interface MemberTable {
    /** Applies an update if it supersedes the known state; returns whether it did. */
    readonly apply: (update: MemberUpdate, now: number) => boolean;
    readonly get: (router: string) => Member | undefined;
    /** Alive and suspect members, this router included, sorted by name. The array is replaced on each change. */
    readonly listRoutable: () => readonly Member[];
    readonly findCoordinator: (pool: string) => Member;
    /** Excludes a suspected member from coordinator selection until its state changes. */
    readonly excludeAsCoordinator: (router: string) => void;
    readonly setListed: (listed: readonly Candidate[]) => void;
    readonly isListed: (router: string) => boolean;
    readonly countListed: () => number;
    readonly countListedAlive: () => number;
    /** Listed or known routers that are not routable and have not left. */
    readonly listUnreachable: () => readonly Candidate[];
    /** Forgets unlisted members that have been dead or have left for `forgetAfterMs`; returns their names. */
    readonly removeExpired: (now: number) => readonly string[];
}

const stateRanks: Readonly<Record<MemberState, number>> = { alive: 0, suspect: 1, dead: 2, left: 3 };

function isNewer(update: MemberUpdate, known: Member): boolean {
    if (update.incarnation !== known.incarnation) return update.incarnation > known.incarnation;
    return stateRanks[update.state] > stateRanks[known.state];
}

export function isRoutable(member: { readonly state: MemberState; } | undefined): boolean {
    return member?.state === "alive" || member?.state === "suspect";
}

export function createMemberTable(identity: RouterIdentity, seeds: readonly Candidate[]): MemberTable {
    const self: Member = { ...identity, state: "alive" };
    const members = new Map<string, Member>([[self.router, self]]);
    const changedAt = new Map<string, number>();
    let listed = new Map<string, Candidate>();
    let routable: readonly Member[] | undefined;
    let unreachable: readonly Candidate[] | undefined;
    let listedAlive: number | undefined;
    /** Coordinator of each pool for which `findCoordinator` was called. */
    const coordinators = new Map<string, string>();
    const excludedCoordinators = new Set<string>();

    const clearCaches = () => {
        routable = undefined;
        unreachable = undefined;
        listedAlive = undefined;
    };

    const mayCoordinate = (member: Member | undefined): boolean =>
        member !== undefined && isRoutable(member) && !excludedCoordinators.has(member.router);

    /**
     * Updates the cached coordinators after a change of one member. Ranking all members for every pool on each change
     * takes 52 ms with 2,400 members and 10 pools.
     */
    const updateCoordinators = (router: string) => {
        const isCandidate = mayCoordinate(members.get(router));
        for (const [pool, coordinator] of coordinators) {
            const isCoordinator = coordinator === router;
            if (isCoordinator && !isCandidate) coordinators.delete(pool);
            else if (!isCoordinator && isCandidate && isRankedBefore(pool, router, coordinator))
                coordinators.set(pool, router);
        }
    };

    const setListed = (candidates: readonly Candidate[]) => {
        const named = [identity, ...seeds, ...candidates];
        listed = new Map(
            named.map(({ router, address, failureDomain }) => [router, { router, address, failureDomain }]),
        );
        clearCaches();
    };
    setListed([]);

    const apply = (update: MemberUpdate, now: number): boolean => {
        const known = members.get(update.router);
        if (known !== undefined && !isNewer(update, known)) return false;
        const { router, incarnation, state, address, failureDomain } = update;
        members.set(router, { router, incarnation, state, address, failureDomain });
        changedAt.set(router, now);
        excludedCoordinators.delete(router);
        clearCaches();
        updateCoordinators(router);
        return true;
    };

    // This router counts itself as routable even while it leaves, so that its own requests in progress can complete.
    const listRoutable = () =>
        routable ??= [...members.values()]
            .filter(member => isRoutable(member) || member.router === identity.router)
            .sort((left, right) => (left.router < right.router ? -1 : 1));

    const findCoordinator = (pool: string): Member => {
        const cached = members.get(coordinators.get(pool) ?? "");
        if (cached !== undefined) return cached;
        const names = listRoutable().filter(mayCoordinate).map(member => member.router);
        const chosen = chooseByRendezvous(pool, names);
        // Without candidates nothing is cached, because any later candidate would have to replace it.
        if (chosen === undefined) return members.get(identity.router) ?? self;
        coordinators.set(pool, chosen);
        return members.get(chosen) ?? self;
    };

    const excludeAsCoordinator = (router: string) => {
        if (excludedCoordinators.has(router)) return;
        excludedCoordinators.add(router);
        updateCoordinators(router);
    };

    const listUnreachable = () => {
        if (unreachable !== undefined) return unreachable;
        const dead = [...members.values()].filter(member => member.state === "dead" && !listed.has(member.router));
        const named = [...listed.values()].filter(({ router }) => {
            const member = members.get(router);
            return member === undefined || member.state === "dead";
        });
        unreachable = [...named, ...dead];
        return unreachable;
    };

    const isAlive = (router: string) => router === identity.router || members.get(router)?.state === "alive";
    const countListedAlive = () => listedAlive ??= [...listed.keys()].filter(isAlive).length;

    const removeExpired = (now: number): readonly string[] => {
        const forgotten = [...members.values()]
            .filter(member => member.router !== identity.router && !isRoutable(member) && !listed.has(member.router))
            .filter(member => now - (changedAt.get(member.router) ?? now) >= forgetAfterMs)
            .map(member => member.router);
        for (const router of forgotten) {
            members.delete(router);
            changedAt.delete(router);
            excludedCoordinators.delete(router);
        }
        if (forgotten.length > 0) clearCaches();
        return forgotten;
    };

    return {
        apply,
        get: router => members.get(router),
        listRoutable,
        findCoordinator,
        excludeAsCoordinator,
        setListed,
        isListed: router => listed.has(router),
        countListed: () => listed.size,
        countListedAlive,
        listUnreachable,
        removeExpired,
    };
}
