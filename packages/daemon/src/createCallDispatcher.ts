/** Registers calls from callers and from forwarding routers, and dispatches them to the reducer. */
import { computeFingerprint } from "@rhubarbwheel/at-most-once/computeFingerprint";
import type { ResponseStore } from "@rhubarbwheel/at-most-once/createResponseStore";
import type { RequestSummary } from "@rhubarbwheel/types/events";
import type { Call } from "@rhubarbwheel/types/ports";
import type { CallRegistry } from "./createCallRegistry.js";
import type { Dispatch } from "./createEventLoop.js";

export interface CallDispatcherOptions {
    readonly dispatch: Dispatch;
    readonly registry: CallRegistry;
    readonly responseStore: ResponseStore;
    readonly hasRequest: (requestId: string) => boolean;
    /** Wraps the responder of a call so that its latency is recorded. */
    readonly instrumentCall: (call: Call) => Call;
}

export function createCallDispatcher(opts: CallDispatcherOptions) {
    return {
        submitCall: (call: Call) => {
            const { callerKey } = call;
            if (callerKey === undefined) {
                opts.registry.add(opts.instrumentCall(call));
                opts.dispatch({ type: "requestArrived", request: createRequestSummary(call) });
                return;
            }
            const responder = opts.responseStore.wrapResponder(call.id, call.responder);
            opts.registry.add(opts.instrumentCall({ ...call, responder }));
            opts.dispatch({
                type: "keyedRequest",
                request: createRequestSummary(call),
                callerKey,
                fingerprint: computeFingerprint(call),
                forwardedBy: call.forwardedBy,
            });
        },
        cancelCall: (requestId: string) => {
            opts.dispatch({ type: "requestCancelled", requestId });
            // No later event removes a call that is neither queued nor in progress.
            if (!opts.hasRequest(requestId)) opts.registry.remove(requestId);
        },
    };
}

function createRequestSummary(call: Call): RequestSummary {
    const { id, workspace, service, idempotent, inputCost, outputCostHint, prefixHash } = call;
    return { id, workspace, service, idempotent, inputCost, outputCostHint, prefixHash };
}
