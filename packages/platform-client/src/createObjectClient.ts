/** Reads and conditionally writes single objects; determines the outcome of writes whose response was lost. */
import { setTimeout as sleep } from "node:timers/promises";
import type { PlatformResponse, PlatformTransport } from "./createPlatformTransport.js";
import { parseObject, parseObjectList } from "./parsePlatformResponse.js";
import type { PlatformObject } from "./parsePlatformResponse.js";

export interface ObjectWrite {
    readonly kind: string;
    readonly name: string;
    /** Version that must be current; 0 to create. */
    readonly expectedVersion: number;
    readonly writeId: string;
    /** Omitted to delete. */
    readonly value?: unknown;
    /** Whether a creation may replace a tombstone. */
    readonly replaceTombstone: boolean;
}

export type ObjectWriteResult =
    | { readonly type: "accepted"; readonly object: PlatformObject; }
    /** `currentVersion` is `undefined` when the object does not exist or is deleted. */
    | { readonly type: "conflict"; readonly currentVersion: number | undefined; }
    /** Known not to have been applied, and not to be applied later. */
    | { readonly type: "unavailable"; }
    /** May have been applied, or may be applied later. */
    | { readonly type: "unknown"; };

export type ObjectRead =
    | { readonly type: "read"; readonly object: PlatformObject | undefined; }
    | { readonly type: "unavailable"; };

export interface ObjectClient {
    readonly read: (kind: string, name: string) => Promise<ObjectRead>;
    readonly write: (write: ObjectWrite) => Promise<ObjectWriteResult>;
    /** Records a revision that the store is known to have reached. */
    readonly recordRevision: (revision: number) => void;
}

export interface ObjectClientOptions {
    /** Maximum number of times that a write is sent and its object is read back. */
    readonly maxTries: number;
    /** Backoff before the second try, doubled for each further one. */
    readonly retryDelayMs: number;
}

/** Known outcome of a write. */
type WriteOutcome =
    | { readonly type: "accepted"; readonly object: PlatformObject; }
    | { readonly type: "conflict"; readonly currentVersion: number; readonly deleted: boolean; }
    | { readonly type: "unavailable"; }
    | { readonly type: "unknown"; }
    /** Not applied so far, but a copy of the request may still arrive. */
    | { readonly type: "pending"; };

/** Status codes by which the platform states that it did not apply a write. */
const rejectedStatuses = new Set([400, 413, 428, 429]);

function getPath(kind: string, name: string): string {
    return `/objects/${encodeURIComponent(kind)}/${encodeURIComponent(name)}`;
}

function parseConflict(body: unknown): WriteOutcome {
    const { currentVersion, deleted } = (body ?? {}) as {
        readonly currentVersion?: unknown;
        readonly deleted?: unknown;
    };
    return { type: "conflict", currentVersion: Number(currentVersion ?? 0), deleted: deleted === true };
}

function classifyResponse(write: ObjectWrite, response: PlatformResponse): WriteOutcome {
    if (response.status === 409) return parseConflict(response.body);
    if (rejectedStatuses.has(response.status)) return { type: "unavailable" };
    const object = response.status === 200 || response.status === 201 ? parseObject(response.body) : undefined;
    return object?.writeId === write.writeId ? { type: "accepted", object } : { type: "pending" };
}

export function createObjectClient(transport: PlatformTransport, opts: ObjectClientOptions): ObjectClient {
    let latestRevision = 0;
    const recordRevision = (revision: number): void => {
        latestRevision = Math.max(latestRevision, revision);
    };

    const read = async (kind: string, name: string): Promise<ObjectRead> => {
        const result = await transport.sendRequest({ method: "GET", path: getPath(kind, name) });
        if (result.type !== "responded") return { type: "unavailable" };
        if (result.response.status === 404) return { type: "read", object: undefined };
        const object = result.response.status === 200 ? parseObject(result.response.body) : undefined;
        if (object === undefined) return { type: "unavailable" };
        recordRevision(object.revision);
        return { type: "read", object };
    };

    const sendWrite = async (write: ObjectWrite): Promise<WriteOutcome> => {
        const { expectedVersion } = write;
        const isDeletion = write.value === undefined;
        const result = await transport.sendRequest({
            method: isDeletion ? "DELETE" : "PUT",
            path: getPath(write.kind, write.name),
            headers: {
                "write-id": write.writeId,
                [expectedVersion === 0 ? "if-none-match" : "if-match"]: expectedVersion === 0
                    ? "*"
                    : String(expectedVersion),
            },
            body: isDeletion ? undefined : JSON.stringify({ value: write.value }),
        });
        if (result.type === "responded") return classifyResponse(write, result.response);
        return result.type === "notSent" ? { type: "unavailable" } : { type: "pending" };
    };

    /**
     * Searches the platform's history for the change that created version `expectedVersion + 1`. `afterRevision` is
     * older than the write, so a history that reaches back to it contains that change, whichever writer made it.
     */
    const findInHistory = async (
        write: ObjectWrite,
        afterRevision: number,
        current: WriteOutcome,
    ): Promise<WriteOutcome> => {
        const path = `/watch?kinds=${encodeURIComponent(write.kind)}&after=${afterRevision}&timeoutMs=0`;
        const result = await transport.sendRequest({ method: "GET", path });
        const list = result.type === "responded" && result.response.status === 200
            ? parseObjectList(result.response.body, "changes")
            : undefined;
        const successor = list?.objects.find(object =>
            object.name === write.name && object.version === write.expectedVersion + 1
        );
        if (successor === undefined) return { type: "unknown" };
        return successor.writeId === write.writeId ? { type: "accepted", object: successor } : current;
    };

    /** Determines the outcome of a write that may have arrived, from the current state of its object. */
    const readBack = async (write: ObjectWrite, afterRevision: number): Promise<WriteOutcome> => {
        const result = await read(write.kind, write.name);
        if (result.type === "unavailable") return { type: "pending" };
        const { object } = result;
        if (object?.writeId === write.writeId) return { type: "accepted", object };
        const version = object?.version ?? 0;
        if (version === write.expectedVersion) return { type: "pending" };
        // Versions never decrease: the store has yet to reach the expected one, and a late copy may then be applied.
        if (version < write.expectedVersion) return { type: "unknown" };
        const current = { type: "conflict" as const, currentVersion: version, deleted: object?.deleted === true };
        // Versions increase by one: another writer made the only change, so a late copy of this write will be rejected.
        if (version === write.expectedVersion + 1) return current;
        return findInHistory(write, afterRevision, current);
    };

    /**
     * Retries the write until its outcome is known. This is safe: all copies have the same write id and expected
     * version, and versions are never reused (they go on increasing after a deletion), so at most one copy is applied.
     */
    const writeAtVersion = async (
        write: ObjectWrite,
    ): Promise<Exclude<WriteOutcome, { readonly type: "pending"; }>> => {
        const afterRevision = latestRevision;
        let mayHaveArrived = false;
        for (let tries = 0; tries < opts.maxTries; tries += 1) {
            if (tries > 0) await sleep(opts.retryDelayMs * 2 ** (tries - 1));
            const outcome = await sendWrite(write);
            if (outcome.type === "accepted") return outcome;
            if (outcome.type !== "pending" && !mayHaveArrived) return outcome;
            mayHaveArrived = true;
            const resolved = await readBack(write, afterRevision);
            if (resolved.type !== "pending") return resolved;
        }
        return { type: "unknown" };
    };

    const write = async (requestedWrite: ObjectWrite): Promise<ObjectWriteResult> => {
        const result = await writeAtVersion(requestedWrite);
        if (result.type === "accepted") recordRevision(result.object.revision);
        if (result.type !== "conflict") return result;
        const { currentVersion, deleted } = result;
        if (!deleted || requestedWrite.expectedVersion !== 0 || !requestedWrite.replaceTombstone) {
            const isAbsent = deleted || currentVersion === 0;
            return { type: "conflict", currentVersion: isAbsent ? undefined : currentVersion };
        }
        // A creation expects the exact version of the tombstone, so that a late copy cannot recreate the object.
        return write({ ...requestedWrite, expectedVersion: currentVersion });
    };

    return { read, write, recordRevision };
}
