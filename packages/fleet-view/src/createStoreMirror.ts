/**
 * Copy of the store's entries, from which this router relays them to others. Lists and changes arrive from the store
 * and from relays, late and more than once; the mirror passes on only what is newer than what it has, so that no kind
 * ever goes back to an earlier revision.
 */
import type { ViewEntries, ViewKind } from "@rhubarbwheel/types/fleet";
import { viewKindsWithRollouts } from "@rhubarbwheel/types/fleet";
import type { ViewChange } from "@rhubarbwheel/types/placement-events";
import type {
    RelayedChanges,
    RelayedConfirmation,
    RelayedList,
    RelayResult,
    StoreConfirmation,
} from "@rhubarbwheel/types/relay";
import { getEntryName } from "./entryNames.js";
import type { StoreFollowerEvent, ViewEvent } from "./followStore.js";

type AnyEntry = ViewEntries[ViewKind];

export interface StoreMirrorOptions {
    readonly getNow: () => number;
    /** Receives what is new, and failures of the store. */
    readonly emit: (event: ViewEvent) => void;
    /** Called after the entries of a kind have changed. `changes` is omitted after a new list. */
    readonly onUpdated: (kind: ViewKind, changes?: readonly ViewChange[]) => void;
    /** Called for a relayed list that is older than `ownRevision`, which is that of the entries in use. */
    readonly onListIgnored?: (ignored: IgnoredList) => void;
}

export interface IgnoredList {
    readonly kind: ViewKind;
    /** Name of the router that sent the list. */
    readonly relay: string;
    readonly revision: number;
    readonly ownRevision: number;
}

interface KindState {
    readonly entries: Map<string, AnyEntry>;
    /** Undefined until the kind has been listed. */
    revision?: number;
    /** Revision with which the entries last changed. */
    contentRevision: number;
    /** Monotonic time at which the revision last grew. */
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
        contentRevision: 0,
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

    const replaceEntries = (kind: ViewKind, { entries, revision }: RelayedList): void => {
        const state = kinds[kind];
        state.entries.clear();
        for (const entry of entries) state.entries.set(getEntryName(kind, entry), entry);
        state.revision = revision;
        state.contentRevision = revision;
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
        const { entries, revision } = list;
        opts.emit({ type: "viewListed", kind, entries, revision, confirmedAt, ...createSourceField(relay) });
        opts.onUpdated(kind);
    };

    /** Advances the kind to `revision`, which is not less than its own; without changes, only confirms it. */
    const emitChanges = (
        kind: ViewKind,
        changes: readonly ViewChange[],
        revision: number,
        relay?: string,
    ): void => {
        const state = kinds[kind];
        for (const change of changes) applyChange(kind, change);
        if (revision !== state.revision) state.advancedAt = opts.getNow();
        state.revision = revision;
        if (changes.length > 0) state.contentRevision = revision;
        state.emittedConfirmedAt = state.confirmedAt;
        const { confirmedAt } = state;
        opts.emit({ type: "viewChanged", kind, changes, revision, confirmedAt, ...createSourceField(relay) });
        if (changes.length > 0) opts.onUpdated(kind, changes);
    };

    /** Applies changes whose effect is not yet known. Those up to the own revision would undo later ones. */
    const applyChanges = (kind: ViewKind, update: RelayedChanges): void => {
        const { revision = -Infinity } = kinds[kind];
        if (update.revision > revision) emitChanges(kind, update.changes, update.revision);
        else emitChanges(kind, [], revision);
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
            const { revision = -Infinity, advancedAt } = kinds[event.kind];
            // Relayed changes may overtake a list. An older one that was requested after them is that of a store that
            // has lost objects.
            if (event.revision < revision && event.confirmedAt <= advancedAt) return;
            emitList(event.kind, { entries: event.entries, revision: event.revision }, event.confirmedAt);
        },
        /** Applies the list of a relay, unless this router knows something newer. */
        applyRelayedList: (kind: ViewKind, list: RelayedList, relay: string): void => {
            const { revision: ownRevision = -Infinity } = kinds[kind];
            if (list.revision > ownRevision) emitList(kind, list, -Infinity, relay);
            else if (list.revision < ownRevision)
                opts.onListIgnored?.({ kind, relay, revision: list.revision, ownRevision });
        },
        /** Applies changes that a relay has sent after everything up to `fromRevision`. */
        applyRelayedChanges: (kind: ViewKind, update: RelayedChanges, relay: string): RelayResult => {
            const { revision = -Infinity } = kinds[kind];
            if (update.fromRevision > revision) return "gap";
            if (update.revision > revision) emitChanges(kind, update.changes, update.revision, relay);
            return "applied";
        },
        /** Confirms a kind of which a relay has sent everything up to `fromRevision`, and then nothing changed. */
        confirm: (
            kind: ViewKind,
            { fromRevision, revision, confirmedAt }: RelayedConfirmation,
        ): RelayResult => {
            const state = kinds[kind];
            if (state.revision === undefined || fromRevision > state.revision) return "gap";
            // A relay that lacks the last change confirms other entries than those of this router.
            if (revision < state.contentRevision) return "applied";
            recordConfirmation(kind, confirmedAt);
            const isNewer = revision > state.revision;
            if (isNewer || state.confirmedAt - state.emittedConfirmedAt >= minConfirmationAdvanceMs)
                emitChanges(kind, [], Math.max(revision, state.revision));
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
            const { entries, revision } = kinds[kind];
            return revision === undefined ? undefined : { entries: [...entries.values()], revision };
        },
        getRevision: (kind: ViewKind): number | undefined => kinds[kind].revision,
        /** Undefined before the first list, and while requests to the store fail. */
        getConfirmation: (kind: ViewKind): StoreConfirmation | undefined => {
            const { revision, confirmedAt, failingSince } = kinds[kind];
            const isFailing = failingSince !== undefined && opts.getNow() - failingSince > maxFailingMs;
            return revision === undefined || isFailing ? undefined : { revision, confirmedAt };
        },
    };
}

export type StoreMirror = ReturnType<typeof createStoreMirror>;
