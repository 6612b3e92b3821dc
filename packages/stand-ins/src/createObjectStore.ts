/** Object store of the platform stand-in: versions, conditional writes, tombstones and a bounded history. */

export interface StoredObject {
    readonly kind: string;
    readonly name: string;
    /** Starts at 1 and increases by exactly one with each change of this object, deletions included. */
    readonly version: number;
    /** Revision of the store as of this change. */
    readonly revision: number;
    /** Identifies the write that made this change. */
    readonly writeId: string;
    /** Marks a tombstone, which keeps the last value. */
    readonly deleted?: boolean;
    readonly value: unknown;
}

export interface ObjectWrite {
    readonly kind: string;
    readonly name: string;
    /** Version that must be current; 0 if neither an object nor a tombstone may exist. */
    readonly expectedVersion: number;
    readonly writeId: string;
    /** Omitted for a deletion. */
    readonly value?: unknown;
}

export type ObjectWriteResult =
    | { readonly type: "applied"; readonly object: StoredObject; }
    | { readonly type: "conflict"; readonly current: StoredObject | undefined; };

export type ObjectChanges =
    | { readonly type: "changes"; readonly revision: number; readonly changes: readonly StoredObject[]; }
    | { readonly type: "compacted"; };

export interface ObjectStore {
    readonly read: (kind: string, name: string) => StoredObject | undefined;
    /** Lists every object and tombstone of the kind. */
    readonly list: (kind: string) => readonly StoredObject[];
    readonly write: (write: ObjectWrite) => ObjectWriteResult;
    readonly getRevision: () => number;
    /** Lists the changes of the kinds after the revision, oldest first, up to `limit`. */
    readonly listChanges: (kinds: ReadonlySet<string>, afterRevision: number, limit: number) => ObjectChanges;
    /** Calls the listener after each change until the returned function is called. */
    readonly watch: (listener: (object: StoredObject) => void) => () => void;
}

export function createObjectStore(opts: { readonly historyLength: number; }): ObjectStore {
    const objects = new Map<string, Map<string, StoredObject>>();
    const listeners = new Set<(object: StoredObject) => void>();
    let history: StoredObject[] = [];
    let revision = 0;
    /** Greatest revision whose change has been removed from the history. */
    let compactedRevision = 0;

    const compactHistory = (): void => {
        // Compacted in blocks, because removing the first change on every write copies the whole history.
        if (history.length < opts.historyLength * 2) return;
        const droppedCount = history.length - opts.historyLength;
        compactedRevision = history[droppedCount - 1]?.revision ?? compactedRevision;
        history = history.slice(droppedCount);
    };

    const applyChange = (object: StoredObject): void => {
        const objectsOfKind = objects.get(object.kind) ?? new Map<string, StoredObject>();
        objects.set(object.kind, objectsOfKind);
        objectsOfKind.set(object.name, object);
        history.push(object);
        compactHistory();
        for (const listener of listeners) listener(object);
    };

    const read = (kind: string, name: string): StoredObject | undefined => objects.get(kind)?.get(name);

    return {
        read,
        list: kind => [...(objects.get(kind)?.values() ?? [])],
        write: write => {
            const current = read(write.kind, write.name);
            const isDeletion = write.value === undefined;
            if ((current?.version ?? 0) !== write.expectedVersion) return { type: "conflict", current };
            if (isDeletion && (current === undefined || current.deleted === true)) return { type: "conflict", current };
            revision += 1;
            const { kind, name, writeId } = write;
            const base = { kind, name, version: write.expectedVersion + 1, revision, writeId };
            const object = isDeletion
                ? { ...base, deleted: true, value: current?.value }
                : { ...base, value: write.value };
            applyChange(object);
            return { type: "applied", object };
        },
        getRevision: () => revision,
        listChanges: (kinds, afterRevision, limit) => {
            // A revision above the current one dates from before the store lost its state: the client has to relist.
            if (afterRevision < compactedRevision || afterRevision > revision) return { type: "compacted" };
            // Revisions in the history are consecutive, so the index of `afterRevision` needs no search.
            const start = Math.max(0, afterRevision + 1 - (history[0]?.revision ?? 0));
            const changes = history.slice(start).filter(object => kinds.has(object.kind));
            if (changes.length <= limit) return { type: "changes", revision, changes };
            const page = changes.slice(0, limit);
            return { type: "changes", revision: page.at(-1)?.revision ?? afterRevision, changes: page };
        },
        watch: listener => {
            listeners.add(listener);
            return () => listeners.delete(listener);
        },
    };
}
