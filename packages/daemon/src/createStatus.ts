/** What `GET /api/v1/status` and `/readyz` report. */
import type { ConfigurationQueries, MembershipQueries, RouterIdentity } from "@rhubarbwheel/types/slices";

export interface PoolStatus {
    readonly pool: string;
    readonly coordinator: string;
    readonly targets: readonly object[];
    readonly workspaces: readonly {
        readonly workspace: string;
        readonly virtualTime: number;
        readonly queued: number;
    }[];
}

export interface StatusOptions {
    readonly identity: RouterIdentity;
    readonly membership: Pick<MembershipQueries, "listRoutable" | "findCoordinator">;
    readonly configuration: Pick<ConfigurationQueries, "getDigest" | "getFreshness" | "listServices">;
    readonly listPeerRevisions: () => readonly { readonly router: string; readonly revision: number; }[];
    readonly listPoolTargets: (pool: string) => readonly object[];
    readonly listPoolWorkspaces: (pool: string) => PoolStatus["workspaces"];
    readonly listQueues: () => readonly object[];
    readonly countOpenCalls: () => number;
    readonly countTraffic: () => { readonly messages: number; readonly bytes: number; };
    readonly countPlatformCalls: () => number;
    readonly isDraining: () => boolean;
    readonly getNow: () => number;
}

export function createStatus(opts: StatusOptions) {
    const buildPool = (pool: string): PoolStatus & { readonly gap: number; } => {
        const workspaces = opts.listPoolWorkspaces(pool);
        const waiting = workspaces.filter(entry => entry.queued > 0).map(entry => entry.virtualTime);
        const gap = waiting.length === 0 ? 0 : Math.max(...waiting) - Math.min(...waiting);
        const coordinator = opts.membership.findCoordinator(pool).router;
        return { pool, coordinator, targets: opts.listPoolTargets(pool), workspaces, gap };
    };

    const buildMembers = () => {
        const revisions = new Map(opts.listPeerRevisions().map(entry => [entry.router, entry.revision]));
        return opts.membership.listRoutable().map(({ router, failureDomain, state, incarnation }) => ({
            router,
            failureDomain,
            state,
            incarnation,
            revision: router === opts.identity.router
                ? opts.configuration.getDigest(opts.getNow()).revision
                : revisions.get(router),
        }));
    };

    return {
        getStatus: () => {
            const { router, incarnation, failureDomain } = opts.identity;
            const digest = opts.configuration.getDigest(opts.getNow());
            return {
                router,
                incarnation,
                failureDomain,
                freshness: opts.configuration.getFreshness(),
                revision: digest.revision,
                configurationAgeMs: digest.confirmedAgeMs,
                draining: opts.isDraining(),
                members: buildMembers(),
                pools: opts.configuration.listServices().map(service => buildPool(service.name)),
                queues: opts.listQueues(),
                openCalls: opts.countOpenCalls(),
                traffic: opts.countTraffic(),
                platformCalls: opts.countPlatformCalls(),
            };
        },
        getReadiness: () => {
            if (opts.isDraining()) return { ready: false, reason: "The router is shutting down." };
            const freshness = opts.configuration.getFreshness();
            if (freshness === "empty")
                return { ready: false, reason: "The router has no confirmed configuration yet." };
            if (freshness === "stale")
                return { ready: false, reason: "The router cannot confirm that its configuration is current." };
            return { ready: true, reason: "ready" };
        },
    };
}
