/** Where calls enter the reducer: from callers and from peers that forward keyed calls. */
import { computeFingerprint } from "@rhubarbwheel/at-most-once/computeFingerprint";
import type { ResponseStore } from "@rhubarbwheel/at-most-once/createResponseStore";
import type { RequestSummary } from "@rhubarbwheel/types/events";
import type { Call } from "@rhubarbwheel/types/ports";
import type { CallRegistry } from "./createCallRegistry.js";
import type { Dispatch } from "./createEventLoop.js";

export interface CallGateOptions {
    readonly dispatch: Dispatch;
    readonly registry: CallRegistry;
    readonly answerStore: ResponseStore;
    readonly hasRequest: (requestId: string) => boolean;
    /** Returns the call as it is kept; the daemon measures its answer. */
    readonly measureCall: (call: Call) => Call;
}

export function createCallGate(opts: CallGateOptions) {
    return {
        submitCall: (call: Call) => {
            const { callerKey } = call;
            if (callerKey === undefined) {
                opts.registry.add(opts.measureCall(call));
                opts.dispatch({ type: "requestArrived", request: summarizeCall(call) });
                return;
            }
            const responder = opts.answerStore.wrapResponder(call.id, call.responder);
            opts.registry.add(opts.measureCall({ ...call, responder }));
            opts.dispatch({
                type: "keyedRequest",
                request: summarizeCall(call),
                callerKey,
                fingerprint: computeFingerprint(call),
                forwardedBy: call.forwardedBy,
            });
        },
        cancelCall: (requestId: string) => {
            opts.dispatch({ type: "requestCancelled", requestId });
            // A call that is not queued or running will see no end that would remove it.
            if (!opts.hasRequest(requestId)) opts.registry.remove(requestId);
        },
    };
}

function summarizeCall(call: Call): RequestSummary {
    const { id, workspace, service, idempotent, inputCost, outputCostHint, prefixHash } = call;
    return { id, workspace, service, idempotent, inputCost, outputCostHint, prefixHash };
}
