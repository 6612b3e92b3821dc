/** One attempt of a call at one target. */
import type { AttemptEnd, AttemptOptions, Call } from "@rhubarbwheel/types/ports";
import type { Dispatcher } from "undici";
import { checkAnswer } from "./checkAnswer.js";
import { createAnswerReader } from "./createAnswerReader.js";
import type { AnswerReader } from "./createAnswerReader.js";
import { createAnswerWriter } from "./createAnswerWriter.js";
import { measureCost } from "./measureCost.js";
import { readErrorReason } from "./readErrorReason.js";
import { createRequestHeaders, filterAnswerHeaders, readHeader } from "./targetHeaders.js";
import type { AnswerHeaders } from "./targetHeaders.js";
import type { TargetLimits } from "./targetLimits.js";

/** What is known of a call's answer across its attempts. */
export interface CallProgress {
    /** Request id of the attempt whose stream the caller reads. */
    streamId: string | undefined;
    /** `data:` events passed on by all attempts. */
    events: number;
    /** Cost of the attempts that have ended. */
    earlierCost: number;
    /** Whether status and headers have gone to the caller. */
    begun: boolean;
}

export interface AttemptContext {
    readonly dispatcher: Dispatcher;
    readonly clock: () => number;
    readonly limits: TargetLimits;
    readonly progress: CallProgress;
    /** Releases what only this attempt uses. */
    readonly dispose: () => void;
}

/** Bytes after the end of an answer that are read before the connection is given up. */
const maxSurplusBytes = 65_536;

export function runAttempt(
    call: Call,
    opts: AttemptOptions,
    context: AttemptContext,
): { readonly cancel: () => void; } {
    const { clock, limits, progress } = context;
    const requestId = `${call.id}.${opts.attempt}`;
    const resuming = opts.resume && progress.streamId !== undefined;
    const eventsBefore = progress.events;
    const costOpts = { costPerCall: opts.costPerCall, resuming, earlierCost: progress.earlierCost };
    let controller: Dispatcher.DispatchController | undefined;
    let reader: AnswerReader | undefined;
    let started = false;
    /** The result is decided; what is left is to hand over queued bytes. */
    let closing = false;
    let ended = false;
    let callerGone = false;
    let informational = 0;
    let surplusBytes = 0;
    let startId: string | undefined;
    let begin: (() => void) | undefined;
    let lastProgressAt = clock();

    const end = (result: AttemptEnd["result"], reason?: string): void => {
        if (ended) return;
        closing = true;
        ended = true;
        // A broken attempt is charged as well: otherwise a workspace whose calls never complete would use slots for free.
        const cost = result === "refused" ? 0 : measureCost(call, reader, costOpts);
        progress.earlierCost += cost;
        progress.events = eventsBefore + (reader?.countEvents() ?? 0);
        context.dispose();
        opts.observer.onEnded({ result, sent: started, responseStarted: progress.begun, cost, startId, reason });
    };

    /** Ends the attempt after the bytes that it has queued: those of a resumed stream must come behind them. */
    const close = (result: AttemptEnd["result"], reason?: string): void => {
        if (closing) return;
        closing = true;
        if (result !== "complete") controller?.abort(new Error(reason));
        writer.flush().catch(() => undefined).then(() => end(result, reason));
    };

    const fail = (reason: string): void => close(started ? "broken" : "refused", reason);

    const writer = createAnswerWriter(call.responder, {
        pause: () => controller?.pause(),
        resume: () => controller?.resume(),
        onCallerGone: () => {
            callerGone = true;
            // A non-idempotent call runs to its end even if nobody reads the answer.
            if (call.idempotent) fail("caller gone");
            else controller?.resume();
        },
    });

    const passOn = (chunk: Uint8Array): void => {
        if (callerGone) return;
        begin?.();
        begin = undefined;
        if (chunk.length > 0) writer.write(chunk);
    };

    const reportProgress = (): void => {
        const now = clock();
        if (now - lastProgressAt < limits.progressIntervalMs) return;
        lastProgressAt = now;
        opts.observer.onProgress(measureCost(call, reader, costOpts));
    };

    /** Prepares to begin the answer to the caller with the first bytes of the body. */
    const prepareBegin = (status: number, headers: AnswerHeaders, isStream: boolean): void => {
        const passed = filterAnswerHeaders(headers, { keepLength: !isStream });
        begin = () => {
            progress.begun = true;
            if (isStream) progress.streamId = requestId;
            call.responder.begin(status, passed);
        };
    };

    const acceptAnswer = (status: number, headers: AnswerHeaders): void => {
        startId = readHeader(headers, "x-start-id");
        const check = checkAnswer(call, { requestId, status, headers, resuming });
        if (check.type === "invalid") return fail(check.reason);
        if (check.type === "notRun") return close("refused", check.reason);
        reader = createAnswerReader(check.form, passOn, limits);
        if (!resuming) prepareBegin(status, headers, check.form === "events");
        opts.observer.onAccepted(startId);
    };

    const readData = (chunk: Buffer): void => {
        if (closing) {
            surplusBytes += chunk.length;
            if (surplusBytes > maxSurplusBytes) controller?.abort(new Error("bytes after the answer"));
            return;
        }
        const invalid = reader?.push(chunk);
        if (invalid !== undefined) return fail(invalid);
        if (reader?.isDone() === true) close("complete");
        else reportProgress();
    };

    const readEnd = (): void => {
        if (closing) return;
        const incomplete = reader?.end();
        if (incomplete === undefined) close("complete");
        else fail(incomplete);
    };

    const handler: Dispatcher.DispatchHandler = {
        /** Comes before the first byte is written to a connection. */
        onRequestStart: given => {
            if (closing) return given.abort(new Error("attempt has ended"));
            controller = given;
            // undici may start a request again on a new connection; that would send a call twice.
            if (started) return fail("request started twice");
            started = true;
        },
        onResponseStart: (_controller, status, headers) => {
            if (closing) return;
            if (status >= 200) return acceptAnswer(status, headers);
            informational += 1;
            if (informational > limits.maxInformational) fail("too many informational answers");
        },
        onResponseData: (_controller, chunk) => readData(chunk),
        onResponseEnd: readEnd,
        onResponseError: (_controller, error) => fail(readErrorReason(error)),
    };

    const base = new URL(opts.address);
    const resume = resuming ? `${progress.streamId ?? ""};${eventsBefore}` : undefined;
    context.dispatcher.dispatch({
        origin: base.origin,
        path: base.pathname.replace(/\/$/, "") + call.path,
        method: call.method as Dispatcher.HttpMethod,
        headers: createRequestHeaders(call, requestId, resume),
        body: call.body.length === 0 ? undefined : call.body,
        headersTimeout: opts.answerTimeoutMs,
        bodyTimeout: opts.answerTimeoutMs,
        reset: !call.idempotent,
    }, handler);

    const cancel = (): void => {
        end(started ? "broken" : "refused", "cancelled");
        controller?.abort(new Error("cancelled"));
    };
    return { cancel };
}
