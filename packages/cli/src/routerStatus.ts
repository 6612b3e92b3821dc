/** Response of `GET /api/v1/status`. */

export interface RouterStatus {
    readonly router: string;
    readonly incarnation: number;
    readonly failureDomain: string;
    readonly freshness: "empty" | "fresh" | "stale";
    readonly revision: number;
    /** Omitted if the configuration was never confirmed. */
    readonly configurationAgeMs?: number;
    readonly draining: boolean;
    readonly members: readonly MemberStatus[];
    readonly pools: readonly PoolStatus[];
    readonly queues: readonly QueueStatus[];
    /** Calls that have not ended, including those that continue to run after their caller has disconnected. */
    readonly openCalls: number;
    readonly traffic: { readonly messages: number; readonly bytes: number; };
    readonly platformCalls: number;
}

export interface MemberStatus {
    readonly router: string;
    readonly failureDomain: string;
    readonly state: "alive" | "suspect" | "dead" | "left";
    readonly incarnation: number;
    /** Configuration revision that the member announced last. */
    readonly revision?: number;
}

export interface PoolStatus {
    readonly pool: string;
    readonly coordinator: string;
    readonly targets: readonly TargetStatus[];
    readonly workspaces: readonly WorkspaceStatus[];
    /** Maximum difference in virtual time between two backlogged workspaces. */
    readonly gap: number;
}

export interface TargetStatus {
    readonly target: string;
    readonly condition: "warm" | "cold" | "closed";
    readonly limit: number;
    /** Omitted, like `running`, if the router that reports the status is not the coordinator of the pool. */
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
