/** Reads the body of a call into memory, so that it can be sent again. */
import type { IncomingMessage } from "node:http";

export type CallBody =
    | { readonly type: "read"; readonly body: Buffer; }
    | { readonly type: "tooLarge"; }
    /** Too many large bodies are held at once. */
    | { readonly type: "noMemory"; }
    /** The caller sent nothing for too long. */
    | { readonly type: "stalled"; }
    | { readonly type: "callerGone"; };

/** Memory that the bodies of all open calls share. */
export interface BodyMemory {
    /** Takes bytes; false if there is not enough left. */
    readonly take: (bytes: number) => boolean;
    readonly release: (bytes: number) => void;
}

export function createBodyMemory(maxBytes: number): BodyMemory {
    let used = 0;
    return {
        take: bytes => {
            if (used + bytes > maxBytes) return false;
            used += bytes;
            return true;
        },
        release: bytes => {
            used -= bytes;
        },
    };
}

export interface CallBodyOptions {
    readonly maxBytes: number;
    readonly memory: BodyMemory;
    /** Longest pause between two parts of the body. */
    readonly idleTimeoutMs: number;
}

/** Calls back exactly once. The bytes of a body that was read stay taken from the memory; the caller releases them. */
export function readCallBody(
    incoming: IncomingMessage,
    opts: CallBodyOptions,
    onRead: (result: CallBody) => void,
): void {
    const declared = Number(incoming.headers["content-length"] ?? 0);
    if (declared > opts.maxBytes) return onRead({ type: "tooLarge" });
    const chunks: Buffer[] = [];
    let size = 0;
    let takenBytes = 0;
    let isOver = false;
    const finish = (result: CallBody): void => {
        if (isOver) return;
        isOver = true;
        clearTimeout(timer);
        incoming.removeListener("data", onData);
        if (result.type !== "read") opts.memory.release(takenBytes);
        // What still arrives of a body that is not wanted must not fill the memory.
        incoming.resume();
        onRead(result);
    };
    const onStall = (): void => finish({ type: "stalled" });
    let timer = setTimeout(onStall, opts.idleTimeoutMs);
    const onData = (chunk: Buffer): void => {
        size += chunk.length;
        if (size > opts.maxBytes) return finish({ type: "tooLarge" });
        if (!opts.memory.take(chunk.length)) return finish({ type: "noMemory" });
        takenBytes += chunk.length;
        chunks.push(chunk);
        clearTimeout(timer);
        timer = setTimeout(onStall, opts.idleTimeoutMs);
    };
    incoming.on("data", onData);
    incoming.once(
        "end",
        () => finish({ type: "read", body: chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks) }),
    );
    incoming.once("close", () => finish({ type: "callerGone" }));
    incoming.once("error", () => finish({ type: "callerGone" }));
}
