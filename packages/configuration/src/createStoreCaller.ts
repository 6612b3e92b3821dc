/** Calls to the platform's store: at most one read or watch at a time, with backoff, and the host list. */
import type { Effect } from "@rhubarbwheel/types/effects";

import {
    callLostAfterMs,
    callPaceMsPerRouter,
    callSpacingMs,
    firstBackoffMs,
    firstCallDelayMs,
    hostsUnknownAfterMs,
    listHostsIntervalMs,
    listHostsLostAfterMs,
    maxBackoffMs,
    readGraceMs,
    routersUnknownAfterMs,
    watchGraceMs,
    watchJitterMs,
    watchTimeoutMs,
} from "./configurationSettings.js";

export type CallerRole = "watcher" | "suspect" | "none";

interface OutstandingCall {
    readonly call: "readConfiguration" | "watchConfiguration";
    readonly sentAt: number;
    readonly timeoutMs: number;
}

export interface StoreCaller {
    /** Sends the next read or watch if one is due. */
    readonly advance: (now: number, revision: number, role: CallerRole, isEmpty: boolean) => void;
    /** Reads the host list if that is due; `ageMs` is the age of what is known of it. */
    readonly advanceHosts: (now: number, role: CallerRole, ageMs: number) => void;
    /** Records an answer; returns whether it came too late to count as a working store. */
    readonly recordAnswer: (call: OutstandingCall["call"], now: number) => boolean;
    /** Records a call that failed, or whose revision the store no longer holds. */
    readonly recordFailure: (call: OutstandingCall["call"], revisionGone: boolean, now: number) => void;
    /** Whether a call has been without an answer for so long that the store counts as unreachable. */
    readonly isOverdue: (now: number) => boolean;
    /** Records an answer with the host list; returns the time as of which it holds. */
    readonly recordHosts: (now: number) => number;
    readonly recordHostsFailure: () => void;
}

export interface StoreCallerOptions {
    readonly random: () => number;
    readonly countListed: () => number;
    readonly emit: (effect: Effect) => void;
}

export function createStoreCaller(opts: StoreCallerOptions): StoreCaller {
    const { random, emit } = opts;
    let outstanding: OutstandingCall | undefined;
    let mustRead = false;
    let backoffMs = 0;
    let nextCallAt: number | undefined;
    let lastRole: CallerRole = "none";
    let nextListAt: number | undefined;
    let listSentAt: number | undefined;
    let listReadAt = -Infinity;

    const getPace = () => callPaceMsPerRouter * opts.countListed();

    const isOverdue = (now: number) => {
        if (outstanding === undefined) return false;
        const graceMs = outstanding.call === "readConfiguration" ? readGraceMs : watchGraceMs;
        return now - outstanding.sentAt > outstanding.timeoutMs + graceMs;
    };

    const sendCall = (now: number, revision: number, isEmpty: boolean) => {
        // A router that holds the configuration of its peers goes on from there and need not read everything.
        if (mustRead || isEmpty) {
            outstanding = { call: "readConfiguration", sentAt: now, timeoutMs: 0 };
            emit({ type: "readConfiguration" });
            return;
        }
        // After a failure the store is asked for an immediate answer, so that its return is noticed at once.
        const timeoutMs = backoffMs > 0 ? 0 : Math.round(watchTimeoutMs - random() * watchJitterMs);
        outstanding = { call: "watchConfiguration", sentAt: now, timeoutMs };
        emit({ type: "watchConfiguration", afterRevision: revision, timeoutMs });
    };

    const advanceCalls = (now: number, revision: number, role: CallerRole, isEmpty: boolean) => {
        // A router that knows no member yet ranks first in its failure domain, so each start would read everything.
        nextCallAt ??= opts.countListed() > 1 ? now + firstCallDelayMs : now;
        // Routers that begin to call at the same moment are spread over the time that the pace allows for.
        if (role !== "none" && lastRole === "none") nextCallAt = Math.max(nextCallAt, now + random() * getPace());
        lastRole = role;
        if (outstanding !== undefined && now - outstanding.sentAt > callLostAfterMs) outstanding = undefined;
        if (role === "none" || outstanding !== undefined || now < nextCallAt) return;
        sendCall(now, revision, isEmpty);
    };

    const advanceHosts = (now: number, role: CallerRole, ageMs: number) => {
        nextListAt ??= now + random() * listHostsIntervalMs;
        if (listSentAt !== undefined && now - listSentAt > listHostsLostAfterMs) listSentAt = undefined;
        if (now < nextListAt || listSentAt !== undefined) return;
        const routersAgeMs = now - listReadAt;
        const isKnown = ageMs < hostsUnknownAfterMs && routersAgeMs < Math.max(routersUnknownAfterMs, 10 * getPace());
        if (role !== "watcher" && isKnown) return;
        const intervalMs = role === "watcher" ? listHostsIntervalMs : Math.max(listHostsIntervalMs, getPace());
        nextListAt = now + intervalMs * (0.9 + 0.1 * random());
        listSentAt = now;
        emit({ type: "listHosts" });
    };

    const takeOutstanding = (call: OutstandingCall["call"]) => {
        const taken = outstanding?.call === call ? outstanding : undefined;
        if (taken !== undefined) outstanding = undefined;
        return taken;
    };

    return {
        advance: advanceCalls,
        advanceHosts,
        recordAnswer: (call, now) => {
            const late = isOverdue(now);
            const taken = takeOutstanding(call);
            if (call === "readConfiguration") mustRead = false;
            backoffMs = 0;
            nextCallAt = taken === undefined ? now : Math.max(now, taken.sentAt + callSpacingMs);
            return late;
        },
        recordFailure: (call, revisionGone, now) => {
            takeOutstanding(call);
            if (revisionGone) {
                mustRead = true;
                nextCallAt = now + random() * firstBackoffMs;
                return;
            }
            backoffMs = Math.min(maxBackoffMs, Math.max(firstBackoffMs, 2 * backoffMs));
            const waitMs = lastRole === "watcher" ? backoffMs : Math.max(backoffMs, getPace());
            nextCallAt = now + waitMs * (0.5 + 0.5 * random());
        },
        isOverdue,
        recordHosts: now => {
            const asOf = listSentAt ?? now;
            listSentAt = undefined;
            listReadAt = now;
            return asOf;
        },
        recordHostsFailure: () => void (listSentAt = undefined),
    };
}
