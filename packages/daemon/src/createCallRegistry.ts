/** The calls that this router holds open, with the attempt that is running for each. */
import type { Call } from "@rhubarbwheel/types/ports";

export interface OpenCall {
    readonly call: Call;
    /** Number of the running attempt, 0 while none runs. */
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
            const open = calls.get(requestId);
            calls.delete(requestId);
            return open;
        },
        count: () => calls.size,
    };
}

export type CallRegistry = ReturnType<typeof createCallRegistry>;
