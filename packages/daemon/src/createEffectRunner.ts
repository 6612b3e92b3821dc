/** Runs effects and dispatches their results as events. */
import type { Effect, LogEffect } from "@rhubarbwheel/types/effects";
import type { NamedService } from "@rhubarbwheel/types/events";
import type { PeerTransport, PlatformClient, TargetClient } from "@rhubarbwheel/types/ports";
import { createCallEffects } from "./createCallEffects.js";
import type { RecordedResponses } from "./createCallEffects.js";
import type { CallMetrics } from "./createCallMetrics.js";
import type { CallRegistry } from "./createCallRegistry.js";
import type { Dispatch } from "./createEventLoop.js";
import { createPlatformEffects } from "./createPlatformEffects.js";

export interface EffectRunnerOptions {
    readonly router: string;
    readonly dispatch: Dispatch;
    readonly registry: CallRegistry;
    readonly targetClient: TargetClient;
    readonly platformClient: PlatformClient;
    readonly transport: PeerTransport;
    readonly recordedResponses: RecordedResponses;
    readonly getService: (name: string) => NamedService | undefined;
    readonly hasRequest: (requestId: string) => boolean;
    readonly recordAttempt: CallMetrics["recordAttempt"];
    readonly getNow: () => number;
    readonly logEvent: (event: number, fields: LogEffect["fields"]) => void;
    readonly onStop: () => void;
}

type EffectHandlers = { readonly [K in Effect["type"]]: (effect: Extract<Effect, { type: K; }>) => void; };

export function createEffectRunner(opts: EffectRunnerOptions) {
    const handlers: EffectHandlers = {
        ...createCallEffects(opts),
        ...createPlatformEffects(opts),
        pollLoad: effect => {
            void opts.targetClient.pollLoad(effect.target, effect.address).then(result => {
                const { service, target } = effect;
                if (result.type === "reported")
                    opts.dispatch({ type: "loadReported", service, report: result.report });
                else opts.dispatch({ type: "loadUnavailable", service, target, refused: result.refused });
            });
        },
        sendToPeer: effect => opts.transport.send(effect.router, effect.address, effect.message),
        log: effect => opts.logEvent(effect.event, effect.fields),
        // The root reducer has already reduced raised events.
        raise: () => undefined,
        stop: () => opts.onStop(),
    };

    return (effect: Effect) => {
        const handle = handlers[effect.type] as (effect: Effect) => void;
        handle(effect);
    };
}
