/** Starts an attempt of a request at the target at which it was placed. */
import { getVersion } from "@rhubarbwheel/fleet-view/createVersionFilter";
import type { TargetEntry } from "@rhubarbwheel/types/fleet";
import { computeCost } from "./admission.js";
import {
    computeTimeLeftMs,
    createRequestFields,
    type EntryContext,
    type EntryRequest,
    logEntryEvent,
    type Placement,
} from "./entryState.js";
import { getOrCreatePool } from "./getOrCreatePool.js";
import { roundOptional } from "./roundOptional.js";

export function startAttempt(
    context: EntryContext,
    entry: EntryRequest,
    target: TargetEntry,
    placement: Placement,
): void {
    const { request } = entry;
    const { requestId, workspace, prompt } = request;
    const { prefixSource } = placement;
    entry.attempts += 1;
    const newTokens = placement.newTokens ?? prompt?.promptTokens ?? 0;
    entry.attempt = {
        number: entry.attempts,
        target: target.target,
        version: getVersion(target),
        targetStartedAtUnixMs: target.startedAtUnixMs,
        sentAt: context.now,
        newTokens,
        eventCount: 0,
        cancelled: false,
    };
    getOrCreatePool(context, request.service)?.model.assign(target, {
        requestId,
        target: target.target,
        workspace,
        promptTokens: prompt?.promptTokens ?? 0,
        outputTokens: prompt?.outputTokens ?? 0,
        expectedOutputTokens: prompt?.expectedOutputTokens,
        deadlineAt: entry.deadlineAt,
        eventCount: 0,
        newTokens,
        parts: prompt?.parts,
        assignedAt: context.now,
        expiresAt: Infinity,
    });
    context.effects.push({
        type: "startAttempt",
        requestId,
        attempt: entry.attempts,
        target: target.target,
        targetStartedAtUnixMs: target.startedAtUnixMs,
        address: target.address,
        prefixSourceAddress: prefixSource === undefined ? undefined : context.view.getTarget(prefixSource)?.address,
        workspace,
        timeLimitMs: computeTimeLeftMs(context, entry),
        mayReuseConnection: request.kind === "idempotent" || request.resumable,
    });
    logEntryEvent(context, "requestPlaced", {
        ...createRequestFields(entry),
        target: target.target,
        version: target.version,
        isResumed: request.resumption !== undefined || entry.responseStarted,
        attempt: entry.attempts,
        coordinator: entry.coordinator,
        waitMs: roundOptional(placement.waitMs, 0),
        cost: computeCost(prompt),
        newTokens,
        runningRequests: placement.runningRequests,
        prefixSource,
        placedAfterMs: Math.round(context.now - entry.arrivedAt),
        targetsAgeMs: Math.round(context.view.getAgeMs("targets", context.now)),
    });
}
