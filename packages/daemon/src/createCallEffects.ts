/** Runs effects on open calls: attempts at targets, failure responses, forwarding and replay of recorded responses. */
import { sendForwardedResponse } from "@rhubarbwheel/at-most-once/createForwardResponder";
import type {
    CancelAtTargetEffect,
    DropAnswerEffect,
    EndRequestEffect,
    ForwardCallEffect,
    ReplayAnswerEffect,
    SendToTargetEffect,
} from "@rhubarbwheel/types/effects";
import type { NamedService } from "@rhubarbwheel/types/events";
import type { AttemptEnd, Call, CallResponder, PeerTransport, TargetClient } from "@rhubarbwheel/types/ports";
import type { CallRegistry } from "./createCallRegistry.js";
import type { Dispatch } from "./createEventLoop.js";

/** Recorded responses of keyed calls. */
export interface RecordedResponses {
    /** Writes the recorded response to `responder`; fails the call if the response is no longer stored. */
    readonly replay: (sourceRequestId: string, responder: CallResponder) => Promise<void>;
    readonly remove: (requestId: string) => void;
}

export interface CallEffectOptions {
    readonly router: string;
    readonly dispatch: Dispatch;
    readonly registry: CallRegistry;
    readonly targetClient: TargetClient;
    readonly transport: PeerTransport;
    readonly recordedResponses: RecordedResponses;
    readonly getService: (name: string) => NamedService | undefined;
    /** Whether the request is queued or in progress in the reducer. */
    readonly hasRequest: (requestId: string) => boolean;
    readonly recordAttempt: (call: Call, attempt: number) => void;
}

const defaultCostPerCall = 1;

export function createCallEffects(opts: CallEffectOptions) {
    const { dispatch, registry } = opts;

    const onAttemptEnded = (call: Call, effect: SendToTargetEffect, end: AttemptEnd) => {
        const openCall = registry.get(call.id);
        if (end.result === "complete" && openCall?.attempt === effect.attempt) {
            registry.remove(call.id);
            call.responder.finish();
        }
        const { attempt, target } = effect;
        dispatch({ type: "targetEnded", requestId: call.id, attempt, target, ...end });
        // A cancelled request gets no `endRequest` effect, so it is removed here.
        if (!opts.hasRequest(call.id)) registry.remove(call.id);
    };

    const sendToTarget = (effect: SendToTargetEffect) => {
        const openCall = registry.get(effect.requestId);
        if (openCall === undefined) return;
        const { call } = openCall;
        const { requestId, attempt, target } = effect;
        openCall.attempt = attempt;
        opts.recordAttempt(call, attempt);
        const handle = opts.targetClient.startAttempt(call, {
            attempt,
            address: effect.address,
            answerTimeoutMs: effect.answerTimeoutMs,
            costPerCall: opts.getService(effect.service)?.spec.costPerCall ?? defaultCostPerCall,
            resume: effect.resume ?? false,
            observer: {
                onAccepted: startId => dispatch({ type: "targetAccepted", requestId, attempt, target, startId }),
                onProgress: cost => dispatch({ type: "targetProgress", requestId, attempt, cost }),
                onEnded: end => onAttemptEnded(call, effect, end),
            },
        });
        openCall.cancelAttempt = handle.cancel;
    };

    const cancelAtTarget = (effect: CancelAtTargetEffect) => {
        const openCall = registry.get(effect.requestId);
        if (openCall?.attempt === effect.attempt) openCall.cancelAttempt?.();
    };

    const endRequest = (effect: EndRequestEffect) => {
        const { code, outcome, retryAfterMs } = effect;
        registry.remove(effect.requestId)?.call.responder.fail({ code, outcome, retryAfterMs });
    };

    const forwardCall = async (effect: ForwardCallEffect) => {
        const call = registry.get(effect.requestId)?.call;
        if (call === undefined) return;
        const result = await opts.transport.forwardCall(effect.router, effect.address, {
            requestId: call.id,
            forwardedBy: opts.router,
            mintedKey: effect.mintedKey,
            workspace: call.workspace,
            service: call.service,
            method: call.method,
            path: call.path,
            headers: call.headers,
            body: call.body,
        });
        if (result.type === "answered") {
            registry.remove(call.id);
            void sendForwardedResponse(result.response, call.responder);
        }
        dispatch({ type: "forwardAnswered", requestId: call.id, result: result.type });
    };

    const replayAnswer = (effect: ReplayAnswerEffect) => {
        const call = registry.remove(effect.requestId)?.call;
        if (call !== undefined) void opts.recordedResponses.replay(effect.sourceRequestId, call.responder);
    };

    return {
        sendToTarget,
        cancelAtTarget,
        endRequest,
        forwardCall: (effect: ForwardCallEffect) => void forwardCall(effect),
        replayAnswer,
        dropAnswer: (effect: DropAnswerEffect) => opts.recordedResponses.remove(effect.requestId),
    };
}
