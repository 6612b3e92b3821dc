/** Reads the body of a call into memory, so that the call can be retried. */
import { createByteBuffer } from "@rhubarbwheel/bytes/createByteBuffer";
import type { MemoryReservation } from "@rhubarbwheel/bytes/createMemoryBudget";
import type { IncomingMessage } from "node:http";

export type BodyReadResult =
    | { readonly type: "read"; readonly body: Buffer; }
    | { readonly type: "tooLarge"; }
    /** The memory budget is exhausted. */
    | { readonly type: "noMemory"; }
    /** The caller sent nothing within the idle timeout. */
    | { readonly type: "stalled"; }
    | { readonly type: "callerGone"; };

export interface CallBodyOptions {
    readonly maxBytes: number;
    /** Memory of the body; released unless the result is `read`, in which case the calling code releases it. */
    readonly reservation: MemoryReservation;
    /** Maximum time between two chunks of the body. */
    readonly idleTimeoutMs: number;
}

/** Calls `onResult` exactly once. */
export function readCallBody(
    incoming: IncomingMessage,
    opts: CallBodyOptions,
    onResult: (result: BodyReadResult) => void,
): void {
    const contentLength = Number(incoming.headers["content-length"] ?? 0);
    if (contentLength > opts.maxBytes) return onResult({ type: "tooLarge" });
    const received = createByteBuffer({ expectedBytes: contentLength });
    let isFinished = false;
    const finish = (result: BodyReadResult): void => {
        if (isFinished) return;
        isFinished = true;
        clearTimeout(timer);
        incoming.removeListener("data", onData);
        received.clear();
        if (result.type !== "read") opts.reservation.release();
        // Discards the rest of a rejected body, so that it does not accumulate in memory.
        incoming.resume();
        onResult(result);
    };
    const onIdleTimeout = (): void => finish({ type: "stalled" });
    const timer = setTimeout(onIdleTimeout, opts.idleTimeoutMs);
    const onData = (chunk: Buffer): void => {
        if (received.getLength() + chunk.length > opts.maxBytes) return finish({ type: "tooLarge" });
        if (!opts.reservation.trySet(received.getLength() + chunk.length)) return finish({ type: "noMemory" });
        received.append(chunk);
        timer.refresh();
    };
    incoming.on("data", onData);
    incoming.once("end", () => finish({ type: "read", body: received.take() }));
    incoming.once("close", () => finish({ type: "callerGone" }));
    incoming.once("error", () => finish({ type: "callerGone" }));
}
