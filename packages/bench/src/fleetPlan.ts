/** Plan of a fleet on loopback: failure domains, routers, targets and workspaces. */
import type { ServiceSpec, WorkspaceSpec } from "@rhubarbwheel/types/resources";
import { createHash } from "node:crypto";

export interface WorkspacePlan {
    readonly name: string;
    readonly share: number;
}

export interface ServicePlan {
    readonly name: string;
    readonly kind: "model" | "plain";
    /** Failure domain of each target. */
    readonly failureDomains: readonly string[];
    readonly targetLimit: number;
    readonly coldLimit: number;
    /** Command line flags of the stand-ins, for example `--tokenBaseMs=5`. */
    readonly flags: readonly string[];
    readonly queueTimeoutMs?: number;
}

export interface FleetPlan {
    readonly failureDomains: readonly string[];
    /** Failure domain of each router. */
    readonly routerDomains: readonly string[];
    readonly services: readonly ServicePlan[];
    readonly workspaces: readonly WorkspacePlan[];
    readonly platformFlags?: readonly string[];
    /** Starts a proxy in front of each router's peer port, so that the routers can be partitioned. */
    readonly proxiesPeers?: boolean;
}

export const modelName = "assistant-1";
export const operatorToken = "operator-token-for-development";
export const fleetSecret = "fleet-secret-for-development-only";

/** Assigns `count` processes to the failure domains in round-robin order. */
export function assignDomains(domains: readonly string[], count: number): readonly string[] {
    return Array.from({ length: count }, (_, index) => domains[index % domains.length]!);
}

export function getWorkspaceToken(workspace: string): string {
    return `token-of-${workspace}`;
}

export function createWorkspaceSpec(plan: WorkspacePlan): WorkspaceSpec {
    const hash = createHash("sha256").update(getWorkspaceToken(plan.name)).digest("hex");
    return { share: plan.share, credentialHashes: [hash], maxQueuedPerRouter: 5_000 };
}

export function createServiceSpec(plan: ServicePlan, ports: readonly number[]): ServiceSpec {
    return {
        kind: plan.kind,
        targets: plan.failureDomains.map((failureDomain, index) => ({
            name: `${plan.name}-${index}`,
            address: `http://127.0.0.1:${ports[index]}`,
            failureDomain,
        })),
        targetLimit: plan.targetLimit,
        coldLimit: plan.coldLimit,
        queueTimeoutMs: plan.queueTimeoutMs ?? 30_000,
        ...(plan.kind === "model"
            ? { models: [modelName] }
            : { idempotentRoutes: [{ method: "GET", pathPrefix: "/stock" }] }),
    };
}
