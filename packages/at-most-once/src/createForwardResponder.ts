/** Carries the answer of a forwarded call back to the router that forwarded it. */
import type { CallResponder, ForwardedResponse } from "@rhubarbwheel/types/ports";
import { sendAnswer } from "./sendAnswer.js";

// A forwarded answer travels in one message between routers, whose usual limit is 4 MiB.
const defaultMaxAnswerBytes = 1024 * 1024;

export interface ForwardResponder {
    readonly responder: CallResponder;
    /** Resolves when the call has ended; never rejects. */
    readonly answer: Promise<ForwardedResponse>;
}

/** Collects the answer at the owner of the key. An answer over the limit is `unknown` to the caller, although the call ran. */
export function createForwardResponder(
    opts: { readonly maxResponseBytes?: number; } = {},
): ForwardResponder {
    const maxAnswerBytes = opts.maxResponseBytes ?? defaultMaxAnswerBytes;
    let status = 0;
    let headers: Readonly<Record<string, string>> = {};
    let chunks: Uint8Array[] = [];
    let bodyBytes = 0;
    let resolveAnswer: (answer: ForwardedResponse) => void;
    const answer = new Promise<ForwardedResponse>(resolve => {
        resolveAnswer = resolve;
    });
    const endWithout = (outcome: "notRun" | "unknown", code: string, retryAfterMs?: number): void =>
        resolveAnswer({
            outcome,
            status: 0,
            headers: {},
            body: new Uint8Array(),
            code,
            ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
        });

    return {
        answer,
        responder: {
            begin: (beginStatus, beginHeaders) => {
                status = beginStatus;
                headers = beginHeaders;
            },
            write: chunk => {
                bodyBytes += chunk.byteLength;
                if (bodyBytes <= maxAnswerBytes) chunks.push(Buffer.from(chunk));
                else chunks = [];
                return true;
            },
            waitForDrain: () => Promise.resolve(),
            finish: () =>
                bodyBytes > maxAnswerBytes
                    ? endWithout("unknown", "KEY_RECORD_EVICTED")
                    : resolveAnswer({ outcome: "complete", status, headers, body: Buffer.concat(chunks) }),
            fail: failure => endWithout(failure.outcome, failure.code, failure.retryAfterMs),
        },
    };
}

/** Answers the caller of the router that forwarded the call. */
export async function sendForwardedResponse(answer: ForwardedResponse, responder: CallResponder): Promise<void> {
    if (answer.outcome === "complete") return sendAnswer(answer, responder);
    responder.fail({
        code: answer.code ?? "INTERNAL",
        outcome: answer.outcome,
        ...(answer.retryAfterMs === undefined ? {} : { retryAfterMs: answer.retryAfterMs }),
    });
}
