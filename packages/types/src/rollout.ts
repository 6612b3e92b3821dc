/** Rollouts: operators' orders that move the calls of a service to targets of another version. */
import type { TimedEvent } from "./placement-events.js";
import type { StorePosition } from "./storePosition.js";

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

/** An order at the position of its last change, on which a write of the status is conditional. */
export interface RolloutEntry extends StorePosition {
    readonly service: string;
    readonly targetVersion: string;
    readonly durationMs: number;
    /** Revision of the store at which the order was created. */
    readonly createdRevision: number;
    readonly status?: RolloutStatus;
}

/** `conflict`: the order has changed since its position. `unavailable`: the status may have been written. */
export type RolloutWriteResult = "ok" | "conflict" | "unavailable";

/** Result of `writeRolloutStatus`, with the position on which the write was conditional. */
export interface RolloutStatusWrittenEvent extends TimedEvent, StorePosition {
    readonly type: "rolloutStatusWritten";
    readonly service: string;
    readonly result: RolloutWriteResult;
    readonly status: RolloutStatus;
    /** The order as the store returned it. */
    readonly entry?: RolloutEntry;
    /** Short reason for logs. */
    readonly reason?: string;
}

/** Writes the status of an order if the order in the store is still the one of this position. */
export interface WriteRolloutStatusEffect extends StorePosition {
    readonly type: "writeRolloutStatus";
    readonly service: string;
    readonly status: RolloutStatus;
}
