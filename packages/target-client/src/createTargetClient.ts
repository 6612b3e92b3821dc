/** Client of model engines and plain services. */
import type { AttemptOptions, Call, TargetClient } from "@rhubarbwheel/types/ports";
import { Agent, Client } from "undici";
import { pollLoad } from "./pollLoad.js";
import { runAttempt } from "./runAttempt.js";
import type { CallProgress } from "./runAttempt.js";
import { defaultTargetLimits } from "./targetLimits.js";
import type { TargetLimits } from "./targetLimits.js";

export interface TargetClientOptions {
    /** Monotonic time in milliseconds. */
    readonly clock: () => number;
    readonly limits?: Partial<TargetLimits>;
}

function isHttpAddress(address: string): boolean {
    return URL.canParse(address) && /^https?:$/.test(new URL(address).protocol);
}

export function createTargetClient(opts: TargetClientOptions): TargetClient {
    const limits: TargetLimits = { ...defaultTargetLimits, ...opts.limits };
    const connection = {
        pipelining: 1,
        maxHeaderSize: limits.maxHeaderBytes,
        connect: { timeout: limits.connectTimeoutMs },
    };
    const callAgent = new Agent(connection);
    const pollAgent = new Agent({ ...connection, connections: 1 });
    const singleUse = new Set<Client>();
    const progressOfCalls = new WeakMap<Call, CallProgress>();

    const getProgress = (call: Call): CallProgress => {
        const known = progressOfCalls.get(call) ?? { streamId: undefined, events: 0, earlierCost: 0, begun: false };
        progressOfCalls.set(call, known);
        return known;
    };

    /** A reused connection may already be closed by the target, which makes it unclear whether the call arrived. */
    const createSingleUse = (address: string) => {
        const client = new Client(new URL(address).origin, connection);
        singleUse.add(client);
        const dispose = (): void => {
            singleUse.delete(client);
            client.destroy().catch(() => undefined);
        };
        return { dispatcher: client, dispose };
    };

    const refuseAttempt = (attempt: AttemptOptions, responseStarted: boolean, reason: string) => {
        queueMicrotask(() =>
            attempt.observer.onEnded({ result: "refused", sent: false, responseStarted, cost: 0, reason })
        );
        return { cancel: () => undefined };
    };

    return {
        startAttempt: (call, attempt) => {
            const progress = getProgress(call);
            if (!isHttpAddress(attempt.address))
                return refuseAttempt(attempt, progress.begun, "address is not an HTTP URL");
            const canResume = attempt.resume && progress.streamId !== undefined;
            if (progress.begun && !canResume)
                return refuseAttempt(attempt, true, "answer has begun and cannot be resumed");
            const connection = call.idempotent
                ? { dispatcher: callAgent, dispose: () => undefined }
                : createSingleUse(attempt.address);
            return runAttempt(call, attempt, { ...connection, clock: opts.clock, limits, progress });
        },
        pollLoad: (target, address) =>
            pollLoad(target, address, { dispatcher: pollAgent, clock: opts.clock, timeoutMs: limits.pollTimeoutMs }),
        close: async () => {
            await Promise.all([callAgent, pollAgent, ...singleUse].map(dispatcher => dispatcher.destroy()));
        },
    };
}
