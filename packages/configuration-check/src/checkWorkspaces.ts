/** Checks workspaces with each other and with the capacity of the services. */
import { defaultQueueTimeoutMs } from "@rhubarbwheel/fair-share/constants";
import { indexCredentials } from "@rhubarbwheel/http-server/createConfigurationIndex";
import { createHash } from "node:crypto";
import { maxOpenCallsPerWorkspace, minSlotTimeMs } from "./checkSettings.js";
import { type ConfigurationEntry, createFinding, type EntryOf, filterByKind, type Finding } from "./finding.js";

type Workspace = EntryOf<"workspaces">;

/** A bearer token has at least one character. */
const emptyTokenHash = createHash("sha256").digest("hex");

export function checkWorkspaces(entries: readonly ConfigurationEntry[]): readonly Finding[] {
    const workspaces = filterByKind(entries, "workspaces");
    const owners = indexCredentials(workspaces);
    return [
        ...workspaces.flatMap(workspace => checkCredentials(workspace, owners)),
        ...workspaces.flatMap(checkQueueLimit),
        ...checkShares(workspaces, filterByKind(entries, "services")),
    ];
}

function checkCredentials(workspace: Workspace, owners: ReadonlyMap<string, string>): readonly Finding[] {
    const { credentialHashes } = workspace.spec;
    const findings = credentialHashes.flatMap((hash, index) => {
        const field = `spec.credentialHashes[${index}]`;
        const owner = owners.get(hash);
        if (hash === emptyTokenHash) return [createEmptyTokenFinding(workspace, field)];
        return owner === workspace.name ? [] : [createSharedCredentialFinding(workspace, field, owner ?? "")];
    });
    if (findings.length < credentialHashes.length) return findings;
    return [
        ...findings,
        createFinding(workspace, "spec.credentialHashes", {
            code: "WORKSPACE_WITHOUT_CREDENTIAL",
            severity: "warning",
            message: "No credential identifies the workspace, so nobody can call with its share.",
            hint: "Add the SHA-256 hash of a token, or delete the workspace.",
        }),
    ];
}

function createEmptyTokenFinding(workspace: Workspace, field: string): Finding {
    return createFinding(workspace, field, {
        code: "CREDENTIAL_NEVER_MATCHES",
        severity: "error",
        message: "This is the hash of an empty text, with which no caller can authenticate.",
        hint: "Check that the variable with the token was set when the hash was computed.",
    });
}

function createSharedCredentialFinding(workspace: Workspace, field: string, owner: string): Finding {
    return createFinding(workspace, field, {
        code: "CREDENTIAL_SHADOWED",
        severity: "error",
        message: `Workspace ${owner} has the same credential; calls with it count for ${owner}.`,
        hint: "Give each workspace its own token.",
    });
}

function checkQueueLimit(workspace: Workspace): readonly Finding[] {
    const { maxQueuedPerRouter = 0 } = workspace.spec;
    if (maxQueuedPerRouter <= maxOpenCallsPerWorkspace) return [];
    return [createFinding(workspace, "spec.maxQueuedPerRouter", {
        code: "QUEUE_LIMIT_UNREACHABLE",
        severity: "warning",
        message: `A router accepts ${maxOpenCallsPerWorkspace} open calls of a workspace by default, so its queue`
            + ` never reaches ${maxQueuedPerRouter}.`,
        hint: "Lower the limit, or set --max-open-calls-per-workspace of the routers to more.",
    })];
}

/** Time for which all targets of the service can run requests before a request that waits times out. */
function computeSlotTimeMs(service: EntryOf<"services">): number {
    const { targets, targetLimit, queueTimeoutMs = defaultQueueTimeoutMs } = service.spec;
    return targets.length * targetLimit * queueTimeoutMs;
}

/** Finds workspaces that get next to nothing at the smallest service while all workspaces have requests waiting. */
function checkShares(workspaces: readonly Workspace[], services: readonly EntryOf<"services">[]): readonly Finding[] {
    const [smallest] = services.filter(service => service.spec.targets.length > 0)
        .sort((left, right) => computeSlotTimeMs(left) - computeSlotTimeMs(right));
    if (smallest === undefined) return [];
    let totalShare = 0;
    for (const { spec } of workspaces) totalShare += spec.share;
    return workspaces.flatMap(workspace => {
        const slotTimeMs = computeSlotTimeMs(smallest) * workspace.spec.share / totalShare;
        if (slotTimeMs >= minSlotTimeMs) return [];
        return [createFinding(workspace, "spec.share", {
            code: "SHARE_TOO_SMALL",
            severity: "warning",
            message: `While all workspaces wait at ${smallest.name}, the share of ${workspace.spec.share} out of`
                + ` ${totalShare} gives ${slotTimeMs.toPrecision(2)} ms at a target within the queue timeout, less than`
                + ` a request needs.`,
            hint: "Raise the share, lower those of others, or add targets.",
        })];
    });
}
