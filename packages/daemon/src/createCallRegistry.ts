/** Open calls of this router, each with its in-flight attempt. */
import type { Call } from "@rhubarbwheel/types/ports";

export interface OpenCall {
    readonly call: Call;
    /** Number of the latest attempt; 0 before the first. */
    attempt: number;
    cancelAttempt: (() => void) | undefined;
}

export function createCallRegistry() {
    const calls = new Map<string, OpenCall>();
    return {
        add: (call: Call) => {
            calls.set(call.id, { call, attempt: 0, cancelAttempt: undefined });
        },
        get: (requestId: string) => calls.get(requestId),
        remove: (requestId: string) => {
            const openCall = calls.get(requestId);
            calls.delete(requestId);
            return openCall;
        },
        count: () => calls.size,
    };
}

export type CallRegistry = ReturnType<typeof createCallRegistry>;
