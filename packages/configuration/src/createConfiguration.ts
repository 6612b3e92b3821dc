/**
 * Configuration slice: replicates the platform's resources, distributes changes between routers by gossip, and tracks
 * the freshness of the replica. Raises `configurationApplied` and `freshnessChanged`. Must handle each event before the
 * slices that query it.
 */
import type { Effect } from "@rhubarbwheel/types/effects";
import type {
    ConfigurationChangedEvent,
    ConfigurationReadEvent,
    HostsListedEvent,
    RouterEvent,
} from "@rhubarbwheel/types/events";
import type {
    ConfigurationDigest,
    ConfigurationRequestMessage,
    ConfigurationUpdateMessage,
    MemberState,
    PeerMessage,
    ProbeAckMessage,
} from "@rhubarbwheel/types/peer-messages";
import type { Resource } from "@rhubarbwheel/types/resources";
import type {
    ConfigurationQueries,
    Member,
    MembershipQueries,
    RouterIdentity,
    Slice,
} from "@rhubarbwheel/types/slices";
import { configurationLogEvents } from "./configurationLogEvents.js";
import { maxChangesLogged, maxResourcesPerUpdate, suspectAfterMs } from "./configurationSettings.js";
import { createConfigurationGossip, type UpdateRange } from "./createConfigurationGossip.js";
import { createDigestConfirmer } from "./createDigestConfirmer.js";
import { createFreshnessTracker, type FreshnessState } from "./createFreshnessTracker.js";
import { createHostView } from "./createHostView.js";
import { createResourceTable } from "./createResourceTable.js";
import { createRevisionRanges } from "./createRevisionRanges.js";
import { createStoreRequestScheduler, type StoreRole } from "./createStoreRequestScheduler.js";
import { createStoreRoles } from "./createStoreRoles.js";
import type { PeerRevision, ResourceQueries } from "./resourceQueries.js";

export interface ConfigurationOptions {
    readonly identity: RouterIdentity;
    readonly membership: MembershipView;
    /** Random number in [0, 1). */
    readonly random: () => number;
}

/** Without the optional queries, membership probes confirm nothing, and every router counts as listed. */
export type MembershipView =
    & Pick<MembershipQueries, "listRoutable" | "countListed" | "countListedAlive" | "getMember">
    & {
        readonly getProbeSentAt?: (sequence: number) => number | undefined;
        readonly isListed?: (router: string) => boolean;
    };

export function createConfiguration(opts: ConfigurationOptions): Slice & ConfigurationQueries & ResourceQueries {
    const { identity, membership, random } = opts;
    const table = createResourceTable();
    const ranges = createRevisionRanges();
    const freshness = createFreshnessTracker();
    const hostView = createHostView();
    const peerRevisions = new Map<string, PeerRevision>();
    let effects: Effect[] = [];
    let currentTime = 0;
    let revision = 0;
    let state: FreshnessState = "empty";
    let role: StoreRole = "none";
    let isStoreUnreachable = false;
    const roles = createStoreRoles(identity, membership.listRoutable);

    const log = (event: number, fields: Readonly<Record<string, string | number | boolean | undefined>>) =>
        effects.push({ type: "log", event, fields });
    const emit = (effect: Effect) => void effects.push(effect);
    const send = (to: Member, message: PeerMessage) =>
        emit({ type: "sendToPeer", router: to.router, address: to.address, message });
    const getDigest = (now: number): ConfigurationDigest => ({
        ...freshness.getDigest(now, revision),
        hosts: hostView.getDigest(now, membership.countListed()),
    });

    const { listRoutable, getMember } = membership;
    const scheduler = createStoreRequestScheduler({ random, countListed: membership.countListed, emit });
    const gossip = createConfigurationGossip({
        self: identity.router,
        random,
        listRoutable,
        getMember,
        send,
        sendUpdate: (to, update) =>
            send(to, { type: "configurationUpdate", ...update, digest: getDigest(currentTime) }),
    });
    const confirmer = createDigestConfirmer({
        self: identity.router,
        random,
        listRoutable,
        getMember,
        sendProbe: (to, sequence) => send(to, { type: "probe", sequence, updates: [], digest: getDigest(currentTime) }),
    });

    /** Updates the freshness state. Runs before an event is handled, so that a resumed process is stale at once. */
    const updateState = (now: number) => {
        const next = freshness.getState(now);
        if (next === state) return;
        log(configurationLogEvents.freshness, {
            from: state,
            to: next,
            revision,
            ageMs: Math.round(freshness.getAgeMs(now)),
        });
        state = next;
        emit({ type: "raise", event: { type: "freshnessChanged", now, freshness: next } });
    };

    const logChanges = (changed: readonly Resource[]) => {
        if (changed.length > maxChangesLogged) {
            log(configurationLogEvents.appliedBatch, { count: changed.length, revision });
            return;
        }
        for (const { kind, name, version, deleted } of changed)
            log(configurationLogEvents.applied, { kind, name, version, revision, deleted: deleted === true });
    };

    /** Applies a range of changes, and pushes those that are new to peers. */
    const applyRange = (update: UpdateRange, from: string | undefined) => {
        const previous = revision;
        const changed = update.resources.filter(table.apply);
        revision = ranges.add(update.fromRevision, update.revision);
        if (revision > previous) freshness.confirmPending(revision);
        if (changed.length === 0) return;
        logChanges(changed);
        emit({ type: "raise", event: { type: "configurationApplied", now: currentTime, changed, revision } });
        // Bulk changes reach other routers by repair from digests, which sends them only once to each.
        if (previous === 0 || changed.length > maxResourcesPerUpdate) return;
        const resources = revision > previous ? table.listChangedAfter(previous) : changed;
        gossip.push({ resources, fromRevision: previous, revision }, from);
    };

    const recordCheck = (failed: boolean, now: number) => {
        freshness.recordCheck(failed, now);
        if (failed === isStoreUnreachable) return;
        isStoreUnreachable = failed;
        log(failed ? configurationLogEvents.storeUnreachable : configurationLogEvents.storeReachable, { revision });
    };

    const handleStoreResponse = (event: ConfigurationReadEvent | ConfigurationChangedEvent) => {
        const isRead = event.type === "configurationRead";
        const isOwnWrite = !isRead && event.ownWrite === true;
        if (!isOwnWrite) {
            const isLate = scheduler.recordResponse(isRead ? "readConfiguration" : "watchConfiguration", event.now);
            recordCheck(isLate, event.now);
        }
        const fromRevision = isRead ? 0 : event.fromRevision;
        const isComplete = fromRevision <= revision;
        applyRange({ resources: event.resources, fromRevision, revision: event.revision }, undefined);
        if (isComplete) freshness.confirm(event.requestSentAt, "store");
        updateState(event.now);
        advanceStoreRequests(event.now);
    };

    const handleUnavailable = (event: Extract<RouterEvent, { readonly type: "platformUnavailable"; }>) => {
        if (event.operation === "listHosts") scheduler.recordHostListFailure();
        if (event.operation !== "readConfiguration" && event.operation !== "watchConfiguration") return;
        const isCompacted = event.revisionGone === true;
        scheduler.recordFailure(event.operation, isCompacted, event.now);
        recordCheck(!isCompacted, event.now);
        if (isCompacted) log(configurationLogEvents.revisionGone, { revision });
    };

    const handlePeerRevision = (router: string, peerRevision: number) => {
        peerRevisions.set(router, { router, revision: peerRevision, heardAt: currentTime });
        if (peerRevision > revision) gossip.request(router, revision, currentTime);
    };

    const handleUpdate = (from: string, message: ConfigurationUpdateMessage) => {
        if (message.leavingTargets !== undefined) hostView.applyLeaving(message.leavingTargets);
        applyRange(message, from);
        if (message.digest.revision <= revision) gossip.endRequest();
        handlePeerRevision(from, message.digest.revision);
    };

    const handleProbeAck = ({ router, sequence, digest }: ProbeAckMessage) => {
        const sentAt = confirmer.getSentAt(sequence) ?? membership.getProbeSentAt?.(sequence);
        const needsLeaving = sentAt !== undefined && digest.hosts !== undefined
            && hostView.applyDigest(digest.hosts, sentAt);
        if (sentAt !== undefined) freshness.applyDigest(router, digest, sentAt, revision);
        handlePeerRevision(router, digest.revision);
        if (needsLeaving) gossip.requestLeaving(router, revision, hostView.getLeavingHash(), currentTime);
        countVotes(currentTime);
    };

    const handleRequest = (from: string, { revision: fromRevision, leavingHash }: ConfigurationRequestMessage) => {
        const needsLeaving = leavingHash !== undefined && leavingHash !== hostView.getLeavingHash();
        if (revision <= fromRevision && !needsLeaving) return;
        const resources = revision <= fromRevision ? [] : table.listChangedAfter(fromRevision);
        const leavingTargets = needsLeaving ? hostView.listLeaving() : undefined;
        gossip.reply(from, { resources, fromRevision, revision: Math.max(revision, fromRevision), leavingTargets });
    };

    const handlePeerMessage = (from: string, message: PeerMessage) => {
        if (message.type === "probe") handlePeerRevision(from, message.digest.revision);
        else if (message.type === "probeAck") handleProbeAck(message);
        else if (message.type === "configurationUpdate") handleUpdate(from, message);
        else if (message.type === "configurationRequest") handleRequest(from, message);
    };

    const countVotes = (now: number) => {
        if (freshness.getStoreAgeMs(now) < suspectAfterMs) return;
        // The seeds may name only a part of the fleet, so a majority needs the host list, read here or by a peer.
        const hasHostList = hostView.hasList();
        const listed = hasHostList ? membership.countListed() : hostView.getReportedRouterCount();
        if (listed === undefined) return;
        const listedAlive = hasHostList ? membership.countListedAlive() : listRoutable().length;
        const isListed = (router: string) => !hasHostList || (membership.isListed?.(router) ?? true);
        freshness.countVotes(now, revision, { listed, listedAlive, isListed });
    };

    const advanceStoreRequests = (now: number) => {
        const next = roles.updateRole(now, freshness.getPeerAgeMs(now));
        if (next !== role) log(configurationLogEvents.role, { from: role, to: next });
        role = next;
        scheduler.advance(now, revision, role, state === "empty");
        scheduler.advanceHostList(now, role, hostView.getAgeMs(now));
    };

    const handleTick = (now: number) => {
        advanceStoreRequests(now);
        if (scheduler.isOverdue(now)) recordCheck(true, now);
        countVotes(now);
        const ages = { storeAgeMs: freshness.getStoreAgeMs(now), ageMs: freshness.getAgeMs(now) };
        confirmer.advance(now, ages, roles.listSources());
    };

    const handleHostsListed = (event: HostsListedEvent) =>
        hostView.applyList(event.hosts, scheduler.recordHostList(event.now));

    const handleMembershipChanged = (router: string, memberState: MemberState) => {
        if (memberState !== "dead" && memberState !== "left") return;
        peerRevisions.delete(router);
        freshness.removePeer(router);
    };

    const reduce = (event: RouterEvent): readonly Effect[] => {
        effects = [];
        currentTime = event.now;
        updateState(event.now);
        if (event.type === "tick") handleTick(event.now);
        else if (event.type === "configurationRead" || event.type === "configurationChanged")
            handleStoreResponse(event);
        else if (event.type === "platformUnavailable") handleUnavailable(event);
        else if (event.type === "peerMessage") handlePeerMessage(event.from, event.message);
        else if (event.type === "hostsListed") handleHostsListed(event);
        else if (event.type === "membershipChanged") handleMembershipChanged(event.router, event.state);
        updateState(event.now);
        return effects;
    };

    const isTargetOpen = (service: string, target: string): boolean => {
        const found = table.findTarget(service, target);
        if (found === undefined || hostView.isLeaving(target)) return false;
        return table.find("failuredomains", found.failureDomain)?.spec.state !== "out";
    };

    return {
        reduce,
        listServices: table.listServices,
        getService: name => {
            const found = table.find("services", name);
            return found === undefined ? undefined : { name, version: found.version, spec: found.spec };
        },
        getWorkspace: name => table.find("workspaces", name)?.spec,
        getFailureDomain: name => table.find("failuredomains", name)?.spec,
        isTargetOpen,
        getFreshness: () => state,
        getDigest,
        listResources: table.list,
        getRevision: () => revision,
        listPeerRevisions: () => [...peerRevisions.values()],
    };
}
