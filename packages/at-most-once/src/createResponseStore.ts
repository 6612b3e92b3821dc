/** Answers of keyed calls, recorded while they pass through the responder of the call. */
import type { CallFailure, CallResponder } from "@rhubarbwheel/types/ports";
import type { CompleteAnswer } from "./sendAnswer.js";
import { sendAnswer } from "./sendAnswer.js";

// Most answers of orders and bookings are far smaller; a larger one is passed on but not kept.
const defaultMaxAnswerBytes = 256 * 1024;
// Rough memory of a record besides its body and headers.
const recordOverheadBytes = 512;

export interface RecordedResponse {
    readonly requestId: string;
    readonly outcome: "complete" | "notRun" | "unknown";
    /** Memory that the record takes; of an answer over the limit, only its overhead. */
    readonly sizeBytes: number;
}

export interface ResponseStoreOptions {
    readonly maxResponseBytes?: number;
    /** Called once per wrapped responder, after its call has ended: the source of `answerRecorded`. */
    readonly onRecorded: (answer: RecordedResponse) => void;
}

type StoredAnswer = { readonly type: "complete"; readonly answer: CompleteAnswer; } | {
    readonly type: "failed";
    readonly failure: CallFailure;
};

export interface ResponseStore {
    /** Records what passes through; keeps recording after the caller has gone, because a keyed call runs on. */
    readonly wrapResponder: (requestId: string, responder: CallResponder) => CallResponder;
    /** Answers with the recorded answer; fails with `KEY_RECORD_EVICTED` when it is not held. */
    readonly replayResponse: (sourceRequestId: string, responder: CallResponder) => Promise<void>;
    readonly dropResponse: (requestId: string) => void;
    readonly countResponses: () => number;
}

export function createResponseStore(opts: ResponseStoreOptions): ResponseStore {
    const maxAnswerBytes = opts.maxResponseBytes ?? defaultMaxAnswerBytes;
    const answers = new Map<string, StoredAnswer>();

    const wrapResponder = (requestId: string, responder: CallResponder): CallResponder => {
        let head: { readonly status: number; readonly headers: Readonly<Record<string, string>>; } | undefined;
        let chunks: Buffer[] | undefined = [];
        let bodyBytes = 0;
        let callerGone = false;
        let ended = false;

        const recordChunk = (chunk: Uint8Array): void => {
            bodyBytes += chunk.byteLength;
            if (bodyBytes > maxAnswerBytes) chunks = undefined;
            // Copied, because a received chunk can be a small part of a large read buffer.
            chunks?.push(Buffer.from(chunk));
        };

        const endRecord = (outcome: RecordedResponse["outcome"], stored: StoredAnswer | undefined): void => {
            chunks = undefined;
            if (stored !== undefined) answers.set(requestId, stored);
            opts.onRecorded({ requestId, outcome, sizeBytes: recordOverheadBytes + measureAnswer(stored) });
        };

        return {
            begin: (status, headers) => {
                head = { status, headers };
                responder.begin(status, headers);
            },
            write: chunk => {
                recordChunk(chunk);
                return callerGone || responder.write(chunk);
            },
            waitForDrain: () =>
                callerGone ? Promise.resolve() : responder.waitForDrain().catch(() => {
                    callerGone = true;
                }),
            finish: () => {
                if (ended) return;
                ended = true;
                responder.finish();
                const complete = head === undefined || chunks === undefined
                    ? undefined
                    : { ...head, body: Buffer.concat(chunks) };
                endRecord("complete", complete === undefined ? undefined : { type: "complete", answer: complete });
            },
            fail: failure => {
                if (ended) return;
                ended = true;
                responder.fail(failure);
                endRecord(failure.outcome, { type: "failed", failure });
            },
        };
    };

    return {
        wrapResponder,
        replayResponse: async (sourceRequestId, responder) => {
            const stored = answers.get(sourceRequestId);
            if (stored === undefined) responder.fail({ code: "KEY_RECORD_EVICTED", outcome: "unknown" });
            else if (stored.type === "failed") responder.fail(stored.failure);
            else await sendAnswer(stored.answer, responder);
        },
        dropResponse: requestId => {
            answers.delete(requestId);
        },
        countResponses: () => answers.size,
    };
}

function measureAnswer(stored: StoredAnswer | undefined): number {
    if (stored?.type !== "complete") return 0;
    const headers = Object.entries(stored.answer.headers);
    return stored.answer.body.byteLength + headers.reduce((sum, [name, value]) => sum + name.length + value.length, 0);
}
