/** Effects on the calls of this router: attempts at targets, ends without a complete answer, forwarding and replay. */
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

/** Recorded answers of keyed calls. */
export interface AnswerKeeper {
    /** Writes the recorded answer to `responder`, or fails it when the answer is not held. */
    readonly replay: (sourceRequestId: string, responder: CallResponder) => Promise<void>;
    readonly drop: (requestId: string) => void;
}

export interface CallEffectOptions {
    readonly router: string;
    readonly dispatch: Dispatch;
    readonly registry: CallRegistry;
    readonly targetClient: TargetClient;
    readonly transport: PeerTransport;
    readonly answers: AnswerKeeper;
    readonly getService: (name: string) => NamedService | undefined;
    /** Whether the reducer still waits for an end of the request. */
    readonly hasRequest: (requestId: string) => boolean;
    readonly recordAttempt: (call: Call, attempt: number) => void;
}

const defaultCostPerCall = 1;

export function createCallEffects(opts: CallEffectOptions) {
    const { dispatch, registry } = opts;

    const onAttemptEnded = (call: Call, effect: SendToTargetEffect, end: AttemptEnd) => {
        const open = registry.get(call.id);
        if (end.result === "complete" && open?.attempt === effect.attempt) {
            registry.remove(call.id);
            call.responder.finish();
        }
        const { attempt, target } = effect;
        dispatch({ type: "targetEnded", requestId: call.id, attempt, target, ...end });
        // A cancelled request ends without an answer.
        if (!opts.hasRequest(call.id)) registry.remove(call.id);
    };

    const sendToTarget = (effect: SendToTargetEffect) => {
        const open = registry.get(effect.requestId);
        if (open === undefined) return;
        const { call } = open;
        const { requestId, attempt, target } = effect;
        open.attempt = attempt;
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
        open.cancelAttempt = handle.cancel;
    };

    const cancelAtTarget = (effect: CancelAtTargetEffect) => {
        const open = registry.get(effect.requestId);
        if (open?.attempt === effect.attempt) open.cancelAttempt?.();
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
            void sendForwardedResponse(result.answer, call.responder);
        }
        dispatch({ type: "forwardAnswered", requestId: call.id, result: result.type });
    };

    const replayAnswer = (effect: ReplayAnswerEffect) => {
        const call = registry.remove(effect.requestId)?.call;
        if (call !== undefined) void opts.answers.replay(effect.sourceRequestId, call.responder);
    };

    return {
        sendToTarget,
        cancelAtTarget,
        endRequest,
        forwardCall: (effect: ForwardCallEffect) => void forwardCall(effect),
        replayAnswer,
        dropAnswer: (effect: DropAnswerEffect) => opts.answers.drop(effect.requestId),
    };
}
