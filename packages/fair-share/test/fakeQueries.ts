/** Membership and configuration queries for each router of a fake fleet. */
import type { NamedService } from "@rhubarbwheel/types/events";
import type { WorkspaceSpec } from "@rhubarbwheel/types/resources";
import type { ConfigurationQueries, Member, MembershipQueries } from "@rhubarbwheel/types/slices";
import type { FakeClock } from "./fakeClock.js";

export interface FakeRouter<R> {
    readonly member: Member;
    slices: R;
    alive: boolean;
    pausedUntil: number;
    /** Routers in different partitions cannot reach each other. */
    partition: number;
    reachabilityChangedAt: number;
}

export interface Queries {
    readonly membership: MembershipQueries;
    readonly configuration: ConfigurationQueries;
}

export interface QueryOptions<R> {
    readonly routers: ReadonlyMap<string, FakeRouter<R>>;
    readonly clock: FakeClock;
    readonly service: NamedService;
    readonly workspaces: Readonly<Record<string, WorkspaceSpec>>;
    readonly closed: ReadonlySet<string>;
    readonly state: { readonly freshness: "fresh" | "stale"; };
    readonly detectionMs: number;
}

export function createFakeQueries<R>(
    { routers, clock, service, workspaces, closed, state, detectionMs }: QueryOptions<R>,
) {
    const isReachable = (from: FakeRouter<R>, to: FakeRouter<R>) =>
        to.alive && from.partition === to.partition && to.pausedUntil <= clock.getNow();
    const isConsideredAlive = (from: FakeRouter<R>, to: FakeRouter<R>) =>
        isReachable(from, to)
        || clock.getNow() - Math.max(from.reachabilityChangedAt, to.reachabilityChangedAt) < detectionMs;
    const listAlive = (from: FakeRouter<R>) =>
        [...routers.values()].filter(to => to === from || isConsideredAlive(from, to)).map(to => to.member);
    const createQueries = (name: string): Queries => {
        const list = () => listAlive(routers.get(name) as FakeRouter<R>);
        const membership = {
            listRoutable: list,
            getMember: (router: string) => routers.get(router)?.member,
            countListed: () => routers.size,
            countListedAlive: () => list().length,
            // Replaces rendezvous hashing: the first router that is considered alive coordinates every pool.
            findCoordinator: () => list()[0] as Member,
        };
        const configuration: ConfigurationQueries = {
            listServices: () => [service],
            getService: other => other === service.name ? service : undefined,
            getWorkspace: workspace => workspaces[workspace],
            getFailureDomain: () => ({ state: "in" }),
            isTargetOpen: (_, target) => !closed.has(target),
            getFreshness: () => state.freshness,
            getDigest: () => ({ revision: 1, storeUnreachable: false }),
        };
        return { membership, configuration };
    };
    return { isReachable, createQueries };
}
