/**
 * Finds the version that has begun a stream which a caller resumes. A stream goes on only at targets of that version; one
 * whose version is unknown does not go on, and its caller is told so at once.
 */
import { getVersion } from "@rhubarbwheel/fleet-view/createVersionFilter";
import { finalRetryAfterMs } from "@rhubarbwheel/routing/computeRetryAfterMs";
import type { StreamNoticeMessage, StreamQueryMessage, StreamReplyMessage } from "@rhubarbwheel/types/placement";
import type { RouterMessageEvent } from "@rhubarbwheel/types/placement-events";
import type { RunningCallsReadEvent, ServiceVersionsReadEvent } from "@rhubarbwheel/types/service-versions";
import {
    createRequestFields,
    type EntryContext,
    type EntryRequest,
    failRequest,
    logEntryEvent,
    type PendingLookup,
} from "./entryState.js";
import { placeRequest } from "./placeRequest.js";

/** Timeout for the replies of other routers, and for the record of the store: many round trips. */
const lookupTimeoutMs = 100;

export function isResumableStream({ request }: EntryRequest): boolean {
    return request.kind === "stream" && request.resumable;
}

/** Id under which routers remember the stream: that of the call that brought its first event. */
function getStreamId({ request }: EntryRequest): string {
    return request.resumption?.callerId ?? request.callerId;
}

function refuseResumption(context: EntryContext, entry: EntryRequest, reason: string): void {
    entry.pendingLookup = undefined;
    const resumes = entry.request.resumption?.callerId;
    logEntryEvent(context, "resumptionRefused", { ...createRequestFields(entry), resumes, reason });
    failRequest(context, entry, "STREAM_VERSION_UNKNOWN", finalRetryAfterMs);
}

function placeStream(context: EntryContext, entry: EntryRequest, version: string): void {
    entry.pendingLookup = undefined;
    entry.version = version;
    placeRequest(context, entry);
}

/** Decides by the versions that may have begun the stream: a single one must have. */
function decideByVersions(context: EntryContext, entry: EntryRequest, versions: ReadonlySet<string>): void {
    const [version, ...others] = versions;
    if (version !== undefined && others.length === 0) return placeStream(context, entry, version);
    refuseResumption(context, entry, `begun by one of ${versions.size} versions`);
}

/** Called when no router remembers the stream. */
function handleForgottenStream(context: EntryContext, entry: EntryRequest, lookup: PendingLookup): void {
    const { service } = entry.request;
    // In an outage of the store no version appears, but a router that is cut off does not learn of one that has.
    if (!lookup.isConfirmed && context.serviceVersions.isStale(context.now))
        return refuseResumption(context, entry, "the list of targets is too old");
    if (lookup.isComplete || lookup.versions.size > 1) return decideByVersions(context, entry, lookup.versions);
    const record = context.serviceVersions.getRecord(service, context.now);
    if (record === "unavailable") return refuseResumption(context, entry, "the record of versions is not available");
    if (record !== "unread") return decideByVersions(context, entry, new Set([...lookup.versions, ...record]));
    lookup.timeoutAt = context.now + lookupTimeoutMs;
    context.effects.push(...context.serviceVersions.read(service));
}

export function startResumption(context: EntryContext, entry: EntryRequest): void {
    const { requestId, service } = entry.request;
    const { serviceVersions, now } = context;
    const streamId = getStreamId(entry);
    const known = context.streamVersions.find(streamId, service, now);
    if (known?.version !== undefined) return placeStream(context, entry, known.version);
    if (known !== undefined) return refuseResumption(context, entry, "its version is not certain");
    const seen = serviceVersions.listSeen(service, now);
    const versions = new Set(seen.versions);
    const isFresh = !serviceVersions.isStale(now);
    if (seen.isComplete && isFresh && versions.size === 1) return decideByVersions(context, entry, versions);
    const holders = context.streamHolders.choose(streamId).filter(({ router }) => router !== context.router);
    const lookup: PendingLookup = {
        waitingFor: new Set(holders.map(({ router }) => router)),
        versions,
        isComplete: seen.isComplete,
        isConfirmed: false,
        timeoutAt: now + lookupTimeoutMs,
    };
    entry.pendingLookup = lookup;
    const message = { type: "streamQuery", requestId, service, callerId: streamId } as const;
    for (const { router, address } of holders)
        context.effects.push({ type: "sendToRouter", router, address, message });
    if (holders.length === 0) handleForgottenStream(context, entry, lookup);
}

export function checkPendingLookup(context: EntryContext, entry: EntryRequest): void {
    const { pendingLookup } = entry;
    if (pendingLookup === undefined || context.now < pendingLookup.timeoutAt) return;
    if (pendingLookup.waitingFor.size === 0)
        return refuseResumption(context, entry, "the record of versions is not available");
    pendingLookup.waitingFor.clear();
    handleForgottenStream(context, entry, pendingLookup);
}

/** Whether a router is in another failure domain than this one, which may be cut off as a whole. */
function isRemote(context: EntryContext, router: string): boolean {
    const entry = context.view.listRouters().find(other => other.router === router);
    return entry !== undefined && entry.failureDomain !== context.failureDomain;
}

export function handleStreamReply(context: EntryContext, from: string, reply: StreamReplyMessage): void {
    const entry = context.requests.get(reply.requestId);
    const lookup = entry?.pendingLookup;
    if (entry === undefined || lookup?.waitingFor.delete(from) !== true) return;
    if (reply.isKnown) {
        if (reply.version === undefined) return refuseResumption(context, entry, "its version is not certain");
        return placeStream(context, entry, reply.version);
    }
    lookup.isConfirmed ||= isRemote(context, from);
    lookup.isComplete ||= reply.isComplete;
    for (const version of reply.seenVersions) lookup.versions.add(version);
    if (lookup.waitingFor.size === 0) handleForgottenStream(context, entry, lookup);
}

export function handleServiceVersionsRead(context: EntryContext, { service }: ServiceVersionsReadEvent): void {
    for (const entry of context.requests.values()) {
        const { pendingLookup } = entry;
        if (pendingLookup === undefined || entry.request.service !== service) continue;
        if (pendingLookup.waitingFor.size > 0) continue;
        const record = context.serviceVersions.getRecord(service, context.now);
        if (typeof record === "string") refuseResumption(context, entry, "the record of versions is not available");
        else decideByVersions(context, entry, new Set([...pendingLookup.versions, ...record]));
    }
}

export function handleStreamQuery(
    context: EntryContext,
    { from, address }: RouterMessageEvent,
    { requestId, service, callerId }: StreamQueryMessage,
): void {
    const known = context.streamVersions.find(callerId, service, context.now);
    const seen = context.serviceVersions.listSeen(service, context.now);
    const message = {
        type: "streamReply",
        requestId,
        isKnown: known !== undefined,
        version: known?.version,
        seenVersions: seen.versions,
        isComplete: seen.isComplete,
    } as const;
    context.effects.push({ type: "sendToRouter", router: from, address, message });
}

export function handleStreamNotice(context: EntryContext, notice: StreamNoticeMessage): void {
    const { service, callerId, version, timeLeftMs } = notice;
    context.streamVersions.record(callerId, { service, version, expiresAt: context.now + timeLeftMs }, context.now);
}

/** Time after its deadline for which a stream is remembered; the caller's clock started before the router's. */
const afterDeadlineMs = 2_000;

/**
 * Tells the routers that remember them of the streams that this router has relayed and that callers may resume; needed only
 * while there are several versions. All are announced again once other routers are listed: one that has restarted remembers
 * nothing.
 */
export function announceStreams(context: EntryContext): void {
    const { streamVersions, serviceVersions, now } = context;
    const routers = context.view.listRouters();
    if (routers !== context.announcedTo) streamVersions.resetAnnounced();
    context.announcedTo = routers;
    const isNeeded = (service: string): boolean => serviceVersions.listSeen(service, now).versions.length > 1;
    for (const { callerId, service, version, expiresAt } of streamVersions.takeUnannounced(isNeeded, now)) {
        const message = { type: "streamNotice", service, callerId, version, timeLeftMs: expiresAt - now } as const;
        for (const { router, address } of context.streamHolders.choose(callerId)) {
            if (router !== context.router)
                context.effects.push({ type: "sendToRouter", router, address, message });
        }
    }
}

/** Remembers the version of a stream whose first event the caller has received. */
export function recordStream(context: EntryContext, entry: EntryRequest): void {
    const { attempt } = entry;
    if (attempt === undefined || !isResumableStream(entry)) return;
    const listed = context.view.getTarget(attempt.target);
    // Another process may have taken the name of the target since the attempt was sent.
    entry.isVersionUncertain ||= listed !== undefined
        && (getVersion(listed) !== attempt.version
            || listed.startedAtUnixMs !== attempt.targetStartedAtUnixMs);
    entry.version ??= attempt.version;
    const { service } = entry.request;
    const version = entry.isVersionUncertain ? undefined : entry.version;
    const expiresAt = entry.deadlineAt + afterDeadlineMs;
    context.streamVersions.recordOwn({ callerId: getStreamId(entry), service, version, expiresAt }, context.now);
    announceStreams(context);
}

/** Remembers the streams that an engine still runs for routers that have lost power. */
export function handleRunningCallsRead(context: EntryContext, event: RunningCallsReadEvent): void {
    const { service, target, startedAtUnixMs, callerIds, now } = event;
    const listed = context.view.getTarget(target);
    // Another process may have taken the name of the target.
    if (listed === undefined || listed.startedAtUnixMs !== (startedAtUnixMs ?? listed.startedAtUnixMs)) return;
    const expiresAt = now + context.serviceVersions.getWindowMs(service);
    for (const callerId of callerIds) {
        if (context.streamVersions.find(callerId, service, now) !== undefined) continue;
        context.streamVersions.recordOwn({ callerId, service, version: getVersion(listed), expiresAt }, now);
    }
    announceStreams(context);
}

export function recordCompleteStream(context: EntryContext, entry: EntryRequest): void {
    if (isResumableStream(entry)) context.streamVersions.endOwn(getStreamId(entry));
}
