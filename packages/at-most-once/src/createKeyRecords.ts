/** Bounded store of records of keyed calls, running and finished, with the low-water mark of evicted records. */
import type { RequestSummary } from "@rhubarbwheel/types/events";
import { createWeightIndex } from "./createWeightIndex.js";

export interface KeyRecord {
    readonly workspace: string;
    readonly key: string;
    readonly sequence: number;
    readonly fingerprint: string;
    /** Request that executes the call and whose response is recorded. */
    sourceRequestId: string;
    finished: boolean;
    /** The caller of the source request has disconnected. */
    cancelled: boolean;
    sizeBytes: number;
    /** Duplicates that arrived while the call was running, by request id, oldest first. */
    readonly duplicates: Map<string, RequestSummary>;
}

export interface RecordLimits {
    /** Maximum number of finished records. */
    readonly maxRecords: number;
    /** Maximum total size of recorded responses. */
    readonly maxBytes: number;
}

interface WorkspaceRecords {
    readonly records: Map<string, KeyRecord>;
    /** Finished records, oldest first. */
    readonly finished: Set<KeyRecord>;
    /** Total weight of the finished records. */
    weight: number;
    /** Records of keys with a smaller sequence number may have been evicted. */
    lowWaterMark: number;
}

export interface KeyRecords {
    readonly findRecord: (workspace: string, key: string) => KeyRecord | undefined;
    readonly findBySource: (requestId: string) => KeyRecord | undefined;
    /** Whether a record of this key may have existed and been evicted. */
    readonly isBelowLowWaterMark: (workspace: string, sequence: number) => boolean;
    readonly addRecord: (record: KeyRecord) => void;
    /** Makes another request the source of the record of a running call. */
    readonly replaceSource: (record: KeyRecord, requestId: string) => void;
    /** Removes the record of a call that was not run. */
    readonly removeRecord: (record: KeyRecord) => void;
    /** Returns the records that were evicted to stay within the limits. */
    readonly finishRecord: (record: KeyRecord, sizeBytes: number) => readonly KeyRecord[];
    readonly countRecords: () => { readonly running: number; readonly finished: number; readonly bytes: number; };
}

/**
 * The low-water mark is kept per workspace, and eviction removes the oldest record of the workspace with the greatest
 * weight. So a flood of keyed calls in one workspace neither evicts records nor invalidates unused keys of the others.
 */
export function createKeyRecords(limits: RecordLimits): KeyRecords {
    const workspaces = new Map<string, WorkspaceRecords>();
    const recordsBySource = new Map<string, KeyRecord>();
    const weightIndex = createWeightIndex<WorkspaceRecords>();
    // Low-water marks of workspaces without records are merged into this one to bound the number of entries.
    let mergedLowWaterMark = 0;
    let finishedCount = 0;
    let totalBytes = 0;

    const getOrCreateWorkspace = (name: string): WorkspaceRecords => {
        let state = workspaces.get(name);
        if (state === undefined) {
            mergeLowWaterMarks();
            state = { records: new Map(), finished: new Set(), weight: 0, lowWaterMark: 0 };
            workspaces.set(name, state);
        }
        return state;
    };

    const mergeLowWaterMarks = (): void => {
        if (workspaces.size < 2 * limits.maxRecords + 1) return;
        for (const [name, state] of workspaces) {
            if (state.records.size > 0) continue;
            mergedLowWaterMark = Math.max(mergedLowWaterMark, state.lowWaterMark);
            workspaces.delete(name);
        }
    };

    /** One unit is one record, or `maxBytes / maxRecords` bytes. */
    const computeWeight = (record: KeyRecord): number =>
        Math.max(1, Math.ceil((record.sizeBytes / limits.maxBytes) * limits.maxRecords));

    const updateWeight = (state: WorkspaceRecords, delta: number): void => {
        state.weight += delta;
        weightIndex.setWeight(state, state.weight);
    };

    const removeFromWorkspace = (state: WorkspaceRecords, record: KeyRecord): void => {
        state.records.delete(record.key);
        recordsBySource.delete(record.sourceRequestId);
        if (!state.finished.delete(record)) return;
        finishedCount -= 1;
        updateWeight(state, -computeWeight(record));
        totalBytes -= record.sizeBytes;
    };

    const evictOldest = (state: WorkspaceRecords): KeyRecord | undefined => {
        const [oldest] = state.finished;
        if (oldest === undefined) return undefined;
        removeFromWorkspace(state, oldest);
        state.lowWaterMark = Math.max(state.lowWaterMark, oldest.sequence + 1);
        return oldest;
    };

    const evictOverLimits = (): KeyRecord[] => {
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
        findBySource: requestId => recordsBySource.get(requestId),
        isBelowLowWaterMark: (workspace, sequence) =>
            sequence < Math.max(mergedLowWaterMark, workspaces.get(workspace)?.lowWaterMark ?? 0),
        addRecord: record => {
            getOrCreateWorkspace(record.workspace).records.set(record.key, record);
            recordsBySource.set(record.sourceRequestId, record);
        },
        replaceSource: (record, requestId) => {
            recordsBySource.delete(record.sourceRequestId);
            record.sourceRequestId = requestId;
            recordsBySource.set(requestId, record);
        },
        removeRecord: record => removeFromWorkspace(getOrCreateWorkspace(record.workspace), record),
        finishRecord: (record, sizeBytes) => {
            const state = getOrCreateWorkspace(record.workspace);
            record.finished = true;
            record.sizeBytes = sizeBytes;
            state.finished.add(record);
            updateWeight(state, computeWeight(record));
            finishedCount += 1;
            totalBytes += sizeBytes;
            return evictOverLimits();
        },
        countRecords: () => ({
            running: recordsBySource.size - finishedCount,
            finished: finishedCount,
            bytes: totalBytes,
        }),
    };
}
