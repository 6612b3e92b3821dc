/** Runs keyed calls that other routers forwarded, and collects each answer to send it back whole. */
import type { NamedService } from "@rhubarbwheel/types/events";
import type { Call, CallResponder, ForwardedAnswer, ForwardedCall } from "@rhubarbwheel/types/ports";

export interface ForwardedCallHandlerOptions {
    readonly submitCall: (call: Call) => void;
    readonly createId: () => string;
    readonly getService: (name: string) => NamedService | undefined;
}

export function createForwardedCallHandler(opts: ForwardedCallHandlerOptions) {
    return (forwarded: ForwardedCall): Promise<ForwardedAnswer> => {
        const service = opts.getService(forwarded.service);
        if (service === undefined) return Promise.resolve(createFailedAnswer("SERVICE_UNKNOWN", "notRun"));
        return new Promise(resolve => {
            opts.submitCall({
                id: opts.createId(),
                workspace: forwarded.workspace,
                service: forwarded.service,
                serviceKind: service.spec.kind,
                idempotent: false,
                method: forwarded.method,
                path: forwarded.path,
                headers: forwarded.headers,
                body: Buffer.from(forwarded.body),
                streaming: false,
                callerKey: forwarded.mintedKey,
                forwardedBy: forwarded.forwardedBy,
                inputCost: service.spec.costPerCall ?? 1,
                responder: createCollectingResponder(resolve),
            });
        });
    };
}

function createFailedAnswer(code: string, outcome: "notRun" | "unknown", retryAfterMs?: number): ForwardedAnswer {
    return { outcome, status: 0, headers: {}, body: new Uint8Array(), code, retryAfterMs };
}

function createCollectingResponder(resolve: (answer: ForwardedAnswer) => void): CallResponder {
    let status = 0;
    let headers: Readonly<Record<string, string>> = {};
    const chunks: Uint8Array[] = [];
    return {
        begin: (beginStatus, beginHeaders) => {
            status = beginStatus;
            headers = beginHeaders;
        },
        write: chunk => {
            chunks.push(chunk);
            return true;
        },
        waitForDrain: () => Promise.resolve(),
        finish: () => resolve({ outcome: "complete", status, headers, body: Buffer.concat(chunks) }),
        fail: failure => resolve(createFailedAnswer(failure.code, failure.outcome, failure.retryAfterMs)),
    };
}
