/** Calls with a responder that records the answer. */
import type { AttemptEnd, AttemptOptions, Call, CallResponder, TargetClient } from "@rhubarbwheel/types/ports";

import { createTargetClient } from "../src/createTargetClient.js";
import type { TargetLimits } from "../src/targetLimits.js";

export interface CallWishes {
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
        begun: number;
        status: number;
        headers: Readonly<Record<string, string>>;
        readonly writes: string[];
    };
}

export function createCall(wishes: CallWishes = {}, responder: Partial<CallResponder> = {}): RecordedCall {
    const recorded: RecordedCall["recorded"] = { begun: 0, status: 0, headers: {}, writes: [] };
    const isModel = wishes.kind !== "plain";
    return {
        id: wishes.id ?? "call-1",
        workspace: "ada",
        service: "service",
        serviceKind: wishes.kind ?? "model",
        idempotent: wishes.idempotent ?? true,
        method: wishes.method ?? "POST",
        path: wishes.path ?? (isModel ? "/v1/chat/completions" : "/orders"),
        headers: { "content-type": "application/json", ...wishes.headers },
        body: Buffer.from(wishes.body === undefined ? "" : JSON.stringify(wishes.body)),
        streaming: wishes.streaming ?? false,
        inputCost: isModel ? 10 : 0,
        responder: {
            begin: (status, headers) => {
                recorded.begun += 1;
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

/** Closes the client also when the test fails, so that a failure does not keep the process open. */
export async function withClient<T>(
    use: (client: TargetClient) => Promise<T>,
    limits: Partial<TargetLimits> = {},
): Promise<T> {
    const client = createTargetClient({ clock: () => performance.now(), limits });
    try {
        return await use(client);
    }
    finally {
        await client.close();
    }
}

/** Runs one attempt to its end; `text` is what the caller had got by then. */
export async function runCall(
    client: TargetClient,
    call: RecordedCall,
    address: string,
    opts: Partial<AttemptOptions> = {},
    onStarted: (attempt: { readonly cancel: () => void; }) => void = () => undefined,
): Promise<{ readonly end: AttemptEnd; readonly text: string; readonly status: number; readonly accepted: number; }> {
    let accepted = 0;
    let text = "";
    const end = await new Promise<AttemptEnd>(resolve => {
        const onEnded = (ended: AttemptEnd): void => {
            text = call.recorded.writes.join("");
            resolve(ended);
        };
        const observer = { onAccepted: () => (accepted += 1), onProgress: () => undefined, onEnded };
        const base = { attempt: 1, address, answerTimeoutMs: 2_000, costPerCall: 3, resume: false };
        onStarted(client.startAttempt(call, { ...base, ...opts, observer }));
    });
    return { end, text, status: call.recorded.status, accepted };
}
