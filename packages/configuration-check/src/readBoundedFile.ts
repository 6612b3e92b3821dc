/** Reads a file up to a limit, so that a wrong file or an endless pipe does not fill the memory. */
import { closeSync, openSync, readSync } from "node:fs";

const chunkBytes = 65_536;

/** `-` is standard input. Returns one byte more than `maxBytes` at most, which shows that the file is longer. */
export function readBoundedFile(path: string, maxBytes: number): Uint8Array {
    const descriptor = path === "-" ? 0 : openSync(path, "r");
    const chunks: Buffer[] = [];
    try {
        for (let remaining = maxBytes + 1; remaining > 0;) {
            const chunk = Buffer.alloc(Math.min(chunkBytes, remaining));
            const count = readSync(descriptor, chunk);
            if (count === 0) break;
            chunks.push(chunk.subarray(0, count));
            remaining -= count;
        }
    }
    finally {
        if (descriptor !== 0) closeSync(descriptor);
    }
    return Buffer.concat(chunks);
}
