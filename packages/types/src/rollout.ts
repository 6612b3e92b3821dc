/** Rollouts: operators' orders that move the calls of a service to targets of another version. */

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
