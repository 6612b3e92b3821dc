/** Keeps to what targets have told this router, and passes it on to the coordinator. */
import type { TargetEntry } from "@rhubarbwheel/types/fleet";
import type { TargetNoticedEvent } from "@rhubarbwheel/types/placement-events";
import { computeShare } from "./computeShare.js";
import { type EntryContext, logEntryEvent } from "./entryState.js";
import { localRateRatio, localRateWindowMs, maxRememberedTargets } from "./placementSettings.js";
import { setBounded } from "./setBounded.js";

/** Interval at which a notice that has not changed is sent again, for a new coordinator or after a lost datagram. */
const repeatIntervalMs = 1_000;

const msPerSecond = 1_000;

export function handleTargetNoticed(context: EntryContext, event: TargetNoticedEvent): void {
    const { target, targetStartedAtUnixMs: startedAtUnixMs, notice, sentAt, now } = event;
    const { targetNotices, noticeSentAt } = context;
    const start = { target, startedAtUnixMs };
    const service = context.requests.get(event.requestId)?.request.service ?? context.view.getTarget(target)?.service;
    const isPaused = targetNotices.getPausedUntil(start) > now;
    const hasChanged = targetNotices.record(start, notice, sentAt, now);
    const isDue = now - (noticeSentAt.get(target) ?? -Infinity) >= repeatIntervalMs;
    const isNewPause = notice.pauseMs !== undefined && !isPaused;
    if (hasChanged || isNewPause || (isDue && notice.rateLimit === "unreadable"))
        logEntryEvent(context, "targetNoticed", { target, service, ...notice });
    const coordinator = service === undefined ? undefined : context.coordinators.find(service, now);
    if (coordinator === undefined || (!hasChanged && (!isDue || coordinator.router === context.router))) return;
    setBounded(noticeSentAt, target, now, maxRememberedTargets);
    const { router, address } = coordinator;
    const message = {
        type: "targetNotice",
        ...start,
        ...targetNotices.getShared(start),
        ageMs: now - sentAt,
        isAnnounced: false,
    } as const;
    context.effects.push({ type: "sendToRouter", router, address, message });
}

/** Whether the target wants requests from this router. */
export function isWanted(context: EntryContext, target: TargetEntry): boolean {
    return !context.targetNotices.isLeaving(target) && context.targetNotices.getPausedUntil(target) <= context.now;
}

/** This router's part of a target's rate limit without a coordinator. */
function computeLocalLimit(context: EntryContext, perSecond: number): number {
    return computeShare(context, Math.floor(perSecond * localRateRatio * localRateWindowMs / msPerSecond));
}

export function hasLocalRate(context: EntryContext, target: TargetEntry): boolean {
    const perSecond = context.targetNotices.getRateLimit(target);
    if (perSecond === undefined) return true;
    return context.localRateLimiter.hasCapacity(target.target, computeLocalLimit(context, perSecond), context.now);
}

export function takeLocalRate(context: EntryContext, target: TargetEntry): void {
    if (context.targetNotices.getRateLimit(target) !== undefined)
        context.localRateLimiter.tryTake(target.target, Infinity, context.now);
}

/** Time until one of the targets, all of which are unwanted, wants requests again; undefined if all leave. */
export function computePauseMs(context: EntryContext, targets: readonly TargetEntry[]): number | undefined {
    const { targetNotices } = context;
    const ends = targets.filter(target => !targetNotices.isLeaving(target)).map(targetNotices.getPausedUntil);
    return ends.length === 0 ? undefined : Math.max(0, Math.min(...ends) - context.now);
}
