/** Runs keyed calls forwarded by other routers. Each response is buffered and returned in one message. */
import { createForwardResponder } from "@rhubarbwheel/at-most-once/createForwardResponder";
import type { NamedService } from "@rhubarbwheel/types/events";
import type { Call, CallResponder, ForwardedCall, ForwardedResponse } from "@rhubarbwheel/types/ports";

export interface ForwardedCallHandlerOptions {
    readonly submitCall: (call: Call) => void;
    readonly createId: () => string;
    readonly getService: (name: string) => NamedService | undefined;
}

export function createForwardedCallHandler(opts: ForwardedCallHandlerOptions) {
    return (forwarded: ForwardedCall): Promise<ForwardedResponse> => {
        const service = opts.getService(forwarded.service);
        const { responder, response } = createForwardResponder();
        if (service === undefined) responder.fail({ code: "SERVICE_UNKNOWN", outcome: "notRun" });
        else opts.submitCall(createCall(forwarded, service, { id: opts.createId(), responder }));
        return response;
    };
}

function createCall(
    forwarded: ForwardedCall,
    { spec }: NamedService,
    opts: { readonly id: string; readonly responder: CallResponder; },
): Call {
    const { workspace, service, method, path, headers, body, mintedKey, forwardedBy } = forwarded;
    return {
        id: opts.id,
        workspace,
        service,
        serviceKind: spec.kind,
        idempotent: false,
        method,
        path,
        headers,
        body: Buffer.from(body),
        streaming: false,
        callerKey: mintedKey,
        forwardedBy,
        inputCost: spec.costPerCall ?? 1,
        responder: opts.responder,
    };
}
