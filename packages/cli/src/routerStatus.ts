/** The answer of `GET /api/v1/status`. */

export interface RouterStatus {
    readonly router: string;
    readonly incarnation: number;
    readonly failureDomain: string;
    readonly freshness: "empty" | "fresh" | "stale";
    readonly revision: number;
    /** Missing when the configuration was never confirmed. */
    readonly configurationAgeMs?: number;
    readonly draining: boolean;
    readonly members: readonly MemberStatus[];
    readonly pools: readonly PoolStatus[];
    readonly queues: readonly QueueStatus[];
    /** Calls that this router has not answered yet, those that run on after their caller has gone included. */
    readonly openCalls: number;
    readonly traffic: { readonly messages: number; readonly bytes: number; };
    readonly platformCalls: number;
}

export interface MemberStatus {
    readonly router: string;
    readonly failureDomain: string;
    readonly state: "alive" | "suspect" | "dead" | "left";
    readonly incarnation: number;
    /** Configuration revision that the member last announced. */
    readonly revision?: number;
}

export interface PoolStatus {
    readonly pool: string;
    readonly coordinator: string;
    readonly targets: readonly TargetStatus[];
    readonly workspaces: readonly WorkspaceStatus[];
    readonly gap: number;
}

export interface TargetStatus {
    readonly target: string;
    readonly condition: "warm" | "cold" | "closed";
    readonly limit: number;
    /** Missing, like `running`, when the router that was asked is not the coordinator of the pool. */
    readonly held?: number;
    readonly running?: number;
}

export interface WorkspaceStatus {
    readonly workspace: string;
    readonly virtualTime: number;
    readonly queued: number;
}

export interface QueueStatus {
    readonly service: string;
    readonly workspace: string;
    readonly queued: number;
    readonly inProgress: number;
}
