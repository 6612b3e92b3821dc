/** Events and effects of the versions of services and of their streams. */
import type { TimedEvent } from "./placement-events.js";

/** Result of `readServiceVersions`. */
export interface ServiceVersionsReadEvent extends TimedEvent {
    readonly type: "serviceVersionsRead";
    readonly service: string;
    readonly result: "ok" | "notFound" | "unavailable";
    /** Versions that streams in progress may have, if there is a record. */
    readonly versions?: readonly string[];
    readonly reason?: string;
}

/** Result of `writeServiceVersions`. */
export interface ServiceVersionsWrittenEvent extends TimedEvent {
    readonly type: "serviceVersionsWritten";
    readonly service: string;
    readonly versions: readonly string[];
    readonly result: "ok" | "unavailable";
    readonly reason?: string;
}

/** Result of `readRunningCalls`. */
export interface RunningCallsReadEvent extends TimedEvent {
    readonly type: "runningCallsRead";
    readonly service: string;
    readonly target: string;
    /** Start of the process that responded, if it reports one. */
    readonly startedAtUnixMs?: number;
    /** Ids that the callers gave the calls which the target runs. */
    readonly callerIds: readonly string[];
}

/** Reads from the store which versions of a service streams in progress may have. */
export interface ReadServiceVersionsEffect {
    readonly type: "readServiceVersions";
    readonly service: string;
}

/** Records them in the store. */
export interface WriteServiceVersionsEffect {
    readonly type: "writeServiceVersions";
    readonly service: string;
    readonly versions: readonly string[];
}

/** Reads which calls an engine runs; some may be streams of routers that have lost power. */
export interface ReadRunningCallsEffect {
    readonly type: "readRunningCalls";
    readonly service: string;
    readonly target: string;
    readonly address: string;
}
