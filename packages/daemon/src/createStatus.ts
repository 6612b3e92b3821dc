/** Content of `GET /api/v1/status` and `/readyz`. */
import type { ErrorCode } from "@rhubarbwheel/error/routerError";
import { getErrorKind } from "@rhubarbwheel/error/routerError";
import type { ConfigurationQueries, MembershipQueries, RouterIdentity } from "@rhubarbwheel/types/slices";
import { computeFairnessGap } from "./computeFairnessGap.js";

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
    readonly countStoreRequests: () => number;
    readonly isDraining: () => boolean;
    readonly getNow: () => number;
}

export function createStatus(opts: StatusOptions) {
    const createPoolStatus = (pool: string): PoolStatus & { readonly gap: number; } => {
        const workspaces = opts.listPoolWorkspaces(pool);
        const coordinator = opts.membership.findCoordinator(pool).router;
        const gap = computeFairnessGap(workspaces);
        return { pool, coordinator, targets: opts.listPoolTargets(pool), workspaces, gap };
    };

    const createMemberStatuses = (ownRevision: number) => {
        const revisions = new Map(opts.listPeerRevisions().map(entry => [entry.router, entry.revision]));
        return opts.membership.listRoutable().map(({ router, failureDomain, state, incarnation }) => ({
            router,
            failureDomain,
            state,
            incarnation,
            revision: router === opts.identity.router ? ownRevision : revisions.get(router),
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
                members: createMemberStatuses(digest.revision),
                pools: opts.configuration.listServices().map(service => createPoolStatus(service.name)),
                queues: opts.listQueues(),
                openCalls: opts.countOpenCalls(),
                traffic: opts.countTraffic(),
                platformCalls: opts.countStoreRequests(),
            };
        },
        getReadiness: () => {
            // Same error codes as for calls that are refused in these states.
            if (opts.isDraining()) return reportNotReady("DRAINING");
            const freshness = opts.configuration.getFreshness();
            if (freshness === "empty") return reportNotReady("CONFIGURATION_EMPTY");
            if (freshness === "stale") return reportNotReady("CONFIGURATION_STALE");
            return { ready: true, reason: "ready" };
        },
    };
}

function reportNotReady(code: ErrorCode) {
    return { ready: false, reason: getErrorKind(code).message };
}
