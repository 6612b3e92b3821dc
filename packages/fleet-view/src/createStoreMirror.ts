/**
 * Copy of the store's entries, from which this router relays them to others. Lists and changes arrive from the store
 * and from relays, late and more than once; the mirror passes on only what is later than what it has, so that no kind
 * ever goes back to an earlier position. What belongs to a later era begins with a list.
 */
import type { ViewEntries, ViewKind } from "@rhubarbwheel/types/fleet";
import { viewKindsWithRollouts } from "@rhubarbwheel/types/fleet";
import type {
    RelayedChanges,
    RelayedConfirmation,
    RelayedList,
    RelayResult,
    StoreConfirmation,
} from "@rhubarbwheel/types/relay";
import { isLaterPosition } from "@rhubarbwheel/types/storePosition";
import type { StorePosition } from "@rhubarbwheel/types/storePosition";
import type { ViewChange } from "@rhubarbwheel/types/view-events";
import { getEntryName } from "./entryNames.js";
import type { StoreFollowerEvent, ViewEvent } from "./followStore.js";

type AnyEntry = ViewEntries[ViewKind];

export interface StoreMirrorOptions {
    readonly getNow: () => number;
    /** Receives what is new, and failures of the store. */
    readonly emit: (event: ViewEvent) => void;
    /** Called after the entries of a kind have changed. `changes` is omitted after a new list. */
    readonly onUpdated: (kind: ViewKind, changes?: readonly ViewChange[]) => void;
    /** Called for a relayed list that is older than the entries in use. */
    readonly onListIgnored?: (ignored: IgnoredList) => void;
}

export interface IgnoredList extends StorePosition {
    readonly kind: ViewKind;
    /** Name of the router that sent the list. */
    readonly relay: string;
    /** Position of the entries in use. */
    readonly own: StorePosition;
}

interface KindState {
    readonly entries: Map<string, AnyEntry>;
    /** Undefined until the kind has been listed. */
    position?: StorePosition;
    /** Position at which the entries last changed; undefined until the kind has been listed. */
    contentPosition?: StorePosition;
    /** Monotonic time at which the position last advanced. */
    advancedAt: number;
    confirmedAt: number;
    /** Time of the first failed request since the last confirmation. */
    failingSince?: number;
    /** Confirmation of the last emitted event. */
    emittedConfirmedAt: number;
}

/** Confirmations that advance by less are not emitted, because each one costs processor time. */
const minConfirmationAdvanceMs = 300;

/** Time of failed requests after which this router is no relay; a lost response alone does not matter. */
const maxFailingMs = 500;

/** Field of an event that names the router which relayed it. */
function createSourceField(relay: string | undefined): { readonly relay?: string; } {
    return relay === undefined ? {} : { relay };
}

export function createStoreMirror(opts: StoreMirrorOptions) {
    const kinds = Object.fromEntries(viewKindsWithRollouts.map(kind => [kind, {
        entries: new Map(),
        advancedAt: -Infinity,
        confirmedAt: -Infinity,
        emittedConfirmedAt: -Infinity,
    }])) as unknown as Readonly<Record<ViewKind, KindState>>;

    const applyChange = (kind: ViewKind, { name, entry }: ViewChange): void => {
        // The store names the only entry of the configuration, which has no name of its own.
        const key = kind === "configuration" ? "" : name;
        if (entry === undefined) kinds[kind].entries.delete(key);
        else kinds[kind].entries.set(key, entry);
    };

    const replaceEntries = (kind: ViewKind, { entries, era, revision }: RelayedList): void => {
        const state = kinds[kind];
        state.entries.clear();
        for (const entry of entries) state.entries.set(getEntryName(kind, entry), entry);
        state.position = { era, revision };
        state.contentPosition = state.position;
        state.advancedAt = opts.getNow();
    };

    const recordConfirmation = (kind: ViewKind, confirmedAt: number): void => {
        const state = kinds[kind];
        state.confirmedAt = Math.max(state.confirmedAt, confirmedAt);
        if (state.failingSince !== undefined && state.confirmedAt > state.failingSince) state.failingSince = undefined;
    };

    const emitList = (kind: ViewKind, list: RelayedList, confirmedAt: number, relay?: string): void => {
        replaceEntries(kind, list);
        kinds[kind].emittedConfirmedAt = confirmedAt;
        const { entries, era, revision } = list;
        opts.emit({ type: "viewListed", kind, entries, era, revision, confirmedAt, ...createSourceField(relay) });
        opts.onUpdated(kind);
    };

    /** Advances the kind to a position that is not before its own; without changes, only confirms it. */
    const emitChanges = (
        kind: ViewKind,
        changes: readonly ViewChange[],
        { era, revision }: StorePosition,
        relay?: string,
    ): void => {
        const state = kinds[kind];
        for (const change of changes) applyChange(kind, change);
        if (isLaterPosition({ era, revision }, state.position)) state.advancedAt = opts.getNow();
        state.position = { era, revision };
        if (changes.length > 0) state.contentPosition = state.position;
        state.emittedConfirmedAt = state.confirmedAt;
        const { confirmedAt } = state;
        opts.emit({ type: "viewChanged", kind, changes, era, revision, confirmedAt, ...createSourceField(relay) });
        if (changes.length > 0) opts.onUpdated(kind, changes);
    };

    /** Whether changes after `fromRevision` need entries that this router lacks, so that it must get a list first. */
    const hasGap = (kind: ViewKind, { era, fromRevision }: Pick<RelayedChanges, "era" | "fromRevision">): boolean =>
        isLaterPosition({ era, revision: fromRevision }, kinds[kind].position);

    /** Changes up to the own position would undo later ones, and those of another era do not follow the entries. */
    const isApplicable = (kind: ViewKind, update: RelayedChanges): boolean =>
        update.era === kinds[kind].position?.era && isLaterPosition(update, kinds[kind].position);

    /** Applies changes whose effect is not yet known; the others only confirm what this router has. */
    const applyChanges = (kind: ViewKind, update: RelayedChanges): void => {
        const { position } = kinds[kind];
        if (isApplicable(kind, update)) emitChanges(kind, update.changes, update);
        else if (position !== undefined) emitChanges(kind, [], position);
    };

    return {
        /** Handles an event of this router's own follower of the store. */
        handleStoreEvent: (event: StoreFollowerEvent): void => {
            if (event.type === "viewInterrupted") {
                kinds[event.kind].failingSince ??= opts.getNow();
                return opts.emit(event);
            }
            recordConfirmation(event.kind, event.confirmedAt);
            if (event.type === "viewChanged") return applyChanges(event.kind, event);
            const { position, advancedAt } = kinds[event.kind];
            if (position !== undefined && event.era < position.era) return;
            // Relayed changes may overtake a list. An older one that was requested after them is that of a store that
            // has lost objects without saying so.
            if (position !== undefined && isLaterPosition(position, event) && event.confirmedAt <= advancedAt) return;
            emitList(event.kind, event, event.confirmedAt);
        },
        /** Applies the list of a relay, unless this router knows something newer. */
        applyRelayedList: (kind: ViewKind, list: RelayedList, relay: string): void => {
            const { position: own } = kinds[kind];
            const { era, revision } = list;
            if (isLaterPosition(list, own)) emitList(kind, list, -Infinity, relay);
            else if (own !== undefined && isLaterPosition(own, list))
                opts.onListIgnored?.({ kind, relay, era, revision, own });
        },
        /** Applies changes that a relay has sent after everything up to `fromRevision`. */
        applyRelayedChanges: (kind: ViewKind, update: RelayedChanges, relay: string): RelayResult => {
            if (hasGap(kind, update)) return "gap";
            if (isApplicable(kind, update)) emitChanges(kind, update.changes, update, relay);
            return "applied";
        },
        /** Confirms a kind of which a relay has sent everything up to `fromRevision`, and then nothing changed. */
        confirm: (kind: ViewKind, confirmation: RelayedConfirmation): RelayResult => {
            const state = kinds[kind];
            const { position, contentPosition } = state;
            if (position === undefined || contentPosition === undefined || hasGap(kind, confirmation)) return "gap";
            // A relay that lacks the last change confirms other entries than those of this router.
            if (isLaterPosition(contentPosition, confirmation)) return "applied";
            recordConfirmation(kind, confirmation.confirmedAt);
            const isLater = isLaterPosition(confirmation, position);
            if (isLater || state.confirmedAt - state.emittedConfirmedAt >= minConfirmationAdvanceMs)
                emitChanges(kind, [], isLater ? confirmation : position);
            return "applied";
        },
        /** Marks all kinds as unconfirmed, because the monotonic clock may have stood still. */
        expireConfirmations: (): void => {
            for (const kind of viewKindsWithRollouts) {
                kinds[kind].confirmedAt = -Infinity;
                kinds[kind].emittedConfirmedAt = -Infinity;
            }
        },
        getList: (kind: ViewKind): RelayedList | undefined => {
            const { entries, position } = kinds[kind];
            return position === undefined ? undefined : { entries: [...entries.values()], ...position };
        },
        getPosition: (kind: ViewKind): StorePosition | undefined => kinds[kind].position,
        /** Undefined before the first list, and while requests to the store fail. */
        getConfirmation: (kind: ViewKind): StoreConfirmation | undefined => {
            const { position, confirmedAt, failingSince } = kinds[kind];
            const isFailing = failingSince !== undefined && opts.getNow() - failingSince > maxFailingMs;
            return position === undefined || isFailing ? undefined : { ...position, confirmedAt };
        },
    };
}

export type StoreMirror = ReturnType<typeof createStoreMirror>;
