/** Writes log lines without blocking: lines beyond what the reader takes, or beyond a rate, are left out and counted. */

export interface BoundedWriterOptions {
    /** Writes a text; calls back when it has been taken. */
    readonly write: (text: string, onWritten: () => void) => void;
    /** Monotonic time in milliseconds. */
    readonly getNow: () => number;
    readonly maxLinesPerSecond: number;
    readonly maxPendingBytes: number;
    /** Called with the number of lines that were left out, when lines are written again. */
    readonly onOmitted: (omitted: number) => void;
}

export interface BoundedWriter {
    readonly writeLine: (line: string) => void;
    /** Lines that are left out and have not been reported yet. */
    readonly countOmitted: () => number;
}

const msPerSecond = 1_000;

export function createBoundedWriter(opts: BoundedWriterOptions): BoundedWriter {
    let pending: string[] = [];
    let pendingBytes = 0;
    let isWriting = false;
    let omitted = 0;
    let credit = opts.maxLinesPerSecond;
    let creditAt = opts.getNow();

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

    const takeCredit = (): boolean => {
        const now = opts.getNow();
        const earned = (now - creditAt) / msPerSecond * opts.maxLinesPerSecond;
        credit = Math.min(opts.maxLinesPerSecond, credit + earned);
        creditAt = now;
        if (credit < 1) return false;
        credit -= 1;
        return true;
    };

    const writeLine = (line: string): void => {
        if (pendingBytes + line.length > opts.maxPendingBytes || !takeCredit()) {
            omitted += 1;
            return;
        }
        const missed = omitted;
        omitted = 0;
        if (missed > 0) opts.onOmitted(missed);
        pending.push(line);
        pendingBytes += line.length;
        // Lines of one turn of the loop are written together.
        if (pending.length === 1 && !isWriting) setImmediate(flush);
    };

    return { writeLine, countOmitted: () => omitted };
}
