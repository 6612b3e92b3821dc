/** Reads and conditional writes of single objects; resolves writes whose answer was lost. */
import { setTimeout as sleep } from "node:timers/promises";
import type { PlatformAnswer, PlatformTransport } from "./createPlatformTransport.js";
import { parseObject, parseObjectList } from "./parsePlatform.js";
import type { PlatformObject } from "./parsePlatform.js";

export interface ObjectWrite {
    readonly kind: string;
    readonly name: string;
    /** Version that must be current; 0 creates. */
    readonly expectedVersion: number;
    readonly writeId: string;
    /** Missing for a deletion. */
    readonly value?: unknown;
    /** Whether a creation may replace a tombstone. */
    readonly replaceTombstone: boolean;
}

export type ObjectWriteResult =
    | { readonly type: "accepted"; readonly object: PlatformObject; }
    /** `currentVersion` is missing when the object does not exist or is deleted. */
    | { readonly type: "conflict"; readonly currentVersion: number | undefined; }
    /** Provably not applied, now or later. */
    | { readonly type: "unavailable"; }
    /** May have been applied, or may still be. */
    | { readonly type: "unknown"; };

export type ObjectRead =
    | { readonly type: "read"; readonly object: PlatformObject | undefined; }
    | { readonly type: "unavailable"; };

export interface ObjectClient {
    readonly read: (kind: string, name: string) => Promise<ObjectRead>;
    readonly write: (write: ObjectWrite) => Promise<ObjectWriteResult>;
    /** Remembers a revision that the store is known to have reached. */
    readonly recordRevision: (revision: number) => void;
}

export interface ObjectClientOptions {
    /** Most times that a write is sent, and that its object is read back. */
    readonly maxTries: number;
    /** Pause before the second try, doubled for each further one. */
    readonly retryDelayMs: number;
}

/** What a write is known to have done. */
type Verdict =
    | { readonly type: "accepted"; readonly object: PlatformObject; }
    | { readonly type: "conflict"; readonly currentVersion: number; readonly deleted: boolean; }
    | { readonly type: "unavailable"; }
    | { readonly type: "unknown"; }
    /** Not applied so far, but a copy of it may be on its way. */
    | { readonly type: "pending"; };

/** Statuses with which the platform states that it did not carry out a write. */
const unavailableStatuses = new Set([400, 413, 428, 429]);

function getPath(kind: string, name: string): string {
    return `/objects/${encodeURIComponent(kind)}/${encodeURIComponent(name)}`;
}

function parseConflict(body: unknown): Verdict {
    const { currentVersion, deleted } = (body ?? {}) as {
        readonly currentVersion?: unknown;
        readonly deleted?: unknown;
    };
    return { type: "conflict", currentVersion: Number(currentVersion ?? 0), deleted: deleted === true };
}

function judgeAnswer(write: ObjectWrite, answer: PlatformAnswer): Verdict {
    if (answer.status === 409) return parseConflict(answer.body);
    if (unavailableStatuses.has(answer.status)) return { type: "unavailable" };
    const object = answer.status === 200 || answer.status === 201 ? parseObject(answer.body) : undefined;
    return object?.writeId === write.writeId ? { type: "accepted", object } : { type: "pending" };
}

export function createObjectClient(transport: PlatformTransport, opts: ObjectClientOptions): ObjectClient {
    let seenRevision = 0;
    const recordRevision = (revision: number): void => {
        seenRevision = Math.max(seenRevision, revision);
    };

    const read = async (kind: string, name: string): Promise<ObjectRead> => {
        const result = await transport.call({ method: "GET", path: getPath(kind, name) });
        if (result.type !== "answered") return { type: "unavailable" };
        if (result.answer.status === 404) return { type: "read", object: undefined };
        const object = result.answer.status === 200 ? parseObject(result.answer.body) : undefined;
        if (object === undefined) return { type: "unavailable" };
        recordRevision(object.revision);
        return { type: "read", object };
    };

    const sendWrite = async (write: ObjectWrite): Promise<Verdict> => {
        const { expectedVersion } = write;
        const isDeletion = write.value === undefined;
        const result = await transport.call({
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
        if (result.type === "answered") return judgeAnswer(write, result.answer);
        return result.type === "notSent" ? { type: "unavailable" } : { type: "pending" };
    };

    /**
     * Finds the change that took the place of the write in the platform's history. `afterRevision` is older than the write,
     * so a history that reaches back to it holds the change of version `expectedVersion + 1`, whoever made it.
     */
    const searchHistory = async (write: ObjectWrite, afterRevision: number, current: Verdict): Promise<Verdict> => {
        const path = `/watch?kinds=${encodeURIComponent(write.kind)}&after=${afterRevision}&timeoutMs=0`;
        const result = await transport.call({ method: "GET", path });
        const list = result.type === "answered" && result.answer.status === 200
            ? parseObjectList(result.answer.body, "changes")
            : undefined;
        const successor = list?.objects.find(object =>
            object.name === write.name && object.version === write.expectedVersion + 1
        );
        if (successor === undefined) return { type: "unknown" };
        return successor.writeId === write.writeId ? { type: "accepted", object: successor } : current;
    };

    /** Decides what became of a write that may have arrived, by the state of its object. */
    const readBack = async (write: ObjectWrite, afterRevision: number): Promise<Verdict> => {
        const result = await read(write.kind, write.name);
        if (result.type === "unavailable") return { type: "pending" };
        const { object } = result;
        if (object?.writeId === write.writeId) return { type: "accepted", object };
        const version = object?.version ?? 0;
        if (version === write.expectedVersion) return { type: "pending" };
        // The store does not go back; the expected version lies in its future, where a late copy may still apply.
        if (version < write.expectedVersion) return { type: "unknown" };
        const current = { type: "conflict" as const, currentVersion: version, deleted: object?.deleted === true };
        // Versions grow by one: another writer made the only change, and a late copy of this write will be refused.
        if (version === write.expectedVersion + 1) return current;
        return searchHistory(write, afterRevision, current);
    };

    /**
     * Sends the write until its fate is known. Sending it again is safe: every copy names the same exact version, versions
     * never come back (tombstones keep counting), so at most one copy is applied, and all have the same write id.
     */
    const writeExact = async (write: ObjectWrite): Promise<Exclude<Verdict, { readonly type: "pending"; }>> => {
        const afterRevision = seenRevision;
        let mayHaveArrived = false;
        for (let tries = 0; tries < opts.maxTries; tries += 1) {
            if (tries > 0) await sleep(opts.retryDelayMs * 2 ** (tries - 1));
            const verdict = await sendWrite(write);
            if (verdict.type === "accepted") return verdict;
            if (verdict.type !== "pending" && !mayHaveArrived) return verdict;
            mayHaveArrived = true;
            const resolved = await readBack(write, afterRevision);
            if (resolved.type !== "pending") return resolved;
        }
        return { type: "unknown" };
    };

    const write = async (wanted: ObjectWrite): Promise<ObjectWriteResult> => {
        const result = await writeExact(wanted);
        if (result.type === "accepted") recordRevision(result.object.revision);
        if (result.type !== "conflict") return result;
        const { currentVersion, deleted } = result;
        if (!deleted || wanted.expectedVersion !== 0 || !wanted.replaceTombstone) {
            const isMissing = deleted || currentVersion === 0;
            return { type: "conflict", currentVersion: isMissing ? undefined : currentVersion };
        }
        // A creation is conditional on the exact version of the tombstone, so that a late copy cannot recreate the object.
        return write({ ...wanted, expectedVersion: currentVersion });
    };

    return { read, write, recordRevision };
}
