/** Responses of keyed calls, recorded while they are written to the responder of the call. */
import { type ByteBuffer, createByteBuffer } from "@rhubarbwheel/bytes/createByteBuffer";
import type { CallFailure, CallResponder } from "@rhubarbwheel/types/ports";
import type { CompleteResponse } from "./sendResponse.js";
import { sendResponse } from "./sendResponse.js";

// Responses to orders and bookings are usually far smaller; a larger one is relayed but not stored.
const defaultMaxResponseBytes = 256 * 1024;
// Approximate memory of a record besides its body and headers.
const recordOverheadBytes = 512;

export interface RecordedResponse {
    readonly requestId: string;
    readonly outcome: "complete" | "notRun" | "unknown";
    /** Memory of the record; only the overhead for a response over the limit, which is not stored. */
    readonly sizeBytes: number;
}

export interface ResponseStoreOptions {
    readonly maxResponseBytes?: number;
    /** Called once per wrapped responder, after its call has ended; raises `answerRecorded`. */
    readonly onRecorded: (response: RecordedResponse) => void;
}

type StoredResponse = { readonly type: "complete"; readonly response: CompleteResponse; } | {
    readonly type: "failed";
    readonly failure: CallFailure;
};

export interface ResponseStore {
    /** Records the response; continues after the caller has disconnected, because a keyed call is not cancelled. */
    readonly wrapResponder: (requestId: string, responder: CallResponder) => CallResponder;
    /** Sends the recorded response; fails with `KEY_RECORD_EVICTED` when it is not stored. */
    readonly replayResponse: (sourceRequestId: string, responder: CallResponder) => Promise<void>;
    readonly removeResponse: (requestId: string) => void;
    readonly countResponses: () => number;
}

export function createResponseStore(opts: ResponseStoreOptions): ResponseStore {
    const maxResponseBytes = opts.maxResponseBytes ?? defaultMaxResponseBytes;
    const responses = new Map<string, StoredResponse>();

    const wrapResponder = (requestId: string, responder: CallResponder): CallResponder => {
        let head: { readonly status: number; readonly headers: Readonly<Record<string, string>>; } | undefined;
        /** Undefined if the body is not stored. */
        let body: ByteBuffer | undefined = createByteBuffer();
        let callerDisconnected = false;
        let ended = false;

        const recordChunk = (chunk: Uint8Array): void => {
            if (body !== undefined && body.getLength() + chunk.byteLength > maxResponseBytes) body = undefined;
            body?.append(chunk);
        };

        const finishRecording = (outcome: RecordedResponse["outcome"], stored: StoredResponse | undefined): void => {
            body = undefined;
            if (stored !== undefined) responses.set(requestId, stored);
            opts.onRecorded({ requestId, outcome, sizeBytes: recordOverheadBytes + computeResponseBytes(stored) });
        };

        return {
            start: (status, headers) => {
                head = { status, headers };
                responder.start(status, headers);
            },
            write: chunk => {
                recordChunk(chunk);
                return callerDisconnected || responder.write(chunk);
            },
            waitForDrain: () =>
                callerDisconnected ? Promise.resolve() : responder.waitForDrain().catch(() => {
                    callerDisconnected = true;
                }),
            finish: () => {
                if (ended) return;
                ended = true;
                responder.finish();
                const complete = head === undefined || body === undefined ? undefined : { ...head, body: body.take() };
                finishRecording(
                    "complete",
                    complete === undefined ? undefined : { type: "complete", response: complete },
                );
            },
            fail: failure => {
                if (ended) return;
                ended = true;
                responder.fail(failure);
                finishRecording(failure.outcome, { type: "failed", failure });
            },
        };
    };

    return {
        wrapResponder,
        replayResponse: async (sourceRequestId, responder) => {
            const stored = responses.get(sourceRequestId);
            if (stored === undefined) responder.fail({ code: "KEY_RECORD_EVICTED", outcome: "unknown" });
            else if (stored.type === "failed") responder.fail(stored.failure);
            else await sendResponse(stored.response, responder);
        },
        removeResponse: requestId => {
            responses.delete(requestId);
        },
        countResponses: () => responses.size,
    };
}

function computeResponseBytes(stored: StoredResponse | undefined): number {
    if (stored?.type !== "complete") return 0;
    const headers = Object.entries(stored.response.headers);
    return stored.response.body.byteLength
        + headers.reduce((sum, [name, value]) => sum + name.length + value.length, 0);
}
