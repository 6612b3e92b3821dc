/**
 * Slice that knows which versions of a service may have begun a stream that a caller resumes. The versions that have left
 * are remembered in memory; a router that has started since reads them from the store, where the coordinator of the service
 * records them.
 */
import type { FleetView } from "@rhubarbwheel/fleet-view/createFleetView";
import { createVersionHistory } from "@rhubarbwheel/fleet-view/createVersionHistory";
import type { PlacementEffect, PlacementSlice } from "@rhubarbwheel/types/placement-events";
import type { ServiceVersionsReadEvent, ServiceVersionsWrittenEvent } from "@rhubarbwheel/types/service-versions";
import { computeStreamWindowMs } from "./computeStreamWindowMs.js";
import { coordinatorLogEvents } from "./coordinatorLogEvents.js";

export interface ServiceVersionsOptions {
    readonly view: Pick<
        FleetView,
        "getConfiguration" | "getPool" | "listServices" | "listTargets" | "getAgeMs" | "getEra"
    >;
    /** Whether this router is the first by rank for the service. */
    readonly isFirstByRank: (service: string) => boolean;
}

/** Versions that may have begun a stream which a caller resumes now, as far as a router has seen them. */
export interface SeenVersions {
    readonly versions: readonly string[];
    /** Whether the router has seen all changes since the first of these streams began. */
    readonly isComplete: boolean;
}

export interface ServiceVersions extends PlacementSlice {
    readonly listSeen: (service: string, now: number) => SeenVersions;
    /** Time for which a stream of the service can be resumed; 0 if it has no resumable ones. */
    readonly getWindowMs: (service: string) => number;
    /** Whether the list of targets is so old that it may lack a version. */
    readonly isStale: (now: number) => boolean;
    /** Versions in the record of the store. `unread`: it has to be read. `unavailable`: it could not be read recently. */
    readonly getRecord: (service: string, now: number) => readonly string[] | "unread" | "unavailable";
    /** Returns the effect that reads the record, unless it is being read. */
    readonly read: (service: string) => readonly PlacementEffect[];
}

interface ServiceRecord {
    /** Versions in the store; `undefined` before the first read, empty if this router has to create the record. */
    versions?: readonly string[];
    isReading: boolean;
    isWriting: boolean;
    /** Whether the engines were asked what they run. */
    hasReadRunning: boolean;
    /** Time until which a read or write that has failed is not repeated. */
    retryAt: number;
}

/** Interval at which a coordinator compares the record with the versions in use. */
const checkIntervalMs = 1_000;

/** Age of the list of targets at which it may lack a version that has begun streams. */
const maxTargetsAgeMs = 2_500;

function isSameSet(left: readonly string[], right: readonly string[]): boolean {
    return left.length === right.length && left.every(item => right.includes(item));
}

export function createServiceVersions(opts: ServiceVersionsOptions): ServiceVersions {
    const { view } = opts;
    const history = createVersionHistory();
    const records = new Map<string, ServiceRecord>();
    let checkAt = Infinity;
    let knownEra = 0;

    const getWindowMs = (service: string): number | undefined =>
        computeStreamWindowMs(view.getConfiguration(), service);

    const getOrCreateRecord = (service: string): ServiceRecord => {
        const existing = records.get(service);
        if (existing !== undefined) return existing;
        const record = { isReading: false, isWriting: false, hasReadRunning: false, retryAt: -Infinity };
        records.set(service, record);
        return record;
    };

    const read = (service: string): readonly PlacementEffect[] => {
        const record = getOrCreateRecord(service);
        if (record.isReading) return [];
        record.isReading = true;
        return [{ type: "readServiceVersions", service }];
    };

    const listSeen = (service: string, now: number): SeenVersions => {
        const windowMs = getWindowMs(service) ?? 0;
        return { versions: history.list(service, windowMs, now), isComplete: history.isComplete(windowMs, now) };
    };

    /**
     * Asks the engines what they run. After all routers have lost power, their streams go on at the engines for some time,
     * and nobody else knows which version began them.
     */
    const readRunningCalls = (service: string, record: ServiceRecord): readonly PlacementEffect[] => {
        if (record.hasReadRunning || view.getPool(service)?.engine === undefined) return [];
        record.hasReadRunning = true;
        return view.listTargets()
            .filter(target => target.service === service)
            .map(({ target, address }) => ({ type: "readRunningCalls", service, target, address }));
    };

    const checkRecord = (service: string, now: number): readonly PlacementEffect[] => {
        if (getWindowMs(service) === undefined || !opts.isFirstByRank(service)) return [];
        const record = getOrCreateRecord(service);
        if (record.isReading || record.isWriting || now < record.retryAt) return [];
        if (record.versions === undefined) return read(service);
        const seen = listSeen(service, now);
        const versions = [...new Set([...seen.versions, ...seen.isComplete ? [] : record.versions])].sort();
        const reads = versions.length > 1 && !seen.isComplete ? readRunningCalls(service, record) : [];
        if (versions.length === 0 || isSameSet(versions, record.versions)) return reads;
        record.isWriting = true;
        return [...reads, { type: "writeServiceVersions", service, versions }];
    };

    const checkRecords = (now: number): readonly PlacementEffect[] => {
        checkAt = now + checkIntervalMs;
        return view.listServices().flatMap(service => checkRecord(service, now));
    };

    const handleRead = ({ service, result, versions = [], now }: ServiceVersionsReadEvent): void => {
        const record = getOrCreateRecord(service);
        record.isReading = false;
        // The coordinator creates a missing record; others read it again then.
        const isUsable = result === "ok" || (result === "notFound" && opts.isFirstByRank(service));
        if (isUsable) record.versions = versions;
        else record.retryAt = now + checkIntervalMs;
    };

    const handleWritten = (event: ServiceVersionsWrittenEvent): readonly PlacementEffect[] => {
        const { service, result, versions, reason, now } = event;
        const record = getOrCreateRecord(service);
        record.isWriting = false;
        if (result === "ok") record.versions = versions;
        else record.retryAt = now + checkIntervalMs;
        const fields = { service, versions: versions.join(",") };
        return result === "ok"
            ? [{ type: "log", event: coordinatorLogEvents.serviceVersionsRecorded, fields }]
            : [{ type: "log", event: coordinatorLogEvents.serviceVersionsUnrecorded, fields: { ...fields, reason } }];
    };

    /** An older copy of the store may lack what was recorded since. */
    const checkEra = (): void => {
        const era = view.getEra();
        if (era === knownEra) return;
        knownEra = era;
        for (const record of records.values()) record.versions = undefined;
    };

    return {
        reduce: event => {
            const { now } = event;
            const isView = event.type === "viewListed" || event.type === "viewChanged";
            if (isView && event.kind === "targets") history.update(view.listTargets(), now);
            if (isView) checkEra();
            if (event.type === "serviceVersionsRead") handleRead(event);
            const logs = event.type === "serviceVersionsWritten" ? handleWritten(event) : [];
            const hasNews = event.type === "serviceVersionsRead"
                || (isView && (event.kind === "targets" || event.kind === "routers"));
            return hasNews || now >= checkAt ? [...logs, ...checkRecords(now)] : logs;
        },
        getWakeAt: () => checkAt,
        listSeen,
        getWindowMs: service => getWindowMs(service) ?? 0,
        isStale: now => view.getAgeMs("targets", now) > maxTargetsAgeMs,
        getRecord: (service, now) => {
            const { versions, retryAt = -Infinity } = records.get(service) ?? {};
            if (versions === undefined) return now < retryAt ? "unavailable" : "unread";
            return versions.length === 0 ? "unavailable" : versions;
        },
        read,
    };
}
