/** Entries of the store on their way from router to router. Times are monotonic milliseconds of the receiving router. */
import type { ViewEntries, ViewKind } from "./fleet.js";
import type { ViewChange } from "./placement-events.js";

/** All entries of one kind. */
export interface RelayedList {
    readonly entries: readonly ViewEntries[ViewKind][];
    readonly revision: number;
}

/** Changes of one kind after `fromRevision`, up to and including `revision`. */
export interface RelayedChanges {
    readonly changes: readonly ViewChange[];
    readonly fromRevision: number;
    readonly revision: number;
}

export interface StoreConfirmation {
    readonly revision: number;
    /** Time as of which the store had nothing newer than `revision`. */
    readonly confirmedAt: number;
}

/** Confirmation of what was sent up to `fromRevision`, after which nothing changed. */
export interface RelayedConfirmation extends StoreConfirmation {
    readonly fromRevision: number;
}

/** `gap`: what was sent does not follow what the receiving router knows, so it needs a list. */
export type RelayResult = "applied" | "gap";

/** Provides what a router relays. */
export interface RelaySource {
    /** Undefined until the kind has been listed. */
    readonly getList: (kind: ViewKind) => RelayedList | undefined;
    readonly getRevision: (kind: ViewKind) => number | undefined;
    /** Undefined before the first list, and while requests to the store fail. */
    readonly getConfirmation: (kind: ViewKind) => StoreConfirmation | undefined;
}

/** Receives what other routers relay. */
export interface RelaySink {
    /** `relay` is the name of the router that sent the list. */
    readonly applyRelayedList: (kind: ViewKind, list: RelayedList, relay: string) => void;
    readonly applyRelayedChanges: (kind: ViewKind, update: RelayedChanges, relay: string) => RelayResult;
    readonly confirm: (kind: ViewKind, confirmation: RelayedConfirmation) => RelayResult;
}
