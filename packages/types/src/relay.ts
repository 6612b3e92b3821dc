/** Entries of the store on their way from router to router. Times are monotonic milliseconds of the receiving router. */
import type { ViewEntries, ViewKind } from "./fleet.js";
import type { StorePosition } from "./storePosition.js";
import type { ViewChange } from "./view-events.js";

/** All entries of one kind. */
export interface RelayedList extends StorePosition {
    readonly entries: readonly ViewEntries[ViewKind][];
}

/** Changes of one kind after `fromRevision`, up to and including `revision`, all of one era. */
export interface RelayedChanges extends StorePosition {
    readonly changes: readonly ViewChange[];
    readonly fromRevision: number;
}

export interface StoreConfirmation extends StorePosition {
    /** Time as of which the store had nothing later than this position. */
    readonly confirmedAt: number;
}

/** Confirmation of what was sent up to `fromRevision` of the same era, after which nothing changed. */
export interface RelayedConfirmation extends StoreConfirmation {
    readonly fromRevision: number;
}

/** `gap`: what was sent does not follow what the receiving router knows, so it needs a list. */
export type RelayResult = "applied" | "gap";

/** Provides what a router relays. */
export interface RelaySource {
    /** Undefined until the kind has been listed. */
    readonly getList: (kind: ViewKind) => RelayedList | undefined;
    /** Undefined until the kind has been listed. */
    readonly getPosition: (kind: ViewKind) => StorePosition | undefined;
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
