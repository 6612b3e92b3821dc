/** Calls with a responder that records the response. */
import type { AttemptEnd, AttemptOptions, Call, CallResponder, TargetClient } from "@rhubarbwheel/types/ports";

import { createTargetClient } from "../src/createTargetClient.js";
import type { TargetLimits } from "../src/targetLimits.js";

export interface CallFields {
    readonly id?: string;
    readonly kind?: "model" | "plain";
    readonly method?: string;
    readonly path?: string;
    readonly idempotent?: boolean;
    readonly streaming?: boolean;
    readonly headers?: Readonly<Record<string, string>>;
    readonly body?: unknown;
}

export interface RecordedCall extends Call {
    readonly recorded: {
        startCount: number;
        status: number;
        headers: Readonly<Record<string, string>>;
        readonly writes: string[];
    };
}

export function createCall(fields: CallFields = {}, responder: Partial<CallResponder> = {}): RecordedCall {
    const recorded: RecordedCall["recorded"] = { startCount: 0, status: 0, headers: {}, writes: [] };
    const isModel = fields.kind !== "plain";
    return {
        id: fields.id ?? "call-1",
        workspace: "ada",
        service: "service",
        serviceKind: fields.kind ?? "model",
        idempotent: fields.idempotent ?? true,
        method: fields.method ?? "POST",
        path: fields.path ?? (isModel ? "/v1/chat/completions" : "/orders"),
        headers: { "content-type": "application/json", ...fields.headers },
        body: Buffer.from(fields.body === undefined ? "" : JSON.stringify(fields.body)),
        streaming: fields.streaming ?? false,
        inputCost: isModel ? 10 : 0,
        responder: {
            start: (status, headers) => {
                recorded.startCount += 1;
                recorded.status = status;
                recorded.headers = headers;
            },
            write: chunk => recorded.writes.push(Buffer.from(chunk).toString("utf8")) > 0,
            waitForDrain: () => Promise.resolve(),
            finish: () => undefined,
            fail: () => undefined,
            ...responder,
        },
        recorded,
    };
}

/** Closes the client even if the test fails, so that a failure does not keep the process running. */
export async function withClient<T>(
    use: (client: TargetClient) => Promise<T>,
    limits: Partial<TargetLimits> = {},
): Promise<T> {
    const client = createTargetClient({ getNow: () => performance.now(), limits });
    try {
        return await use(client);
    }
    finally {
        await client.close();
    }
}

/** Runs one attempt to its end; `text` is the body that the caller had received by then. */
export async function runCall(
    client: TargetClient,
    call: RecordedCall,
    address: string,
    opts: Partial<AttemptOptions> = {},
    onStarted: (attempt: { readonly cancel: () => void; }) => void = () => undefined,
): Promise<
    { readonly end: AttemptEnd; readonly text: string; readonly status: number; readonly acceptedCount: number; }
> {
    let acceptedCount = 0;
    let text = "";
    const end = await new Promise<AttemptEnd>(resolve => {
        const onEnded = (attemptEnd: AttemptEnd): void => {
            text = call.recorded.writes.join("");
            resolve(attemptEnd);
        };
        const observer = { onAccepted: () => (acceptedCount += 1), onProgress: () => undefined, onEnded };
        const defaults = { attempt: 1, address, answerTimeoutMs: 2_000, costPerCall: 3, resume: false };
        onStarted(client.startAttempt(call, { ...defaults, ...opts, observer }));
    });
    return { end, text, status: call.recorded.status, acceptedCount };
}
