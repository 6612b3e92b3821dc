/** Slice that runs a keyed call at most once: keys, records, duplicates and forwarding to the owner of a key. */
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
    /** Unguessable text of at least 128 bits; called once, for the secret that authenticates the keys of this incarnation. */
    readonly mintRandom: () => string;
    readonly limits: RecordLimits;
}

export interface Idempotency extends Slice {
    /** Mints a key that only this process will ever run. */
    readonly mintKey: () => string;
    readonly countRecords: () => { readonly running: number; readonly finished: number; readonly bytes: number; };
    /** Calls that wait for a binding, for the owner of their key or for a running duplicate; a drain waits for them. */
    readonly countPending: () => number;
}

export function createIdempotency(opts: IdempotencyOptions): Idempotency {
    const { identity, membership, limits } = opts;
    const minter = createKeyMinter({ identity, secret: opts.mintRandom() });
    const records = createKeyRecords(limits);
    const binding = new Map<string, KeyedRequestEvent>();
    const forwarding = new Map<string, RequestSummary>();
    const waitingFor = new Map<string, KeyRecord>();

    const endRequest = (
        request: RequestSummary,
        outcome: IncompleteOutcome,
        code: string,
        owner?: string,
    ): Effect[] => [
        createEndRequest(request, outcome, code),
        createLog("keyedCallEnded", request, { outcome, code, router: owner }),
    ];

    const admitRequest = (event: KeyedRequestEvent): Effect[] => {
        if (event.callerKey.startsWith(mintedKeyPrefix)) return routeMintedKey(event, event.callerKey);
        if (event.forwardedBy !== undefined) return endRequest(event.request, "notRun", "KEY_MALFORMED");
        binding.set(event.request.id, event);
        const { id, workspace } = event.request;
        const mintedKey = minter.mintKey();
        return [{ type: "bindKey", requestId: id, workspace, callerKey: event.callerKey, mintedKey }];
    };

    const continueBound = (event: KeyBoundEvent): Effect[] => {
        const waiting = binding.get(event.requestId);
        if (waiting === undefined) return [];
        binding.delete(event.requestId);
        if (event.result === "unavailable" || event.mintedKey === undefined)
            return endRequest(waiting.request, "notRun", "KEY_STORE_UNAVAILABLE");
        const effects = routeMintedKey({ ...waiting, now: event.now }, event.mintedKey);
        return [createLog("keyBound", waiting.request, {}), ...effects];
    };

    const routeMintedKey = (event: KeyedRequestEvent, text: string): Effect[] => {
        const key = parseMintedKey(text);
        if (key === undefined) return endRequest(event.request, "notRun", "KEY_MALFORMED");
        if (key.router !== identity.router) return routeToOwner(event, key, text);
        if (key.incarnation !== identity.incarnation)
            return endRequest(event.request, "unknown", "KEY_OWNER_GONE", key.router);
        // A key that carries this incarnation's name but was never minted here cannot have run.
        if (!minter.isOwnKey(key)) return endRequest(event.request, "notRun", "KEY_MALFORMED");
        return runOrReplay(event, key, text);
    };

    const routeToOwner = (event: KeyedRequestEvent, key: MintedKey, text: string): Effect[] => {
        const { request } = event;
        if (event.forwardedBy !== undefined)
            return endRequest(request, "unknown", "KEY_OWNER_UNREACHABLE", key.router);
        const owner = membership.getMember(key.router);
        if (owner === undefined || owner.state === "dead" || owner.state === "left")
            return endRequest(request, "unknown", "KEY_OWNER_GONE", key.router);
        // The incarnation in the membership also grows when a live router refutes a suspicion, so only the owner can
        // tell whether it restarted; it answers KEY_OWNER_GONE itself.
        forwarding.set(request.id, request);
        return [
            {
                type: "forwardCall",
                requestId: request.id,
                router: owner.router,
                address: owner.address,
                mintedKey: text,
            },
            createLog("callForwarded", request, { router: owner.router }),
        ];
    };

    const runOrReplay = (event: KeyedRequestEvent, key: MintedKey, text: string): Effect[] => {
        const { request, fingerprint, now } = event;
        const record = records.findRecord(request.workspace, text);
        if (record === undefined) {
            if (records.isBelowMark(request.workspace, key.sequence))
                return endRequest(request, "unknown", "KEY_RECORD_EVICTED");
            return startRun(request, key, text, fingerprint, now);
        }
        if (record.fingerprint !== fingerprint) return endRequest(request, "notRun", "KEY_REUSED");
        if (!record.finished) {
            record.waiting.set(request.id, request);
            waitingFor.set(request.id, record);
            return [createLog("duplicateWaits", request, { sourceRequestId: record.sourceRequestId })];
        }
        return replayRecord(record, request);
    };

    const startRun = (
        request: RequestSummary,
        key: MintedKey,
        text: string,
        fingerprint: string,
        now: number,
    ): Effect[] => {
        records.addRecord({
            workspace: request.workspace,
            key: text,
            sequence: key.sequence,
            fingerprint,
            sourceRequestId: request.id,
            finished: false,
            cancelled: false,
            sizeBytes: 0,
            waiting: new Map(),
        });
        return [
            createLog("keyedCallStarted", request, {}),
            { type: "raise", event: { type: "requestArrived", now, request: { ...request, key: text } } },
        ];
    };

    const replayRecord = (record: KeyRecord, request: RequestSummary): Effect[] => [
        { type: "replayAnswer", requestId: request.id, sourceRequestId: record.sourceRequestId },
        createLog("answerReplayed", request, { sourceRequestId: record.sourceRequestId }),
    ];

    const settleRecord = (event: AnswerRecordedEvent): Effect[] => {
        const record = records.findBySource(event.requestId);
        // Answers of duplicates and of forwarded calls pass through the same recorder; only the source's is kept.
        if (record === undefined || record.finished)
            return record === undefined ? [{ type: "dropAnswer", requestId: event.requestId }] : [];
        const replays = takeWaiting(record).flatMap(request => replayRecord(record, request));
        if (event.outcome === "notRun") {
            records.removeRecord(record);
            return [...replays, { type: "dropAnswer", requestId: event.requestId }];
        }
        return [...replays, ...finishRecord(record, event.sizeBytes)];
    };

    const takeWaiting = (record: KeyRecord): RequestSummary[] => {
        const requests = [...record.waiting.values()];
        record.waiting.clear();
        for (const request of requests) waitingFor.delete(request.id);
        return requests;
    };

    const finishRecord = (record: KeyRecord, sizeBytes: number): Effect[] =>
        records.finishRecord(record, sizeBytes).flatMap((evicted): Effect[] => [
            { type: "dropAnswer", requestId: evicted.sourceRequestId },
            createLog("recordEvicted", { id: evicted.sourceRequestId, workspace: evicted.workspace }, {}),
        ]);

    const cancelRequest = (requestId: string): Effect[] => {
        binding.delete(requestId);
        forwarding.delete(requestId);
        waitingFor.get(requestId)?.waiting.delete(requestId);
        waitingFor.delete(requestId);
        const record = records.findBySource(requestId);
        if (record !== undefined && !record.finished) record.cancelled = true;
        return [];
    };

    /** A call whose caller hung up while it was queued ends without an answer to record. */
    const settleCancelled = (event: RequestEndedEvent): Effect[] => {
        const record = records.findBySource(event.requestId);
        if (record === undefined || record.finished || !record.cancelled || event.outcome !== "notRun") return [];
        const [next] = record.waiting.values();
        if (next === undefined) {
            records.removeRecord(record);
            return [{ type: "dropAnswer", requestId: event.requestId }];
        }
        record.waiting.delete(next.id);
        waitingFor.delete(next.id);
        records.replaceSource(record, next.id);
        record.cancelled = false;
        const request = { ...next, key: record.key };
        return [
            { type: "dropAnswer", requestId: event.requestId },
            createLog("keyedCallStarted", request, {}),
            { type: "raise", event: { type: "requestArrived", now: event.now, request } },
        ];
    };

    const endForward = (event: ForwardAnsweredEvent): Effect[] => {
        const request = forwarding.get(event.requestId);
        forwarding.delete(event.requestId);
        if (request === undefined || event.result === "answered") return [];
        return endRequest(request, "unknown", "KEY_OWNER_UNREACHABLE");
    };

    return {
        mintKey: minter.mintKey,
        countRecords: records.countRecords,
        countPending: () => binding.size + forwarding.size + waitingFor.size,
        reduce: event => {
            switch (event.type) {
                case "keyedRequest":
                    return admitRequest(event);
                case "keyBound":
                    return continueBound(event);
                case "forwardAnswered":
                    return endForward(event);
                case "answerRecorded":
                    return settleRecord(event);
                case "requestCancelled":
                    return cancelRequest(event.requestId);
                case "requestEnded":
                    return settleCancelled(event);
                default:
                    return [];
            }
        },
    };
}
