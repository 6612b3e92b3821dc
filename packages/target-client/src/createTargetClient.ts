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
    readonly getNow: () => number;
    readonly limits?: Partial<TargetLimits>;
}

function isHttpAddress(address: string): boolean {
    return URL.canParse(address) && /^https?:$/.test(new URL(address).protocol);
}

export function createTargetClient(opts: TargetClientOptions): TargetClient {
    const limits: TargetLimits = { ...defaultTargetLimits, ...opts.limits };
    const connectionOptions = {
        pipelining: 1,
        maxHeaderSize: limits.maxHeaderBytes,
        connect: { timeout: limits.connectTimeoutMs },
    };
    const callAgent = new Agent(connectionOptions);
    const pollAgent = new Agent({ ...connectionOptions, connections: 1 });
    const singleUseClients = new Set<Client>();
    const progressByCall = new WeakMap<Call, CallProgress>();

    const getProgress = (call: Call): CallProgress => {
        const progress = progressByCall.get(call)
            ?? { streamId: undefined, eventCount: 0, earlierCost: 0, responseStarted: false };
        progressByCall.set(call, progress);
        return progress;
    };

    /**
     * For non-idempotent calls: the target may already have closed a connection that is reused, which leaves it unclear
     * whether the call arrived.
     */
    const createSingleUseClient = (address: string) => {
        const client = new Client(new URL(address).origin, connectionOptions);
        singleUseClients.add(client);
        const destroy = (): void => {
            singleUseClients.delete(client);
            client.destroy().catch(() => undefined);
        };
        return { dispatcher: client, destroy };
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
                return refuseAttempt(attempt, progress.responseStarted, "address is not an HTTP URL");
            const canResume = attempt.resume && progress.streamId !== undefined;
            if (progress.responseStarted && !canResume)
                return refuseAttempt(attempt, true, "response has started and cannot be resumed");
            const connection = call.idempotent
                ? { dispatcher: callAgent, destroy: () => undefined }
                : createSingleUseClient(attempt.address);
            return runAttempt(call, attempt, { ...connection, getNow: opts.getNow, limits, progress });
        },
        pollLoad: (target, address) =>
            pollLoad(target, address, { dispatcher: pollAgent, getNow: opts.getNow, timeoutMs: limits.pollTimeoutMs }),
        close: async () => {
            await Promise.all([callAgent, pollAgent, ...singleUseClients].map(dispatcher => dispatcher.destroy()));
        },
    };
}
