/**
 * Configuration slice: copies of the platform's resources, their spread between routers, and the freshness of the copy.
 * Raises `configurationApplied` and `freshnessChanged`. Must see each event before the slices that query it.
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
import { createRoles } from "./createRoles.js";
import { type CallerRole, createStoreCaller } from "./createStoreCaller.js";
import type { PeerRevision, ResourceQueries } from "./resourceQueries.js";

export interface ConfigurationOptions {
    readonly identity: RouterIdentity;
    readonly membership: MembershipView;
    /** Seeded source of random numbers in [0, 1). */
    readonly random: () => number;
}

/** Without the optional queries, probes of the membership slice confirm nothing and every router counts as listed. */
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
    let role: CallerRole = "none";
    let storeFailed = false;
    const roles = createRoles(identity, membership.listRoutable);

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
    const caller = createStoreCaller({ random, countListed: membership.countListed, emit });
    const spread = createConfigurationGossip({
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
        ask: (to, sequence) => send(to, { type: "probe", sequence, updates: [], digest: getDigest(currentTime) }),
    });

    /** Follows the time that has passed. Runs before anything else, so that a resumed process is stale at once. */
    const updateState = (now: number) => {
        const next = freshness.getState(now);
        if (next === state) return;
        log(configurationLogEvents.freshness, {
            from: state,
            to: next,
            revision,
            ageMs: Math.round(freshness.getAge(now)),
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

    /** Applies changes that complete the range up to `update.revision`, and passes on what was new. */
    const applyRange = (update: UpdateRange, from: string | undefined) => {
        const previous = revision;
        const changed = update.resources.filter(table.apply);
        revision = ranges.add(update.fromRevision, update.revision);
        if (revision > previous) freshness.reachRevision(revision);
        if (changed.length === 0) return;
        logChanges(changed);
        emit({ type: "raise", event: { type: "configurationApplied", now: currentTime, changed, revision } });
        // Bulk changes reach the other routers by repair, which sends them once instead of several times.
        if (previous === 0 || changed.length > maxResourcesPerUpdate) return;
        const resources = revision > previous ? table.listChangedAfter(previous) : changed;
        spread.push({ resources, fromRevision: previous, revision }, from);
    };

    const recordCheck = (failed: boolean, now: number) => {
        freshness.recordCheck(failed, now);
        if (failed === storeFailed) return;
        storeFailed = failed;
        log(failed ? configurationLogEvents.storeUnreachable : configurationLogEvents.storeReachable, { revision });
    };

    const onStoreAnswer = (event: ConfigurationReadEvent | ConfigurationChangedEvent) => {
        const isRead = event.type === "configurationRead";
        const isOwnWrite = !isRead && event.ownWrite === true;
        if (!isOwnWrite) {
            const isLate = caller.recordAnswer(isRead ? "readConfiguration" : "watchConfiguration", event.now);
            recordCheck(isLate, event.now);
        }
        const fromRevision = isRead ? 0 : event.fromRevision;
        const isComplete = fromRevision <= revision;
        applyRange({ resources: event.resources, fromRevision, revision: event.revision }, undefined);
        if (isComplete) freshness.confirm(event.requestSentAt, "store");
        updateState(event.now);
        advanceCalls(event.now);
    };

    const onUnavailable = (event: Extract<RouterEvent, { readonly type: "platformUnavailable"; }>) => {
        if (event.call === "listHosts") caller.recordHostsFailure();
        if (event.call !== "readConfiguration" && event.call !== "watchConfiguration") return;
        const isGone = event.revisionGone === true;
        caller.recordFailure(event.call, isGone, event.now);
        recordCheck(!isGone, event.now);
        if (isGone) log(configurationLogEvents.revisionGone, { revision });
    };

    const onPeerRevision = (router: string, peerRevision: number) => {
        peerRevisions.set(router, { router, revision: peerRevision, heardAt: currentTime });
        if (peerRevision > revision) spread.request(router, revision, currentTime);
    };

    const onUpdate = (from: string, message: ConfigurationUpdateMessage) => {
        if (message.leavingTargets !== undefined) hostView.readLeaving(message.leavingTargets);
        applyRange(message, from);
        if (message.digest.revision <= revision) spread.endRequest();
        onPeerRevision(from, message.digest.revision);
    };

    const onProbeAck = ({ router, sequence, digest }: ProbeAckMessage) => {
        const sentAt = confirmer.getSentAt(sequence) ?? membership.getProbeSentAt?.(sequence);
        const asksLeaving = sentAt !== undefined && digest.hosts !== undefined
            && hostView.readDigest(digest.hosts, sentAt);
        if (sentAt !== undefined) freshness.readAnswer(router, digest, sentAt, revision);
        onPeerRevision(router, digest.revision);
        if (asksLeaving) spread.requestLeaving(router, revision, hostView.getLeavingHash(), currentTime);
        countVotes(currentTime);
    };

    const onRequest = (from: string, { revision: fromRevision, leavingHash }: ConfigurationRequestMessage) => {
        const wantsLeaving = leavingHash !== undefined && leavingHash !== hostView.getLeavingHash();
        if (revision <= fromRevision && !wantsLeaving) return;
        const resources = revision <= fromRevision ? [] : table.listChangedAfter(fromRevision);
        const leavingTargets = wantsLeaving ? hostView.listLeaving() : undefined;
        spread.answer(from, { resources, fromRevision, revision: Math.max(revision, fromRevision), leavingTargets });
    };

    const onPeerMessage = (from: string, message: PeerMessage) => {
        if (message.type === "probe") onPeerRevision(from, message.digest.revision);
        else if (message.type === "probeAck") onProbeAck(message);
        else if (message.type === "configurationUpdate") onUpdate(from, message);
        else if (message.type === "configurationRequest") onRequest(from, message);
    };

    const countVotes = (now: number) => {
        if (freshness.getStoreAge(now) < suspectAfterMs) return;
        // Seeds may name only a part of the fleet, so a majority needs the host list, read here or by a peer.
        const isRead = hostView.isRead();
        const listed = isRead ? membership.countListed() : hostView.getPeerCount();
        if (listed === undefined) return;
        const listedAlive = isRead ? membership.countListedAlive() : listRoutable().length;
        const isListed = (router: string) => !isRead || (membership.isListed?.(router) ?? true);
        freshness.countVotes(now, revision, { listed, listedAlive, isListed });
    };

    const advanceCalls = (now: number) => {
        const next = roles.choose(now, freshness.getPeerAge(now));
        if (next !== role) log(configurationLogEvents.role, { from: role, to: next });
        role = next;
        caller.advance(now, revision, role, state === "empty");
        caller.advanceHosts(now, role, hostView.getAge(now));
    };

    const onTick = (now: number) => {
        advanceCalls(now);
        if (caller.isOverdue(now)) recordCheck(true, now);
        countVotes(now);
        const ages = { storeAge: freshness.getStoreAge(now), age: freshness.getAge(now) };
        confirmer.advance(now, ages, roles.listSources());
    };

    const onHostsListed = (event: HostsListedEvent) => hostView.read(event.hosts, caller.recordHosts(event.now));

    const onMembershipChanged = (router: string, memberState: MemberState) => {
        if (memberState !== "dead" && memberState !== "left") return;
        peerRevisions.delete(router);
        freshness.forgetPeer(router);
    };

    const reduce = (event: RouterEvent): readonly Effect[] => {
        effects = [];
        currentTime = event.now;
        updateState(event.now);
        if (event.type === "tick") onTick(event.now);
        else if (event.type === "configurationRead" || event.type === "configurationChanged") onStoreAnswer(event);
        else if (event.type === "platformUnavailable") onUnavailable(event);
        else if (event.type === "peerMessage") onPeerMessage(event.from, event.message);
        else if (event.type === "hostsListed") onHostsListed(event);
        else if (event.type === "membershipChanged") onMembershipChanged(event.router, event.state);
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
