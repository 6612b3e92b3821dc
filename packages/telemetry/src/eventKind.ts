/** Description of one kind of log event. */
export type EventLevel = "debug" | "info" | "warn" | "error";

export interface EventKind {
    /** Unique name in camelCase. */
    readonly name: string;
    readonly level: EventLevel;
    readonly message: string;
    /** Names of the fields that the event may carry. */
    readonly fields: readonly string[];
}
