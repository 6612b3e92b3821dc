/** Writes the response of a target to the caller, with backpressure. */
import type { CallResponder } from "@rhubarbwheel/types/ports";

export interface ResponseWriter {
    /** Queues a chunk; chunks of one event loop turn, or queued while the caller is slow, are written together. */
    readonly write: (chunk: Uint8Array) => void;
    /** Resolves when all queued chunks have been written; rejects when the caller has disconnected. */
    readonly flush: () => Promise<void>;
}

export interface FlowControl {
    readonly pause: () => void;
    readonly resume: () => void;
    readonly onCallerDisconnected: (error: unknown) => void;
}

export function createResponseWriter(responder: CallResponder, flowControl: FlowControl): ResponseWriter {
    let queued: Uint8Array[] = [];
    let flushing: Promise<void> | undefined;

    const writeQueued = (): boolean => {
        const chunks = queued;
        queued = [];
        const [first] = chunks;
        if (first === undefined) return true;
        return responder.write(chunks.length === 1 ? first : Buffer.concat(chunks));
    };

    const flushQueue = async (): Promise<void> => {
        // Chunks of one packet arrive in the same event loop turn; after a microtask all of them are queued.
        await Promise.resolve();
        while (queued.length > 0) {
            if (writeQueued()) continue;
            flowControl.pause();
            await responder.waitForDrain();
            flowControl.resume();
        }
    };

    const startFlush = (): Promise<void> => {
        flushing ??= flushQueue().finally(() => (flushing = undefined));
        return flushing;
    };

    return {
        write: chunk => {
            queued.push(chunk);
            if (flushing === undefined) startFlush().catch(flowControl.onCallerDisconnected);
        },
        flush: async () => {
            while (flushing !== undefined || queued.length > 0) await startFlush();
        },
    };
}
