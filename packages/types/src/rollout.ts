/** Rollouts: operators' orders that move the calls of a service to targets of another version. */
import type { TimedEvent } from "./placement-events.js";

export type RolloutState = "running" | "completed" | "rolledBack";

/** `observing`: the new version gets the canary share. `shifting`: it gets all requests. */
export type RolloutPhase = "observing" | "shifting";

export interface RolloutStatus {
    readonly state: RolloutState;
    readonly targetVersion: string;
    /** Only while running. */
    readonly phase?: RolloutPhase;
    /** Versions that the order replaces. */
    readonly replacedVersions: readonly string[];
    readonly startedAtUnixMs: number;
}

export interface RolloutEntry {
    readonly service: string;
    readonly targetVersion: string;
    readonly durationMs: number;
    /** Revision of the store at which the order was created. */
    readonly createdRevision: number;
    /** Revision on which a write of the status is conditional. */
    readonly revision: number;
    readonly status?: RolloutStatus;
}

/** `conflict`: the order has changed since `revision`. `unavailable`: the status may have been written. */
export type RolloutWriteResult = "ok" | "conflict" | "unavailable";

/** Result of `writeRolloutStatus`. */
export interface RolloutStatusWrittenEvent extends TimedEvent {
    readonly type: "rolloutStatusWritten";
    readonly service: string;
    readonly result: RolloutWriteResult;
    /** Revision on which the write was conditional. */
    readonly revision: number;
    readonly status: RolloutStatus;
    /** The order as the store returned it. */
    readonly entry?: RolloutEntry;
    /** Short reason for logs. */
    readonly reason?: string;
}

/** Writes the status of an order if the order's revision in the store is still `revision`. */
export interface WriteRolloutStatusEffect {
    readonly type: "writeRolloutStatus";
    readonly service: string;
    readonly revision: number;
    readonly status: RolloutStatus;
}
