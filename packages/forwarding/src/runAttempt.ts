/** One attempt of a call at one target: sends it, checks the answer, and passes it on. */
import type { PlacedAttemptResult, ReportedLoad } from "@rhubarbwheel/types/placement";
import type { StartAttemptEffect } from "@rhubarbwheel/types/placement-events";
import type { Dispatcher } from "undici";
import type { ConnectionPool } from "./createConnectionPool.js";
import { createResponseRelay } from "./createResponseRelay.js";
import type { AnswerRelay } from "./createResponseRelay.js";
import type { HeaderCodec, Headers } from "./headerCodec.js";
import type { OpenCall } from "./openCall.js";

export interface AttemptEnd {
    readonly result: PlacedAttemptResult;
    readonly responseStarted: boolean;
    readonly load?: ReportedLoad;
    readonly reason?: string;
}

export interface AttemptContext {
    readonly headerCodec: HeaderCodec;
    readonly connections: ConnectionPool;
    readonly onStarted: (load: ReportedLoad | undefined) => void;
    /** Called exactly once, unless the attempt is cancelled by `cancel`. */
    readonly onEnded: (end: AttemptEnd) => void;
}

/** Results after which the connection is in order. */
const reusableResults: readonly PlacedAttemptResult[] = ["complete", "rejected", "misdirected", "failed"];

function describeError(error: Error): string {
    const { code } = error as NodeJS.ErrnoException;
    return code ?? error.message;
}

/** Reads the time for which a target keeps an idle connection open. */
function readIdleLimit(headers: Headers): number | undefined {
    const seconds = /timeout=(\d+)/.exec(String(headers["keep-alive"] ?? ""))?.[1];
    return seconds === undefined ? undefined : Number(seconds) * 1_000;
}

/** Starts the attempt; the returned function breaks it off. */
export function runAttempt(call: OpenCall, effect: StartAttemptEffect, context: AttemptContext): () => void {
    const { headerCodec, connections } = context;
    const connection = connections.acquire(effect.address, effect.mayReuseConnection);
    let controller: Dispatcher.DispatchController | undefined;
    let relay: AnswerRelay | undefined;
    let load: ReportedLoad | undefined;
    /** Whether the target says where its answer ends; without, it ends with the connection. */
    let hasLength = true;
    let started = false;
    let ended = false;

    const end = (result: PlacedAttemptResult, more: Partial<AttemptEnd> = {}): void => {
        if (ended) return;
        ended = true;
        if (reusableResults.includes(result)) connections.release(connection);
        else connections.discard(connection);
        context.onEnded({ result, responseStarted: relay?.hasAnswered() ?? false, load, ...more });
    };

    const breakOff = (reason: string): void => {
        end(started ? "broken" : "unsent", { reason });
        controller?.abort(new Error(reason));
    };

    const readHead = (status: number, headers: Headers): void => {
        const head = headerCodec.parseResponseHeaders(status, headers);
        connection.idleLimitMs = readIdleLimit(headers);
        if (head.callerId !== call.head.callerId && !head.isRejection)
            return breakOff("the answer belongs to another call");
        load = head.load;
        hasLength = headers["content-length"] !== undefined || headers["transfer-encoding"] !== undefined;
        relay = createResponseRelay(call, {
            status,
            headers: headerCodec.filterResponseHeaders(headers),
            head,
            hasLength,
            pause: () => controller?.pause(),
            resume: () => controller?.resume(),
            onFirstEvent: () => context.onStarted(load),
        });
    };

    const finish = (): void => {
        if (ended) return;
        // An answer with a length is whole when all of it has arrived, whatever happens to its connection.
        if (!hasLength && connection.isBroken) return breakOff("the connection was reset");
        const outcome = relay?.finish();
        if (outcome === undefined) return breakOff("the answer has no head");
        if (outcome.result === "broken") return breakOff(outcome.reason ?? "the answer is incomplete");
        end(outcome.result, outcome);
    };

    const handler: Dispatcher.DispatchHandler = {
        /** Comes before the first byte is written to a connection. */
        onRequestStart: given => {
            if (ended) return given.abort(new Error("the attempt has ended"));
            controller = given;
            // undici starts a request again on a new connection in some cases; that would send the call twice.
            if (started) return breakOff("the connection was lost");
            started = true;
        },
        onResponseStart: (_controller, status, headers) => {
            if (!ended && status >= 200) readHead(status, headers as Headers);
        },
        onResponseData: (_controller, chunk) => {
            if (!ended) relay?.push(chunk);
        },
        onResponseEnd: () => {
            if (hasLength) finish();
            // Whether its connection ended in order is known one turn of the loop later.
            else setImmediate(finish);
        },
        onResponseError: (_controller, error) => {
            end(started ? "broken" : "unsent", { reason: describeError(error) });
        },
    };

    try {
        connection.client.dispatch({
            path: call.incoming.url ?? "/",
            method: call.incoming.method as Dispatcher.HttpMethod,
            headers: headerCodec.buildTargetHeaders(call.incoming.rawHeaders, {
                target: effect.target,
                prefixSourceAddress: effect.prefixSourceAddress,
                workspace: effect.workspace,
                timeLimitMs: effect.timeLimitMs,
                lastEventId: call.lastEventId,
                removeCredential: call.removeCredential,
            }),
            body: call.body.length === 0 ? undefined : call.body,
        }, handler);
    }
    catch (error) {
        // undici refuses some headers and methods that Node's server accepts.
        queueMicrotask(() => end("unsent", { reason: describeError(error as Error) }));
    }

    return () => {
        if (ended) return;
        ended = true;
        controller?.abort(new Error("cancelled"));
        connections.discard(connection);
    };
}
