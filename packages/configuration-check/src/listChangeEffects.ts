/** Lists what callers will notice of a change of one entry. */
import type { FailureDomainSpec, ServiceSpec, WorkspaceSpec } from "@rhubarbwheel/types/resources";
import { type ConfigurationEntry, filterByKind } from "./finding.js";
import { formatCount } from "./formatCount.js";
import { listServiceEffects } from "./listServiceEffects.js";

/** `fields` are the changed fields; `current` is the configuration in force. */
export function listChangeEffects(
    before: ConfigurationEntry | undefined,
    after: ConfigurationEntry | undefined,
    fields: readonly string[],
    current: readonly ConfigurationEntry[],
): readonly string[] {
    const { kind, name } = after ?? before ?? {};
    const specs = [before?.spec, after?.spec] as const;
    switch (kind) {
        case "workspaces":
            return listWorkspaceEffects(...specs as Specs<WorkspaceSpec>);
        case "services":
            return listServiceEffects(...specs as Specs<ServiceSpec>, fields);
        case "failuredomains":
            return listDomainEffects(...specs as Specs<FailureDomainSpec>, countTargets(current, name ?? ""));
        case undefined:
            return [];
    }
}

type Specs<T> = readonly [before: T | undefined, after: T | undefined];

function countTargets(current: readonly ConfigurationEntry[], failureDomain: string): number {
    return filterByKind(current, "services")
        .flatMap(service => service.spec.targets)
        .filter(target => target.failureDomain === failureDomain).length;
}

function listWorkspaceEffects(before: WorkspaceSpec | undefined, after: WorkspaceSpec | undefined): string[] {
    if (after === undefined)
        return ["apply deletes nothing; once it is deleted, calls with its credentials get 401 CREDENTIAL_UNKNOWN"];
    if (before === undefined) {
        return [
            `calls with ${
                formatCount(after.credentialHashes.length, "credential")
            } will be accepted, with share ${after.share}`,
        ];
    }
    const effects: string[] = [];
    const removedCount = countMissing(before.credentialHashes, after.credentialHashes);
    const addedCount = countMissing(after.credentialHashes, before.credentialHashes);
    if (removedCount > 0)
        effects.push(`calls with ${formatCount(removedCount, "removed credential")} get 401 CREDENTIAL_UNKNOWN`);
    if (addedCount > 0) effects.push(`calls with ${formatCount(addedCount, "more credential")} will be accepted`);
    if (before.share !== after.share) {
        const ratio = (after.share / before.share).toPrecision(3);
        effects.push(
            `its weight against other waiting workspaces is ${ratio} times as great (share ${before.share} to ${after.share})`,
        );
    }
    if (before.maxQueuedPerRouter !== after.maxQueuedPerRouter) {
        const [from, to] = [before.maxQueuedPerRouter ?? "the default", after.maxQueuedPerRouter ?? "the default"];
        effects.push(`calls get 429 QUEUE_FULL beyond ${to} queued requests per router, so far beyond ${from}`);
    }
    return effects;
}

/** Counts the items that are not in `others`. */
function countMissing(items: readonly string[], others: readonly string[]): number {
    const known = new Set(others);
    return items.filter(item => !known.has(item)).length;
}

function listDomainEffects(
    before: FailureDomainSpec | undefined,
    after: FailureDomainSpec | undefined,
    targetCount: number,
): readonly string[] {
    const wasOut = before?.state === "out";
    const isOut = after?.state === "out";
    const targets = formatCount(targetCount, "target");
    if (after === undefined) {
        return [
            wasOut
                ? `apply deletes nothing; once it is deleted, ${targets} will get calls again`
                : "apply deletes nothing",
        ];
    }
    if (wasOut === isOut) return [];
    return isOut
        ? [`${targets} will get no new calls; calls in progress finish`]
        : [`${targets} will get calls again; those that have restarted start cold`];
}
