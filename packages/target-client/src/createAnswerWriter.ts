/** Passes the answer of a target on to the caller, with backpressure. */
import type { CallResponder } from "@rhubarbwheel/types/ports";

export interface AnswerWriter {
    /** Queues bytes; those that arrive in the same turn of the loop, or while the caller is slow, are written together. */
    readonly write: (chunk: Uint8Array) => void;
    /** Resolves when all queued bytes have been handed over; rejects when the caller has gone. */
    readonly flush: () => Promise<void>;
}

export interface AnswerFlow {
    readonly pause: () => void;
    readonly resume: () => void;
    readonly onCallerGone: (error: unknown) => void;
}

export function createAnswerWriter(responder: CallResponder, flow: AnswerFlow): AnswerWriter {
    let waiting: Uint8Array[] = [];
    let working: Promise<void> | undefined;

    const writeWaiting = (): boolean => {
        const chunks = waiting;
        waiting = [];
        const [first] = chunks;
        if (first === undefined) return true;
        return responder.write(chunks.length === 1 ? first : Buffer.concat(chunks));
    };

    const work = async (): Promise<void> => {
        // Waits for the end of the current packet, all of whose chunks arrive in one turn.
        await Promise.resolve();
        while (waiting.length > 0) {
            if (writeWaiting()) continue;
            flow.pause();
            await responder.waitForDrain();
            flow.resume();
        }
    };

    const start = (): Promise<void> => {
        working ??= work().finally(() => (working = undefined));
        return working;
    };

    return {
        write: chunk => {
            waiting.push(chunk);
            if (working === undefined) start().catch(flow.onCallerGone);
        },
        flush: async () => {
            while (working !== undefined || waiting.length > 0) await start();
        },
    };
}
