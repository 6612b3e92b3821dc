/** Keeps a view of one kind of entries in sync with the platform's store: lists them once, then watches for changes. */
import type { ViewEntries, ViewKind } from "@rhubarbwheel/types/fleet";
import { isLaterPosition } from "@rhubarbwheel/types/storePosition";
import type { StorePosition } from "@rhubarbwheel/types/storePosition";
import type {
    StoreFailureCause,
    ViewChange,
    ViewChangedEvent,
    ViewInterruptedEvent,
    ViewListedEvent,
} from "@rhubarbwheel/types/view-events";

/** Entries at a position, from which to watch for changes. */
export interface StoreList<K extends ViewKind> extends StorePosition {
    readonly entries: readonly ViewEntries[K][];
}

/** The newest entries up to this position cannot be applied, so what was applied before them is no longer confirmed. */
export interface InvalidContents extends StorePosition {
    readonly type: "invalid";
    readonly reason: string;
}

export interface StoreUnavailable {
    readonly type: "unavailable";
    readonly cause: StoreFailureCause;
    readonly reason: string;
}

export type StoreListResult<K extends ViewKind> =
    | { readonly type: "listed"; readonly list: StoreList<K>; }
    | InvalidContents
    | StoreUnavailable;

export type StoreWatchResult<K extends ViewKind> =
    | { readonly type: "changed"; readonly changes: readonly ViewChange<K>[]; } & StorePosition
    | InvalidContents
    /** The history since the revision has been compacted; a relist is needed. */
    | { readonly type: "historyGone"; }
    | StoreUnavailable;

/** Event for the reducer. */
export type ViewEvent =
    | Omit<ViewListedEvent, "now">
    | Omit<ViewChangedEvent, "now">
    | Omit<ViewInterruptedEvent, "now">;

/** Changes after `fromRevision`, up to and including `revision`. */
export type StoreChangedEvent = Omit<ViewChangedEvent, "now"> & { readonly fromRevision: number; };

export type StoreFollowerEvent = Omit<ViewListedEvent, "now"> | StoreChangedEvent | Omit<ViewInterruptedEvent, "now">;

export interface StoreFollowerOptions<K extends ViewKind> {
    readonly kind: K;
    readonly list: () => Promise<StoreListResult<K>>;
    /** Resolves when something has changed since `revision` of the store's present era, or after `timeoutMs`. */
    readonly watch: (revision: number, timeoutMs: number) => Promise<StoreWatchResult<K>>;
    /** Maximum duration of one watch; bounds the time to detect a dead connection. */
    readonly watchTimeoutMs: number;
    /**
     * Whether the age of the view matters. If so, the first watch after a list or a change gets a shorter, random
     * timeout: a response with changes confirms the view only as of its request, and routers that confirm for each
     * other must not all be confirmed at the same time after one change has ended all their watches.
     */
    readonly needsFreshConfirmation?: boolean;
    /** Delay after a change, so that several in quick succession are read in one request; none if omitted. */
    readonly debounceMs?: number;
    /** Position up to which changes are known from elsewhere, such as another router; not used if undefined. */
    readonly getKnownPosition?: () => StorePosition | undefined;
    /** Waits while another router relays the changes, so that no watch is needed; at once if omitted. */
    readonly waitUntilNeeded?: () => Promise<void>;
    readonly emit: (event: StoreFollowerEvent) => void;
    readonly getNow: () => number;
    readonly sleep: (ms: number) => Promise<void>;
    /** Waits after a failed request, and may return early; `sleep` if omitted. */
    readonly waitForBackoff?: (ms: number) => Promise<void>;
    /** Maximum backoff before jitter; `maxBackoffMs` if omitted. */
    readonly getMaxBackoffMs?: () => number;
    /** Called after each request to which the store has responded. */
    readonly onResponse?: () => void;
    /** Random number in [0, 1) for jitter, which keeps routers from sending requests all at once. */
    readonly random: () => number;
}

/** Backoff after the first failed request; doubles with each further failure. */
const initialBackoffMs = 50;

/** Timeout of the watch after a failed request, and minimum of that after a list or a change. */
const minWatchTimeoutMs = 300;

/** Maximum backoff; a recovered store must be noticed in a fraction of the time in which a change takes effect. */
export const maxBackoffMs = 400;

export interface StoreFollower {
    readonly stop: () => void;
    /** Lists everything again at once, for example after the host may have been suspended. */
    readonly relist: () => void;
}

export function followStore<K extends ViewKind>(opts: StoreFollowerOptions<K>): StoreFollower {
    const { kind } = opts;
    let stopped = false;
    let failures = 0;
    /** Position from which to watch; `undefined` if a relist is needed. */
    let position: StorePosition | undefined;
    /** Incremented by a relist, so that responses to earlier requests are ignored. */
    let epoch = 0;
    let nextWatchTimeoutMs = opts.watchTimeoutMs;
    /** The newest entries, if they cannot be applied. */
    let invalid: InvalidContents | undefined;

    /** Draws the timeout of the next watch after the view was confirmed as of `confirmedAt`. */
    const updateNextWatchTimeout = (confirmedAt: number): void => {
        if (opts.needsFreshConfirmation !== true) return;
        const remainingMs = opts.watchTimeoutMs - (opts.getNow() - confirmedAt);
        nextWatchTimeoutMs = Math.round(Math.max(minWatchTimeoutMs, remainingMs * opts.random()));
    };

    const handleFailure = async ({ cause, reason }: StoreUnavailable, requestSentAt: number): Promise<void> => {
        opts.emit({ type: "viewInterrupted", kind, cause, requestSentAt, reason });
        // Shows soon whether the store responds again.
        nextWatchTimeoutMs = Math.min(opts.watchTimeoutMs, minWatchTimeoutMs);
        // The next request opens a connection.
        if (cause === "connection") return;
        const backoffMs = Math.min(opts.getMaxBackoffMs?.() ?? maxBackoffMs, initialBackoffMs * 2 ** failures);
        failures += 1;
        await (opts.waitForBackoff ?? opts.sleep)(backoffMs * (0.5 + opts.random()));
    };

    const recordResponse = (): void => {
        failures = 0;
        opts.onResponse?.();
    };

    const handleInvalid = (contents: InvalidContents, requestSentAt: number): void => {
        invalid = contents;
        position = contents;
        opts.emit({ type: "viewInterrupted", kind, cause: "request", requestSentAt, reason: contents.reason });
    };

    const listOnce = async (): Promise<void> => {
        const confirmedAt = opts.getNow();
        const listEpoch = epoch;
        const result = await opts.list();
        if (stopped || listEpoch !== epoch) return;
        if (result.type === "unavailable") return handleFailure(result, confirmedAt);
        recordResponse();
        if (result.type === "invalid") return handleInvalid(result, confirmedAt);
        invalid = undefined;
        const { entries, era, revision } = result.list;
        position = { era, revision };
        opts.emit({ type: "viewListed", kind, entries, era, revision, confirmedAt });
        updateNextWatchTimeout(confirmedAt);
    };

    const watchOnce = async (ownPosition: StorePosition): Promise<void> => {
        const watchEpoch = epoch;
        await opts.waitUntilNeeded?.();
        if (stopped || watchEpoch !== epoch) return;
        const known = opts.getKnownPosition?.() ?? ownPosition;
        const from = isLaterPosition(known, ownPosition) ? known : ownPosition;
        // Another router has relayed newer entries, which replace the invalid ones.
        if (invalid !== undefined && isLaterPosition(from, invalid)) invalid = undefined;
        const requestSentAt = opts.getNow();
        const timeoutMs = nextWatchTimeoutMs;
        nextWatchTimeoutMs = opts.watchTimeoutMs;
        const result = await opts.watch(from.revision, timeoutMs);
        if (stopped || watchEpoch !== epoch) return;
        if (result.type === "unavailable") return handleFailure(result, requestSentAt);
        // The changes after a revision say nothing to a router that knows this revision of another era. Within an era,
        // revisions only grow, so a lower one comes from another store or one that has lost its objects.
        if (result.type === "historyGone" || result.era !== from.era || result.revision < from.revision) {
            position = undefined;
            return;
        }
        recordResponse();
        if (result.type === "invalid") return handleInvalid(result, requestSentAt);
        if (result.changes.length > 0) invalid = undefined;
        const { changes, era, revision } = result;
        if (invalid !== undefined) return handleInvalid({ ...invalid, era, revision }, requestSentAt);
        position = { era, revision };
        // A response without changes is sent only at the end of the timeout.
        const confirmedAt = changes.length === 0
            ? Math.min(opts.getNow(), requestSentAt + timeoutMs)
            : requestSentAt;
        const fromRevision = from.revision;
        opts.emit({ type: "viewChanged", kind, changes, era, fromRevision, revision, confirmedAt });
        if (changes.length === 0) return;
        if (opts.debounceMs !== undefined) await opts.sleep(opts.debounceMs);
        updateNextWatchTimeout(requestSentAt);
    };

    const run = async (): Promise<void> => {
        const runEpoch = epoch;
        while (!stopped && runEpoch === epoch) await (position === undefined ? listOnce() : watchOnce(position));
    };

    void run();
    return {
        stop: () => {
            stopped = true;
        },
        relist: () => {
            epoch += 1;
            position = undefined;
            void run();
        },
    };
}
