/** Schedules requests to the platform's store: one full read or watch at a time, with backoff, and the host list. */
import type { Effect } from "@rhubarbwheel/types/effects";

import {
    firstStoreRequestDelayMs,
    initialBackoffMs,
    listHostsIntervalMs,
    listHostsTimeoutMs,
    maxBackoffMs,
    maxHostListAgeMs,
    maxRouterListAgeMs,
    minStoreRequestIntervalMs,
    readGraceMs,
    storeRequestExpiryMs,
    storeRequestIntervalMsPerRouter,
    watchGraceMs,
    watchJitterMs,
    watchTimeoutMs,
} from "./configurationSettings.js";

export type StoreRole = "watcher" | "suspect" | "none";

interface OutstandingRequest {
    readonly operation: "readConfiguration" | "watchConfiguration";
    readonly sentAt: number;
    readonly timeoutMs: number;
}

export interface StoreRequestScheduler {
    /** Sends the next full read or watch if one is due. */
    readonly advance: (now: number, revision: number, role: StoreRole, isEmpty: boolean) => void;
    /** Requests the host list if that is due; `ageMs` is the age of the known list. */
    readonly advanceHostList: (now: number, role: StoreRole, ageMs: number) => void;
    /** Records a response; returns whether it came so late that the check of the store counts as failed. */
    readonly recordResponse: (operation: OutstandingRequest["operation"], now: number) => boolean;
    /** Records a request that failed, or whose revision the store has compacted. */
    readonly recordFailure: (operation: OutstandingRequest["operation"], revisionGone: boolean, now: number) => void;
    /** Whether the outstanding request is so late that the store counts as unreachable. */
    readonly isOverdue: (now: number) => boolean;
    /** Records a response with the host list; returns the time as of which the list is valid. */
    readonly recordHostList: (now: number) => number;
    readonly recordHostListFailure: () => void;
}

export interface StoreRequestSchedulerOptions {
    readonly random: () => number;
    readonly countListed: () => number;
    readonly emit: (effect: Effect) => void;
}

export function createStoreRequestScheduler(opts: StoreRequestSchedulerOptions): StoreRequestScheduler {
    const { random, emit } = opts;
    let outstanding: OutstandingRequest | undefined;
    let mustRead = false;
    let backoffMs = 0;
    let nextRequestAt: number | undefined;
    let lastRole: StoreRole = "none";
    let nextListAt: number | undefined;
    let listSentAt: number | undefined;
    let listReadAt = -Infinity;

    const getRequestIntervalMs = () => storeRequestIntervalMsPerRouter * opts.countListed();

    const isOverdue = (now: number) => {
        if (outstanding === undefined) return false;
        const graceMs = outstanding.operation === "readConfiguration" ? readGraceMs : watchGraceMs;
        return now - outstanding.sentAt > outstanding.timeoutMs + graceMs;
    };

    const sendRequest = (now: number, revision: number, isEmpty: boolean) => {
        // A router that got its configuration from peers watches from that revision and needs no full read.
        if (mustRead || isEmpty) {
            outstanding = { operation: "readConfiguration", sentAt: now, timeoutMs: 0 };
            emit({ type: "readConfiguration" });
            return;
        }
        // After a failure the store is asked for an immediate response, so that its recovery is noticed at once.
        const timeoutMs = backoffMs > 0 ? 0 : Math.round(watchTimeoutMs - random() * watchJitterMs);
        outstanding = { operation: "watchConfiguration", sentAt: now, timeoutMs };
        emit({ type: "watchConfiguration", afterRevision: revision, timeoutMs });
    };

    const advanceRequests = (now: number, revision: number, role: StoreRole, isEmpty: boolean) => {
        // A router that knows no other member ranks first in its failure domain, so each start would cause a full read.
        nextRequestAt ??= opts.countListed() > 1 ? now + firstStoreRequestDelayMs : now;
        // Spreads the first requests of routers that start to send them at the same time over one request interval.
        if (role !== "none" && lastRole === "none")
            nextRequestAt = Math.max(nextRequestAt, now + random() * getRequestIntervalMs());
        lastRole = role;
        if (outstanding !== undefined && now - outstanding.sentAt > storeRequestExpiryMs) outstanding = undefined;
        if (role === "none" || outstanding !== undefined || now < nextRequestAt) return;
        sendRequest(now, revision, isEmpty);
    };

    const advanceHostList = (now: number, role: StoreRole, ageMs: number) => {
        nextListAt ??= now + random() * listHostsIntervalMs;
        if (listSentAt !== undefined && now - listSentAt > listHostsTimeoutMs) listSentAt = undefined;
        if (now < nextListAt || listSentAt !== undefined) return;
        const routersAgeMs = now - listReadAt;
        const isCurrent = ageMs < maxHostListAgeMs
            && routersAgeMs < Math.max(maxRouterListAgeMs, 10 * getRequestIntervalMs());
        if (role !== "watcher" && isCurrent) return;
        const intervalMs = role === "watcher"
            ? listHostsIntervalMs
            : Math.max(listHostsIntervalMs, getRequestIntervalMs());
        nextListAt = now + intervalMs * (0.9 + 0.1 * random());
        listSentAt = now;
        emit({ type: "listHosts" });
    };

    const takeOutstanding = (operation: OutstandingRequest["operation"]) => {
        const taken = outstanding?.operation === operation ? outstanding : undefined;
        if (taken !== undefined) outstanding = undefined;
        return taken;
    };

    return {
        advance: advanceRequests,
        advanceHostList,
        recordResponse: (operation, now) => {
            const isLate = isOverdue(now);
            const taken = takeOutstanding(operation);
            if (operation === "readConfiguration") mustRead = false;
            backoffMs = 0;
            nextRequestAt = taken === undefined ? now : Math.max(now, taken.sentAt + minStoreRequestIntervalMs);
            return isLate;
        },
        recordFailure: (operation, revisionGone, now) => {
            takeOutstanding(operation);
            if (revisionGone) {
                mustRead = true;
                nextRequestAt = now + random() * initialBackoffMs;
                return;
            }
            backoffMs = Math.min(maxBackoffMs, Math.max(initialBackoffMs, 2 * backoffMs));
            const delayMs = lastRole === "watcher" ? backoffMs : Math.max(backoffMs, getRequestIntervalMs());
            nextRequestAt = now + delayMs * (0.5 + 0.5 * random());
        },
        isOverdue,
        recordHostList: now => {
            const asOf = listSentAt ?? now;
            listSentAt = undefined;
            listReadAt = now;
            return asOf;
        },
        recordHostListFailure: () => void (listSentAt = undefined),
    };
}
