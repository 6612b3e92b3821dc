/** Events that change a router's view of the fleet. */
import type { ViewEntries, ViewKind } from "./fleet.js";
import type { TimedEvent } from "./placement-events.js";
import type { StorePosition } from "./storePosition.js";

/** Complete list of the store's entries of one kind. */
export interface ViewListedEvent<K extends ViewKind = ViewKind> extends TimedEvent, StorePosition {
    readonly type: "viewListed";
    readonly kind: K;
    readonly entries: readonly ViewEntries[K][];
    /** Time as of which the list was current. */
    readonly confirmedAt: number;
    /** Router that relayed the list; omitted for a list from the store. */
    readonly relay?: string;
}

export interface ViewChange<K extends ViewKind = ViewKind> {
    readonly name: string;
    /** Omitted if the entry was removed or cannot be decoded. */
    readonly entry?: ViewEntries[K];
}

/** Changes since the last `viewListed` or `viewChanged` of the same kind, possibly none; of the same era. */
export interface ViewChangedEvent<K extends ViewKind = ViewKind> extends TimedEvent, StorePosition {
    readonly type: "viewChanged";
    readonly kind: K;
    readonly changes: readonly ViewChange<K>[];
    readonly confirmedAt: number;
    /** Router that relayed the changes; omitted for those from the store. */
    readonly relay?: string;
}

/** Another router has the same configuration version; the store confirmed it no earlier than `confirmedAt`. */
export interface ConfigurationConfirmedEvent extends TimedEvent {
    readonly type: "configurationConfirmed";
    readonly version: number;
    readonly confirmedAt: number;
}

/**
 * What a failed request says of the store. `connection`: nothing, because a kept connection failed. `request`: the store
 * works, but this request was refused or its response is unusable. `store`: no response on a new connection, or an error.
 */
export type StoreFailureCause = "connection" | "request" | "store";

/** A list or watch request to the store failed. */
export interface ViewInterruptedEvent extends TimedEvent {
    readonly type: "viewInterrupted";
    readonly kind: ViewKind;
    readonly cause: StoreFailureCause;
    /** Time at which the failed request was sent. */
    readonly requestSentAt: number;
    readonly reason: string;
}

/** A router that relays the store has replied to a request. */
export interface RelayReportedEvent extends TimedEvent {
    readonly type: "relayReported";
    readonly router: string;
    readonly incarnation: number;
    /** Time as of which the store had confirmed each kind at that router; a kind it does not know is omitted. */
    readonly confirmedAt: Readonly<Partial<Record<ViewKind, number>>>;
}

/** The connection to a router that relays the store could not be opened, or was closed. */
export interface RelayLostEvent extends TimedEvent {
    readonly type: "relayLost";
    readonly router: string;
    readonly incarnation: number;
    readonly reason: string;
}
