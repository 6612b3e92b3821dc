/** Bounded memory of keyed calls: what runs, what has finished, and below which sequence number records may be gone. */
import type { RequestSummary } from "@rhubarbwheel/types/events";
import { createWeightIndex } from "./createWeightIndex.js";

export interface KeyRecord {
    readonly workspace: string;
    readonly key: string;
    readonly sequence: number;
    readonly fingerprint: string;
    /** Request whose answer is, or will be, the recorded one. */
    sourceRequestId: string;
    finished: boolean;
    /** The caller of the source request has hung up. */
    cancelled: boolean;
    sizeBytes: number;
    /** Duplicates that arrived while the call runs, by request, oldest first. */
    readonly waiting: Map<string, RequestSummary>;
}

export interface RecordLimits {
    /** Most finished records. */
    readonly maxRecords: number;
    /** Most bytes of recorded answers. */
    readonly maxBytes: number;
}

interface WorkspaceRecords {
    readonly records: Map<string, KeyRecord>;
    /** Finished records, oldest first. */
    readonly finished: Set<KeyRecord>;
    /** Weight of the finished records. */
    weight: number;
    /** Records of keys with a smaller sequence number may be gone. */
    lowWaterMark: number;
}

export interface KeyRecords {
    readonly findRecord: (workspace: string, key: string) => KeyRecord | undefined;
    readonly findBySource: (requestId: string) => KeyRecord | undefined;
    /** Whether a record of this key may have existed and been evicted. */
    readonly isBelowMark: (workspace: string, sequence: number) => boolean;
    readonly addRecord: (record: KeyRecord) => void;
    /** Makes another request the source of a running record. */
    readonly replaceSource: (record: KeyRecord, requestId: string) => void;
    /** Forgets a record whose call was not run. */
    readonly removeRecord: (record: KeyRecord) => void;
    /** Returns the records that were evicted to stay within the limits. */
    readonly finishRecord: (record: KeyRecord, sizeBytes: number) => readonly KeyRecord[];
    readonly countRecords: () => { readonly running: number; readonly finished: number; readonly bytes: number; };
}

/**
 * The mark is kept per workspace, and the workspace whose records weigh most loses its oldest one, so that a flood of
 * keyed calls costs other workspaces neither their records nor their unused keys.
 */
export function createKeyRecords(limits: RecordLimits): KeyRecords {
    const workspaces = new Map<string, WorkspaceRecords>();
    const bySource = new Map<string, KeyRecord>();
    const weightIndex = createWeightIndex<WorkspaceRecords>();
    // Marks of workspaces without records are merged into this one when there are too many of them.
    let commonMark = 0;
    let finishedCount = 0;
    let totalBytes = 0;

    const obtainWorkspace = (name: string): WorkspaceRecords => {
        let state = workspaces.get(name);
        if (state === undefined) {
            mergeMarks();
            state = { records: new Map(), finished: new Set(), weight: 0, lowWaterMark: 0 };
            workspaces.set(name, state);
        }
        return state;
    };

    const mergeMarks = (): void => {
        if (workspaces.size < 2 * limits.maxRecords + 1) return;
        for (const [name, state] of workspaces) {
            if (state.records.size > 0) continue;
            commonMark = Math.max(commonMark, state.lowWaterMark);
            workspaces.delete(name);
        }
    };

    /** One unit is one record, or the bytes that one record may take on average. */
    const computeWeight = (record: KeyRecord): number =>
        Math.max(1, Math.ceil((record.sizeBytes / limits.maxBytes) * limits.maxRecords));

    const changeWeight = (state: WorkspaceRecords, change: number): void => {
        state.weight += change;
        weightIndex.setWeight(state, state.weight);
    };

    const deleteRecord = (state: WorkspaceRecords, record: KeyRecord): void => {
        state.records.delete(record.key);
        bySource.delete(record.sourceRequestId);
        if (!state.finished.delete(record)) return;
        finishedCount -= 1;
        changeWeight(state, -computeWeight(record));
        totalBytes -= record.sizeBytes;
    };

    const evictOldest = (state: WorkspaceRecords): KeyRecord | undefined => {
        const [oldest] = state.finished;
        if (oldest === undefined) return undefined;
        deleteRecord(state, oldest);
        state.lowWaterMark = Math.max(state.lowWaterMark, oldest.sequence + 1);
        return oldest;
    };

    const evictToLimits = (): KeyRecord[] => {
        const evicted: KeyRecord[] = [];
        while (finishedCount > limits.maxRecords || totalBytes > limits.maxBytes) {
            const state = weightIndex.findHeaviest();
            const record = state === undefined ? undefined : evictOldest(state);
            if (record === undefined) break;
            evicted.push(record);
        }
        return evicted;
    };

    return {
        findRecord: (workspace, key) => workspaces.get(workspace)?.records.get(key),
        findBySource: requestId => bySource.get(requestId),
        isBelowMark: (workspace, sequence) =>
            sequence < Math.max(commonMark, workspaces.get(workspace)?.lowWaterMark ?? 0),
        addRecord: record => {
            obtainWorkspace(record.workspace).records.set(record.key, record);
            bySource.set(record.sourceRequestId, record);
        },
        replaceSource: (record, requestId) => {
            bySource.delete(record.sourceRequestId);
            record.sourceRequestId = requestId;
            bySource.set(requestId, record);
        },
        removeRecord: record => deleteRecord(obtainWorkspace(record.workspace), record),
        finishRecord: (record, sizeBytes) => {
            const state = obtainWorkspace(record.workspace);
            record.finished = true;
            record.sizeBytes = sizeBytes;
            state.finished.add(record);
            changeWeight(state, computeWeight(record));
            finishedCount += 1;
            totalBytes += sizeBytes;
            return evictToLimits();
        },
        countRecords: () => ({ running: bySource.size - finishedCount, finished: finishedCount, bytes: totalBytes }),
    };
}
