/**
 * Collects chunks in one buffer that grows. Appending takes time in proportion to the bytes, and the memory in use is in
 * proportion to them too, however short the chunks are.
 */
export interface ByteBuffer {
    /** Copies the chunk. */
    readonly append: (chunk: Uint8Array) => void;
    readonly getLength: () => number;
    /** Returns up to `count` bytes from the end, as a view that is valid until the next change. */
    readonly getTail: (count: number) => Buffer;
    /** Returns all bytes and leaves the buffer empty. */
    readonly take: () => Buffer;
    readonly clear: () => void;
}

export interface ByteBufferOptions {
    /** Number of bytes that are expected, if it is known; more may follow. */
    readonly expectedBytes?: number;
}

const emptyBuffer = Buffer.alloc(0);

const minCapacity = 256;

/** Up to this size, a buffer is allocated before its bytes arrive. */
const maxEarlyBytes = 64 * 1024;

/** The operating system provides memory for large buffers only where they are written to. */
const growthFactor = 4;

export function createByteBuffer(opts: ByteBufferOptions = {}): ByteBuffer {
    const { expectedBytes = 0 } = opts;
    let bytes: Buffer = emptyBuffer;
    let length = 0;

    const grow = (neededBytes: number): void => {
        const grown = Math.max(minCapacity, neededBytes, bytes.length * growthFactor);
        const isExpected = neededBytes <= expectedBytes;
        const capacity = isExpected ? Math.min(expectedBytes, Math.max(grown, maxEarlyBytes)) : grown;
        const next = Buffer.allocUnsafe(capacity);
        bytes.copy(next, 0, 0, length);
        bytes = next;
    };

    const clear = (): void => {
        bytes = emptyBuffer;
        length = 0;
    };

    return {
        append: chunk => {
            if (length + chunk.length > bytes.length) grow(length + chunk.length);
            bytes.set(chunk, length);
            length += chunk.length;
        },
        getLength: () => length,
        getTail: count => bytes.subarray(Math.max(0, length - count), length),
        take: () => {
            const taken = bytes.subarray(0, length);
            clear();
            return taken;
        },
        clear,
    };
}
