/**
 * Membership slice: SWIM-style probing, suspicion and refutation. Raises `membershipChanged` for each change of state
 * or incarnation. The work per round is bounded, regardless of the size of the fleet.
 */
import type { Effect } from "@rhubarbwheel/types/effects";
import type { PeerMessageEvent, RouterEvent } from "@rhubarbwheel/types/events";
import type {
    ConfigurationDigest,
    MemberState,
    MemberUpdate,
    PeerMessage,
    ProbeAckMessage,
    ProbeMessage,
    ProbeRequestMessage,
} from "@rhubarbwheel/types/peer-messages";
import type { HostEntry } from "@rhubarbwheel/types/resources";
import type { Member, MembershipQueries, RouterIdentity, Slice } from "@rhubarbwheel/types/slices";

import { type Candidate, createMemberTable, isRoutable } from "./createMemberTable.js";
import { createProber } from "./createProber.js";
import { createUpdateQueue } from "./createUpdateQueue.js";
import {
    coordinatorGraceMs,
    leaveFanout,
    maxUpdatesForJoiner,
    pauseThresholdMs,
    relayTimeoutMs,
    suspicionTimeoutMs,
} from "./membershipSettings.js";

export interface MembershipOptions {
    readonly identity: RouterIdentity;
    readonly seeds: readonly Candidate[];
    /** Random number in [0, 1). */
    readonly random: () => number;
    readonly getDigest: (now: number) => ConfigurationDigest;
}

/** Queries of this slice that `MembershipQueries` does not have. */
export interface ProbeQueries {
    /** Time at which this router sent the probe; the contents of its acknowledgement are no older than that. */
    readonly getProbeSentAt: (sequence: number) => number | undefined;
    /** Whether the router is listed in the settings or the host list. */
    readonly isListed: (router: string) => boolean;
}

/** Numbers of the log events of membership. */
export const membershipLogEvents = {
    alive: 1300,
    suspect: 1301,
    dead: 1302,
    left: 1303,
    refuted: 1304,
    forgotten: 1305,
    paused: 1306,
} as const satisfies Readonly<Record<MemberState, number>> & Readonly<Record<string, number>>;

interface Relay {
    readonly requester: string;
    readonly sequence: number;
    readonly expiresAt: number;
}

export function createMembership(opts: MembershipOptions): Slice & MembershipQueries & ProbeQueries {
    const { identity, random } = opts;
    const table = createMemberTable(identity, opts.seeds);
    const queue = createUpdateQueue();
    const suspicionDeadlines = new Map<string, number>();
    const relays = new Map<number, Relay>();
    let own: MemberUpdate = { ...identity, state: "alive" };
    let effects: Effect[] = [];
    let currentTime = 0;
    let lastEventAt: number | undefined;
    let nextForgetAt = 0;

    const log = (event: number, fields: Readonly<Record<string, string | number>>) =>
        effects.push({ type: "log", event, fields });

    const send = (to: { readonly router: string; readonly address: string; }, message: PeerMessage) =>
        effects.push({ type: "sendToPeer", router: to.router, address: to.address, message });

    /** Includes the recipient's own state if it is not alive in this table, so that it can refute. */
    const createUpdates = (to: string): readonly MemberUpdate[] => {
        const known = table.get(to);
        const updates = queue.take(table.listRoutable().length).filter(update => update.router !== identity.router);
        return known === undefined || known.state === "alive" ? [own, ...updates] : [own, known, ...updates];
    };

    const prober = createProber({
        identity,
        table,
        random,
        sendProbe: (to, message) =>
            send(to, { ...message, updates: createUpdates(to.router), digest: opts.getDigest(currentTime) }),
        sendRequest: (to, message) => send(to, { ...message, updates: createUpdates(to.router) }),
        suspect: router => suspect(router),
    });
    prober.addCandidates(opts.seeds.filter(seed => seed.router !== identity.router));
    queue.push(own);

    const emitChange = (member: Member) => {
        const { router, state, incarnation } = member;
        effects.push({
            type: "raise",
            event: { type: "membershipChanged", now: currentTime, router, state, incarnation },
        });
        log(membershipLogEvents[state], { router, incarnation, failureDomain: member.failureDomain });
    };

    const applyUpdate = (update: MemberUpdate) => {
        if (update.router === identity.router) {
            refute(update);
            return;
        }
        const before = table.get(update.router);
        if (!table.apply(update, currentTime)) return;
        queue.push(update);
        if (update.state === "suspect") suspicionDeadlines.set(update.router, currentTime + suspicionTimeoutMs);
        else suspicionDeadlines.delete(update.router);
        if (isRoutable(update) && !isRoutable(before)) prober.addMember(update.router);
        if (before !== undefined || isRoutable(update)) emitChange(update);
    };

    /** Publishes a higher incarnation when an update calls this router suspect or dead, or has a later incarnation. */
    const refute = (update: MemberUpdate) => {
        const isOutdated = update.state === "alive"
            ? update.incarnation <= own.incarnation
            : update.incarnation < own.incarnation;
        if (isOutdated || own.state === "left") return;
        own = { ...own, incarnation: update.incarnation + 1 };
        table.apply(own, currentTime);
        queue.push(own);
        log(membershipLogEvents.refuted, {
            router: identity.router,
            incarnation: own.incarnation,
            claimed: update.state,
        });
    };

    const suspect = (router: string) => {
        const member = table.get(router);
        if (member?.state === "alive") applyUpdate({ ...member, state: "suspect" });
    };

    const expireSuspicions = (now: number) => {
        for (const [router, deadline] of suspicionDeadlines) {
            const member = table.get(router);
            if (now >= deadline && member !== undefined) applyUpdate({ ...member, state: "dead" });
        }
    };

    /** Builds updates about random members for a joining router, which learns about the rest from later messages. */
    const createJoinUpdates = (joiner: string): readonly MemberUpdate[] => {
        const routable = table.listRoutable();
        const sampled = new Set<Member>();
        const sampleCount = routable.length <= maxUpdatesForJoiner ? 0 : maxUpdatesForJoiner;
        for (let index = 0; index < sampleCount; index++)
            sampled.add(routable[Math.floor(random() * routable.length)] as Member);
        const members = sampleCount === 0 ? routable : [...sampled];
        return members.filter(member => member.router !== joiner && member.router !== identity.router);
    };

    const handleProbe = (from: string, message: ProbeMessage) => {
        const before = table.get(from);
        message.updates.forEach(applyUpdate);
        const sender = table.get(from);
        if (sender === undefined) return;
        const isJoining = !isRoutable(before) || (before?.incarnation ?? 0) < sender.incarnation;
        const updates = isJoining ? [...createUpdates(from), ...createJoinUpdates(from)] : createUpdates(from);
        const { sequence } = message;
        send(sender, {
            type: "probeAck",
            sequence,
            router: identity.router,
            updates,
            digest: opts.getDigest(currentTime),
        });
    };

    const handleProbeAck = (message: ProbeAckMessage) => {
        message.updates.forEach(applyUpdate);
        prober.acknowledge(message.sequence, message.router);
        const relay = relays.get(message.sequence);
        const requester = relay === undefined ? undefined : table.get(relay.requester);
        if (relay === undefined || requester === undefined) return;
        relays.delete(message.sequence);
        send(requester, {
            type: "probeAck",
            sequence: relay.sequence,
            router: message.router,
            updates: message.updates.filter(update => update.router === message.router),
            digest: message.digest,
        });
    };

    const handleProbeRequest = (from: string, message: ProbeRequestMessage) => {
        message.updates.forEach(applyUpdate);
        const member = table.get(message.router);
        if (member === undefined) return;
        const sequence = prober.probeOnBehalf(member, currentTime);
        relays.set(sequence, {
            requester: from,
            sequence: message.sequence,
            expiresAt: currentTime + relayTimeoutMs,
        });
    };

    const handlePeerMessage = ({ from, message }: PeerMessageEvent) => {
        if (message.type === "probe") handleProbe(from, message);
        else if (message.type === "probeAck") handleProbeAck(message);
        else if (message.type === "probeRequest") handleProbeRequest(from, message);
        else if (message.type === "leaving") applyUpdate(message.update);
    };

    const handleUnreachable = (router: string) => {
        const member = table.get(router);
        if (member?.state !== "alive") return;
        suspect(router);
        prober.probeIndirectly(router, prober.probe(member, currentTime));
    };

    const handleHostsListed = (hosts: readonly HostEntry[]) => {
        const routers = hosts.filter(host => host.role === "router")
            .map(({ name, address, failureDomain }) => ({ router: name, address, failureDomain }));
        const added = routers.filter(({ router }) => !table.isListed(router) && table.get(router) === undefined);
        table.setListed(routers);
        prober.addCandidates(added);
    };

    const leave = () => {
        if (own.state === "left") return;
        own = { ...own, state: "left" };
        table.apply(own, currentTime);
        queue.push(own);
        const peers = table.listRoutable().filter(member => member.router !== identity.router);
        const start = Math.floor(random() * peers.length);
        for (const peer of [...peers.slice(start), ...peers.slice(0, start)].slice(0, leaveFanout))
            send(peer, { type: "leaving", update: own });
        emitChange(own);
    };

    /** Restarts all timers after a pause of this process, because they say nothing about other members. */
    const detectPause = (now: number) => {
        const gapMs = now - (lastEventAt ?? now);
        lastEventAt = now;
        if (gapMs < pauseThresholdMs) return;
        prober.reset();
        for (const router of suspicionDeadlines.keys()) suspicionDeadlines.set(router, now + suspicionTimeoutMs);
        log(membershipLogEvents.paused, { gapMs });
    };

    const excludeSuspects = (now: number) => {
        for (const [router, deadline] of suspicionDeadlines)
            if (now >= deadline - suspicionTimeoutMs + coordinatorGraceMs) table.excludeAsCoordinator(router);
    };

    const handleTick = (now: number) => {
        prober.advance(now);
        expireSuspicions(now);
        excludeSuspects(now);
        for (const [sequence, relay] of relays) if (now >= relay.expiresAt) relays.delete(sequence);
        if (now < nextForgetAt) return;
        nextForgetAt = now + suspicionTimeoutMs;
        for (const router of table.removeExpired(now)) log(membershipLogEvents.forgotten, { router });
    };

    const reduce = (event: RouterEvent): readonly Effect[] => {
        effects = [];
        currentTime = event.now;
        detectPause(event.now);
        if (event.type === "tick") handleTick(event.now);
        else if (event.type === "peerMessage") handlePeerMessage(event);
        else if (event.type === "peerUnreachable") handleUnreachable(event.router);
        else if (event.type === "hostsListed") handleHostsListed(event.hosts);
        else if (event.type === "drainRequested") leave();
        return effects;
    };

    return {
        reduce,
        listRoutable: table.listRoutable,
        getMember: table.get,
        countListed: table.countListed,
        countListedAlive: table.countListedAlive,
        findCoordinator: table.findCoordinator,
        getProbeSentAt: prober.getSentAt,
        isListed: table.isListed,
    };
}
