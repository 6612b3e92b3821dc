/** Writes log lines without blocking. Lines beyond the rate limit or the buffer limit are omitted and counted. */

export interface BoundedWriterOptions {
    /** Writes a text and calls `onWritten` when the write has completed. */
    readonly write: (text: string, onWritten: () => void) => void;
    /** Monotonic time in milliseconds. */
    readonly getNow: () => number;
    readonly maxLinesPerSecond: number;
    readonly maxPendingBytes: number;
    /** Called when lines are written again, with the number of lines omitted before. */
    readonly onOmitted: (omitted: number) => void;
}

export interface BoundedWriter {
    readonly writeLine: (line: string) => void;
    /** Number of omitted lines that have not been reported yet. */
    readonly countOmitted: () => number;
}

const msPerSecond = 1_000;

export function createBoundedWriter(opts: BoundedWriterOptions): BoundedWriter {
    let pending: string[] = [];
    let pendingBytes = 0;
    let isWriting = false;
    let omitted = 0;
    let tokens = opts.maxLinesPerSecond;
    let refilledAt = opts.getNow();

    const flush = (): void => {
        if (isWriting || pending.length === 0) return;
        const text = pending.join("");
        pending = [];
        pendingBytes = 0;
        isWriting = true;
        opts.write(text, () => {
            isWriting = false;
            flush();
        });
    };

    const tryTakeToken = (): boolean => {
        const now = opts.getNow();
        const refill = (now - refilledAt) / msPerSecond * opts.maxLinesPerSecond;
        tokens = Math.min(opts.maxLinesPerSecond, tokens + refill);
        refilledAt = now;
        if (tokens < 1) return false;
        tokens -= 1;
        return true;
    };

    const writeLine = (line: string): void => {
        if (pendingBytes + line.length > opts.maxPendingBytes || !tryTakeToken()) {
            omitted += 1;
            return;
        }
        const omittedBefore = omitted;
        omitted = 0;
        if (omittedBefore > 0) opts.onOmitted(omittedBefore);
        pending.push(line);
        pendingBytes += line.length;
        // Lines logged in the same event loop turn are written together.
        if (pending.length === 1 && !isWriting) setImmediate(flush);
    };

    return { writeLine, countOmitted: () => omitted };
}
