/** Slice that executes a keyed call at most once: keys, records, duplicates and forwarding to the owner of a key. */
import type { Effect, IncompleteOutcome } from "@rhubarbwheel/types/effects";
import type {
    AnswerRecordedEvent,
    ForwardAnsweredEvent,
    KeyBoundEvent,
    KeyedRequestEvent,
    RequestEndedEvent,
    RequestSummary,
} from "@rhubarbwheel/types/events";
import type { MembershipQueries, RouterIdentity, Slice } from "@rhubarbwheel/types/slices";
import { createKeyMinter } from "./createKeyMinter.js";
import type { KeyRecord, RecordLimits } from "./createKeyRecords.js";
import { createKeyRecords } from "./createKeyRecords.js";
import { createEndRequest, createLog } from "./idempotencyEffects.js";
import type { MintedKey } from "./mintedKey.js";
import { mintedKeyPrefix, parseMintedKey } from "./mintedKey.js";

export interface IdempotencyOptions {
    readonly identity: RouterIdentity;
    readonly membership: Pick<MembershipQueries, "getMember">;
    /** Returns a random secret of at least 128 bits; called once, to authenticate the keys of this incarnation. */
    readonly generateKeySecret: () => string;
    readonly limits: RecordLimits;
}

export interface Idempotency extends Slice {
    /** Mints a key whose calls only this process executes. */
    readonly mintKey: () => string;
    readonly countRecords: () => { readonly running: number; readonly finished: number; readonly bytes: number; };
    /** Calls that wait for a binding, the owner of their key or the call that they duplicate; drains include them. */
    readonly countPending: () => number;
}

export function createIdempotency(opts: IdempotencyOptions): Idempotency {
    const { identity, membership, limits } = opts;
    const minter = createKeyMinter({ identity, secret: opts.generateKeySecret() });
    const records = createKeyRecords(limits);
    const pendingBindings = new Map<string, KeyedRequestEvent>();
    const pendingForwards = new Map<string, RequestSummary>();
    const recordsByDuplicate = new Map<string, KeyRecord>();

    const endRequest = (
        request: RequestSummary,
        outcome: IncompleteOutcome,
        code: string,
        owner?: string,
    ): Effect[] => [
        createEndRequest(request, outcome, code),
        createLog("keyedCallEnded", request, { outcome, code, router: owner }),
    ];

    const handleKeyedRequest = (event: KeyedRequestEvent): Effect[] => {
        if (event.callerKey.startsWith(mintedKeyPrefix)) return routeMintedKey(event, event.callerKey);
        if (event.forwardedBy !== undefined) return endRequest(event.request, "notRun", "KEY_MALFORMED");
        pendingBindings.set(event.request.id, event);
        const { id, workspace } = event.request;
        const mintedKey = minter.mintKey();
        return [{ type: "bindKey", requestId: id, workspace, callerKey: event.callerKey, mintedKey }];
    };

    const handleKeyBound = (event: KeyBoundEvent): Effect[] => {
        const pending = pendingBindings.get(event.requestId);
        if (pending === undefined) return [];
        pendingBindings.delete(event.requestId);
        if (event.result === "unavailable" || event.mintedKey === undefined)
            return endRequest(pending.request, "notRun", "KEY_STORE_UNAVAILABLE");
        const effects = routeMintedKey({ ...pending, now: event.now }, event.mintedKey);
        return [createLog("keyBound", pending.request, {}), ...effects];
    };

    const routeMintedKey = (event: KeyedRequestEvent, keyText: string): Effect[] => {
        const key = parseMintedKey(keyText);
        if (key === undefined) return endRequest(event.request, "notRun", "KEY_MALFORMED");
        if (key.router !== identity.router) return forwardToOwner(event, key, keyText);
        if (key.incarnation !== identity.incarnation)
            return endRequest(event.request, "unknown", "KEY_OWNER_GONE", key.router);
        // A key that names this incarnation but was not minted by it cannot have been executed.
        if (!minter.isOwnKey(key)) return endRequest(event.request, "notRun", "KEY_MALFORMED");
        return runOrReplay(event, key, keyText);
    };

    const forwardToOwner = (event: KeyedRequestEvent, key: MintedKey, keyText: string): Effect[] => {
        const { request } = event;
        if (event.forwardedBy !== undefined)
            return endRequest(request, "unknown", "KEY_OWNER_UNREACHABLE", key.router);
        const owner = membership.getMember(key.router);
        if (owner === undefined || owner.state === "dead" || owner.state === "left")
            return endRequest(request, "unknown", "KEY_OWNER_GONE", key.router);
        // The incarnation in the membership also grows when a live router refutes a suspicion, so only the owner can
        // tell whether it restarted; it responds with KEY_OWNER_GONE itself.
        pendingForwards.set(request.id, request);
        return [
            {
                type: "forwardCall",
                requestId: request.id,
                router: owner.router,
                address: owner.address,
                mintedKey: keyText,
            },
            createLog("callForwarded", request, { router: owner.router }),
        ];
    };

    const runOrReplay = (event: KeyedRequestEvent, key: MintedKey, keyText: string): Effect[] => {
        const { request, fingerprint, now } = event;
        const record = records.findRecord(request.workspace, keyText);
        if (record === undefined) {
            if (records.isBelowLowWaterMark(request.workspace, key.sequence))
                return endRequest(request, "unknown", "KEY_RECORD_EVICTED");
            return startExecution(request, key, keyText, fingerprint, now);
        }
        if (record.fingerprint !== fingerprint) return endRequest(request, "notRun", "KEY_REUSED");
        if (!record.finished) {
            record.duplicates.set(request.id, request);
            recordsByDuplicate.set(request.id, record);
            return [createLog("duplicateWaits", request, { sourceRequestId: record.sourceRequestId })];
        }
        return replayRecord(record, request);
    };

    const startExecution = (
        request: RequestSummary,
        key: MintedKey,
        keyText: string,
        fingerprint: string,
        now: number,
    ): Effect[] => {
        records.addRecord({
            workspace: request.workspace,
            key: keyText,
            sequence: key.sequence,
            fingerprint,
            sourceRequestId: request.id,
            finished: false,
            cancelled: false,
            sizeBytes: 0,
            duplicates: new Map(),
        });
        return [
            createLog("keyedCallStarted", request, {}),
            { type: "raise", event: { type: "requestArrived", now, request: { ...request, key: keyText } } },
        ];
    };

    const replayRecord = (record: KeyRecord, request: RequestSummary): Effect[] => [
        { type: "replayAnswer", requestId: request.id, sourceRequestId: record.sourceRequestId },
        createLog("answerReplayed", request, { sourceRequestId: record.sourceRequestId }),
    ];

    const handleAnswerRecorded = (event: AnswerRecordedEvent): Effect[] => {
        const record = records.findBySource(event.requestId);
        // Responses of duplicates and of forwarded calls are recorded too; only that of the source request is kept.
        if (record === undefined || record.finished)
            return record === undefined ? [{ type: "dropAnswer", requestId: event.requestId }] : [];
        const replays = takeDuplicates(record).flatMap(request => replayRecord(record, request));
        if (event.outcome === "notRun") {
            records.removeRecord(record);
            return [...replays, { type: "dropAnswer", requestId: event.requestId }];
        }
        return [...replays, ...finishRecord(record, event.sizeBytes)];
    };

    const takeDuplicates = (record: KeyRecord): RequestSummary[] => {
        const requests = [...record.duplicates.values()];
        record.duplicates.clear();
        for (const request of requests) recordsByDuplicate.delete(request.id);
        return requests;
    };

    const finishRecord = (record: KeyRecord, sizeBytes: number): Effect[] =>
        records.finishRecord(record, sizeBytes).flatMap((evicted): Effect[] => [
            { type: "dropAnswer", requestId: evicted.sourceRequestId },
            createLog("recordEvicted", { id: evicted.sourceRequestId, workspace: evicted.workspace }, {}),
        ]);

    const handleCancellation = (requestId: string): Effect[] => {
        pendingBindings.delete(requestId);
        pendingForwards.delete(requestId);
        recordsByDuplicate.get(requestId)?.duplicates.delete(requestId);
        recordsByDuplicate.delete(requestId);
        const record = records.findBySource(requestId);
        if (record !== undefined && !record.finished) record.cancelled = true;
        return [];
    };

    /** A call whose caller disconnected while it was queued has no response to record; a duplicate is run instead. */
    const handleRequestEnded = (event: RequestEndedEvent): Effect[] => {
        const record = records.findBySource(event.requestId);
        if (record === undefined || record.finished || !record.cancelled || event.outcome !== "notRun") return [];
        const [next] = record.duplicates.values();
        if (next === undefined) {
            records.removeRecord(record);
            return [{ type: "dropAnswer", requestId: event.requestId }];
        }
        record.duplicates.delete(next.id);
        recordsByDuplicate.delete(next.id);
        records.replaceSource(record, next.id);
        record.cancelled = false;
        const request = { ...next, key: record.key };
        return [
            { type: "dropAnswer", requestId: event.requestId },
            createLog("keyedCallStarted", request, {}),
            { type: "raise", event: { type: "requestArrived", now: event.now, request } },
        ];
    };

    const handleForwardAnswered = (event: ForwardAnsweredEvent): Effect[] => {
        const request = pendingForwards.get(event.requestId);
        pendingForwards.delete(event.requestId);
        if (request === undefined || event.result === "answered") return [];
        return endRequest(request, "unknown", "KEY_OWNER_UNREACHABLE");
    };

    return {
        mintKey: minter.mintKey,
        countRecords: records.countRecords,
        countPending: () => pendingBindings.size + pendingForwards.size + recordsByDuplicate.size,
        reduce: event => {
            switch (event.type) {
                case "keyedRequest":
                    return handleKeyedRequest(event);
                case "keyBound":
                    return handleKeyBound(event);
                case "forwardAnswered":
                    return handleForwardAnswered(event);
                case "answerRecorded":
                    return handleAnswerRecorded(event);
                case "requestCancelled":
                    return handleCancellation(event.requestId);
                case "requestEnded":
                    return handleRequestEnded(event);
                default:
                    return [];
            }
        },
    };
}
