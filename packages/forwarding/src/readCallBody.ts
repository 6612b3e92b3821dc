/** Reads the body of a call into memory, so that the call can be retried. */
import type { IncomingMessage } from "node:http";

export type BodyReadResult =
    | { readonly type: "read"; readonly body: Buffer; }
    | { readonly type: "tooLarge"; }
    /** The memory budget for bodies is exhausted. */
    | { readonly type: "noMemory"; }
    /** The caller sent nothing within the idle timeout. */
    | { readonly type: "stalled"; }
    | { readonly type: "callerGone"; };

/** Memory budget shared by the bodies of all open calls. */
export interface MemoryBudget {
    /** Reserves memory; returns false if not enough is left. */
    readonly tryReserve: (bytes: number) => boolean;
    readonly release: (bytes: number) => void;
}

export function createMemoryBudget(maxBytes: number): MemoryBudget {
    let reservedBytes = 0;
    return {
        tryReserve: bytes => {
            if (reservedBytes + bytes > maxBytes) return false;
            reservedBytes += bytes;
            return true;
        },
        release: bytes => {
            reservedBytes -= bytes;
        },
    };
}

export interface CallBodyOptions {
    readonly maxBytes: number;
    readonly memoryBudget: MemoryBudget;
    /** Maximum time between two chunks of the body. */
    readonly idleTimeoutMs: number;
}

/** Calls `onResult` exactly once. The memory of a completely read body stays reserved; the calling code releases it. */
export function readCallBody(
    incoming: IncomingMessage,
    opts: CallBodyOptions,
    onResult: (result: BodyReadResult) => void,
): void {
    const contentLength = Number(incoming.headers["content-length"] ?? 0);
    if (contentLength > opts.maxBytes) return onResult({ type: "tooLarge" });
    const chunks: Buffer[] = [];
    let size = 0;
    let bodyReservedBytes = 0;
    let isFinished = false;
    const finish = (result: BodyReadResult): void => {
        if (isFinished) return;
        isFinished = true;
        clearTimeout(timer);
        incoming.removeListener("data", onData);
        if (result.type !== "read") opts.memoryBudget.release(bodyReservedBytes);
        // Discards the rest of a rejected body, so that it does not accumulate in memory.
        incoming.resume();
        onResult(result);
    };
    const onIdleTimeout = (): void => finish({ type: "stalled" });
    let timer = setTimeout(onIdleTimeout, opts.idleTimeoutMs);
    const onData = (chunk: Buffer): void => {
        size += chunk.length;
        if (size > opts.maxBytes) return finish({ type: "tooLarge" });
        if (!opts.memoryBudget.tryReserve(chunk.length)) return finish({ type: "noMemory" });
        bodyReservedBytes += chunk.length;
        chunks.push(chunk);
        clearTimeout(timer);
        timer = setTimeout(onIdleTimeout, opts.idleTimeoutMs);
    };
    incoming.on("data", onData);
    incoming.once(
        "end",
        () => finish({ type: "read", body: chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks) }),
    );
    incoming.once("close", () => finish({ type: "callerGone" }));
    incoming.once("error", () => finish({ type: "callerGone" }));
}
