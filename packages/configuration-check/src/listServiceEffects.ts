/** Lists what callers will notice of a change of a service. */
import { defaultAnswerTimeoutMs, defaultCostPerCall, defaultQueueTimeoutMs } from "@rhubarbwheel/fair-share/constants";
import type { IdempotentRoute, ServiceSpec, TargetSpec } from "@rhubarbwheel/types/resources";
import { formatCount } from "./formatCount.js";

/** `fields` are the changed fields. */
export function listServiceEffects(
    before: ServiceSpec | undefined,
    after: ServiceSpec | undefined,
    fields: readonly string[],
): readonly string[] {
    if (after === undefined) {
        const code = before?.kind === "model" ? "MODEL_UNKNOWN" : "SERVICE_UNKNOWN";
        return [`apply deletes nothing; once it is deleted, calls to it get 404 ${code}`];
    }
    if (before === undefined)
        return [`calls will be accepted; ${formatCount(after.targets.length, "target")} will start cold`];
    if (before.kind !== after.kind)
        return [`changes from ${before.kind} to ${after.kind}: calls in the form used so far get 404`];
    return [
        ...listTargetEffects(before.targets, after.targets),
        ...listSlotEffects(before, after),
        ...listModelEffects(before.models ?? [], after.models ?? []),
        ...listRouteEffects(before.idempotentRoutes ?? [], after.idempotentRoutes ?? []),
        ...fields.flatMap(field => listFieldEffects(field, before, after)),
    ];
}

function listTargetEffects(before: readonly TargetSpec[], after: readonly TargetSpec[]): readonly string[] {
    const [old, desired] = [indexTargets(before), indexTargets(after)];
    const removed = before.filter(target => !desired.has(target.name)).length;
    const added = after.filter(target => !old.has(target.name)).length;
    const moved = after.filter(target => (old.get(target.name) ?? target.address) !== target.address).length;
    return [
        ...(removed > 0 ? [`${formatCount(removed, "target")} will get no new calls; calls in progress finish`] : []),
        ...(added > 0 ? [`${formatCount(added, "more target")} will start cold`] : []),
        ...(moved > 0 ? [`new calls to ${formatCount(moved, "target")} go to another address`] : []),
    ];
}

function indexTargets(targets: readonly TargetSpec[]): ReadonlyMap<string, string> {
    return new Map(targets.map(target => [target.name, target.address]));
}

function listSlotEffects(before: ServiceSpec, after: ServiceSpec): readonly string[] {
    const [old, desired] = [before, after].map(spec => spec.targets.length * spec.targetLimit) as [number, number];
    if (old === desired) return [];
    const consequence = desired < old ? "calls wait sooner" : "calls wait later";
    return [`runs up to ${formatCount(desired, "request")} at once, so far ${old}; ${consequence}`];
}

function listModelEffects(before: readonly string[], after: readonly string[]): readonly string[] {
    const removed = before.filter(model => !after.includes(model));
    const added = after.filter(model => !before.includes(model));
    return [
        ...(removed.length > 0
            ? [`calls for ${removed.join(", ")} get 404 MODEL_UNKNOWN, or go to another service`]
            : []),
        ...(added.length > 0 ? [`calls for ${added.join(", ")} are accepted`] : []),
    ];
}

function listRouteEffects(before: readonly IdempotentRoute[], after: readonly IdempotentRoute[]): readonly string[] {
    const format = (route: IdempotentRoute): string => `${route.method} ${route.pathPrefix}`;
    const [old, desired] = [new Set(before.map(format)), new Set(after.map(format))];
    const removed = [...old].filter(route => !desired.has(route));
    const added = [...desired].filter(route => !old.has(route));
    return [
        ...(removed.length > 0 ? [`calls are no longer retried after a failure: ${removed.join(", ")}`] : []),
        ...(added.length > 0 ? [`calls may run more than once after a failure: ${added.join(", ")}`] : []),
    ];
}

/** Fields whose effect depends on their own values only. */
function listFieldEffects(field: string, before: ServiceSpec, after: ServiceSpec): readonly string[] {
    switch (field) {
        case "queueTimeoutMs": {
            const [from, to] = [before, after].map(spec => spec.queueTimeoutMs ?? defaultQueueTimeoutMs);
            return [`calls that wait get 503 QUEUE_TIMEOUT after ${to} ms, so far after ${from} ms`];
        }
        case "answerTimeoutMs": {
            const [from, to] = [before, after].map(spec => spec.answerTimeoutMs ?? defaultAnswerTimeoutMs);
            return [`calls to a silent target get 504 TARGET_TIMEOUT after ${to} ms, so far after ${from} ms`];
        }
        case "costPerCall": {
            const [from, to] = [before, after].map(spec => spec.costPerCall ?? defaultCostPerCall);
            return [`a call counts ${to} towards the share of its workspace, so far ${from}`];
        }
        case "coldLimit":
            return [
                `a target that has restarted gets ${
                    formatCount(after.coldLimit, "call")
                } at once, so far ${before.coldLimit}`,
            ];
        default:
            return [];
    }
}
